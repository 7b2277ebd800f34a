"""Sound streams, and streams with a part that crashes workers, at one site."""

import os
import random

from clementine_site import *  # noqa: F403
from engine import *  # noqa: F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
DEADLY = "dead0001"
# 54 workers in domains of 9.
DOMAINS = 6
WORKERS_PER_DOMAIN = 9


class DeadlyCase:
    """Runs the traffic and counts what reaches workers.

    `choose` returns the model and the parts of the next deadly stream from the
    time since the first one.
    """

    def __init__(self, daemons, deadly_per_s, seconds, choose, sound_per_s=30.0):
        self.daemon_count = daemons
        self.deadly_per_s = deadly_per_s
        self.seconds = seconds
        self.choose = choose
        self.sound_per_s = sound_per_s
        self.random = random.Random(1)
        self.common = [f"c{i:07x}" for i in range(24)]
        self.results = {}
        self.count = 0
        self.tasks = set()

    async def send(self, kind, model, parts):
        daemon = self.random.choice(self.daemons)
        self.count += 1
        attempt = f"{0xA if kind == 'sound' else 0xD:x}{self.count:015x}"
        parts = parts + [f"u{self.count:07x}"]
        headers = [
            ("X-Clementinelb-Model", model),
            ("X-Clementinelb-Token-Count", "1460,80"),
            (
                "X-Clementinelb-Prompt-Prefix",
                ",".join(f"{part}:60" for part in parts),
            ),
        ]
        body = f"prompt {attempt}".encode().ljust(200, b".")
        self.record.write(
            f"sent {kind} attempt={attempt} to={daemon.name} model={model} parts={len(parts)}"
        )
        task = asyncio.ensure_future(
            self.exchange(daemon, kind, attempt, body, headers)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange(self, daemon, kind, attempt, body, headers):
        host, port = daemon.frontend.split(":")
        got = b""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("POST", "/match/2f", attempt, 8000, body, headers))
            while not self.is_whole(got):
                # A client abandons a stream after a gap of 2.4 s (8 x 300 ms).
                more = await asyncio.wait_for(reader.read(65536), 2.4)
                if not more:
                    break
                got += more
        except (OSError, asyncio.TimeoutError):
            pass
        if writer:
            writer.close()
        result = got[9:12].decode("latin-1") or "nothing"
        if result == "200" and not self.is_whole(got):
            result = "cut"
        self.results[(kind, result)] = self.results.get((kind, result), 0) + 1
        self.record.write(f"answer {kind} attempt={attempt} {result}")

    @staticmethod
    def is_whole(got):
        head, end, body = got.partition(b"\r\n\r\n")
        if not end:
            return False
        if b"Transfer-Encoding: chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        return f"Content-Length: {len(body)}".encode() in head

    async def send_sound(self, end):
        while time.monotonic() < end:
            await self.send(
                "sound",
                self.random.choice(list(MODELS)),
                self.common[: self.random.randint(1, 20)],
            )
            await asyncio.sleep(1 / self.sound_per_s)

    async def send_deadly(self, end):
        start = time.monotonic()
        while time.monotonic() < end:
            await self.send("deadly", *self.choose(self, time.monotonic() - start))
            await asyncio.sleep(1 / self.deadly_per_s)

    async def main(self, record, folder):
        self.record = record
        store = Store()
        await store.start()
        await store.put("config", "main", model_configuration(configuration()))
        site = Site()
        for domain in range(DOMAINS):
            for _ in range(WORKERS_PER_DOMAIN):
                await ModelWorker(store, record, site, f"d{domain}").start()
        self.daemons = [
            Daemon(store, record, folder, number + 1)
            for number in range(self.daemon_count)
        ]
        try:
            return await self.play(site)
        finally:
            for daemon in self.daemons:
                daemon.kill()
                if daemon.process:
                    await daemon.process.wait()

    async def play(self, site):
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                self.record.write(f"{daemon.name} did not become ready")
                return 2
        for model in MODELS:
            if not await wait_open(site, model, 5):
                self.record.write(f"no groups of {model}")
                return 2
        # All machines are in touch after contact_ms.
        await asyncio.sleep(CONTACT_S + 0.5)
        site.deadly_parts = {DEADLY} if TROUBLE else set()
        end = time.monotonic() + 4.0 + self.seconds
        sound = asyncio.ensure_future(self.send_sound(end))
        await asyncio.sleep(4.0)
        await self.send_deadly(end)
        await sound
        await asyncio.sleep(2.5)
        if any(d.process.returncode is not None for d in self.daemons):
            self.record.write("a daemon ended by itself")
        for (kind, result), count in sorted(self.results.items()):
            self.record.write(f"{kind} streams that ended with {result}: {count}")
        crashes = [when for when, _, _ in site.crashes]
        self.record.write(f"crashes of workers: {len(crashes)}")
        late = 0
        if len(crashes) >= 5:
            late = sum(1 for when in site.reached if when > crashes[4] + CONTACT_S)
        self.record.write(
            "requests with the deadly part that reached workers later than "
            f"contact_ms after the fifth crash: {late}"
        )
        return 1 if late > 3 else 0
