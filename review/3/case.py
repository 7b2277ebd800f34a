"""A worker sends an endless chunk-size line; the daemon stores all of it."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from clementine_site import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Below the 1,000 Mbit/s of a machine's link.
BYTES_PER_S = 115e6
# memory_mb of an edge machine; the larger reading of the unit.
MEMORY_LIMIT = SETTINGS["limits"]["memory_mb"] * 1024 * 1024
CLIENTS = 60
DURATION_S = 20.0
CONTACT_S = 3.0


class Flood:
    """Makes one answer at a time of the faulty worker endless."""

    def __init__(self):
        self.active = False
        self.enabled = False

    async def behave(self, worker, message, attempt, writer):
        if not self.enabled or self.active or " /match/" not in message[0]:
            return None
        self.active = True
        sent = 0
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"X-Clementinelb-Attempt-Id: {attempt}\r\n"
                    f"X-Clementinelb-Response-Signature: {worker.id}.{attempt}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            junk = b"\xa5" * 262144
            start = time.monotonic()
            while True:
                if sent < (time.monotonic() - start) * BYTES_PER_S:
                    writer.write(junk)
                    sent += len(junk)
                    await writer.drain()
                else:
                    await asyncio.sleep(0.001)
        finally:
            self.active = False
            worker.record.write(f"endless attempt={attempt} bytes={sent}")


class Client:
    """Sends one stream after the other on a connection that it keeps."""

    def __init__(self, case, number):
        self.case = case
        self.number = number
        self.count = 0

    async def run(self):
        # Streams take 1.3 s; the clients begin at different times.
        await asyncio.sleep(1.3 * self.number / CLIENTS)
        while not self.case.done:
            try:
                await self.use_connection()
            except (ConnectionError, OSError):
                pass
            await asyncio.sleep(0.2)

    async def use_connection(self):
        host, port = self.case.daemon.frontend.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        kept = False
        while not self.case.done:
            self.count += 1
            attempt = f"{self.number:04x}{self.count:012x}"
            body = b"p" * 1500
            writer.write(request("POST", "/match/2f", attempt, 8000, body))
            self.case.record.write(f"sent attempt={attempt} kept={kept}")
            got, whole = await self.read_answer(reader)
            self.case.record.write(f"answer attempt={attempt} bytes={got} whole={whole}")
            if not whole:
                self.case.ended.append((time.monotonic(), attempt, kept, got))
                writer.close()
                return
            kept = True
            await asyncio.sleep(0.02)

    async def read_answer(self, reader):
        """Returns how many bytes came and whether the answer is whole."""
        got = b""
        while True:
            # A client abandons a stream after a gap of 2.4 s (8 x 300 ms).
            try:
                bytes_read = await asyncio.wait_for(reader.read(65536), 2.4)
            except asyncio.TimeoutError:
                return -1, False
            except (ConnectionError, OSError):
                bytes_read = b""
            if not bytes_read:
                return len(got), False
            got += bytes_read
            head, end, body = got.partition(b"\r\n\r\n")
            if not end:
                continue
            lower = head.lower()
            if b"transfer-encoding: chunked" in lower:
                if body.endswith(b"0\r\n\r\n"):
                    return len(got), True
            elif b"content-length: %d" % len(body) in lower:
                return len(got), True


class Case:
    def __init__(self, record):
        self.record = record
        self.done = False
        self.ended = []
        self.killed = []

    async def watch_memory(self):
        """The platform: kills a process over the limit and restarts it."""
        while not self.done:
            peak = self.daemon.peak_memory()
            if peak > MEMORY_LIMIT:
                self.killed.append(time.monotonic())
                self.record.write(f"memory {peak} over {MEMORY_LIMIT}: killed")
                self.daemon.kill()
                await self.daemon.process.wait()
                await asyncio.sleep(0.5)
                await self.daemon.start()
            await asyncio.sleep(0.005)

    async def main(self, record, folder):
        store = Store()
        await store.start()
        await store.put("config", "main", configuration())
        workers = []
        for number in range(6):
            worker = Worker(store, record, number + 1, "chroma-model")
            worker.slots = 26
            await worker.start()
            workers.append(worker)
        flood = Flood()
        faulty = workers[0]
        faulty.behave = flood.behave
        self.daemon = Daemon(store, record, folder, 1)
        await self.daemon.start()
        if not await self.daemon.wait_ready():
            record.write("the daemon did not become ready")
            return 2
        tasks = [asyncio.ensure_future(Client(self, n).run()) for n in range(CLIENTS)]
        tasks.append(asyncio.ensure_future(self.watch_memory()))
        # The daemon has been in touch for contact_ms.
        await asyncio.sleep(CONTACT_S + 1.0)
        flood.enabled = TROUBLE
        end = time.monotonic() + DURATION_S
        while time.monotonic() < end and not self.killed:
            await asyncio.sleep(0.1)
        flood.enabled = False
        await asyncio.sleep(1.5)
        self.done = True
        ended = list(self.ended)
        peak = self.daemon.peak_memory()
        self.daemon.kill()
        await self.daemon.process.wait()
        for task in tasks:
            task.cancel()
        sound = set()
        for worker in workers[1:]:
            sound.update(worker.runs)
        lost = [
            attempt
            for when, attempt, kept, got in ended
            if kept and got == 0 and attempt in sound and attempt not in faulty.runs
            and any(abs(when - killed) < 1.0 for killed in self.killed)
        ]
        cut = [attempt for _, attempt, _, got in ended if got > 0]
        record.write(f"streams cut off after their beginning: {len(cut)}")
        record.write(f"processes over the memory limit: {len(self.killed)}")
        record.write(f"peak memory of the last process: {peak}")
        record.write(
            "requests of kept connections, passed on to sound workers only, "
            f"connection closed without an answer: {len(lost)}"
        )
        return 1 if len(lost) > 3 else 0


def main(record, folder):
    return Case(record).main(record, folder)


run(main)
