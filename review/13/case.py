"""A worker resets half of its connections in the middle of answers without framing.

The other answers end properly in the same moment. The daemon looks at the reset
connections to tell whether the worker lives. This takes the error away from the
reader, which then sees a regular end and passes the truncated answer on as a whole
success.
"""

import asyncio
import os
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-3"))
import standin

ROUNDS = 30  # At most: the first broken rule ends the case.
SLOTS = 6
WORKERS = 10  # One of them, i-0, resets connections, a tenth.
ORDERS = SLOTS * WORKERS
IDLE_S = 0.4  # The worker closes idle connections after this time.
WORK_S = 1.6
FIRST, SECOND = b"order taken: two bottles of " * 10, b"colour 417; paid\n"

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-orders", "hostname": "desk.example",
        "path_prefix": "/orders/", "route_type": "non_idempotent",
        "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
        "service": "desk", "max_attempts": 1, "public": True}],
    "services": [{
        "name": "desk", "health_path": "/healthz", "max_connections": 96,
        "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Desk:
    """Answers the requests of a batch together, as a batch ends."""

    def __init__(self, record):
        self.record = record
        self.batch = []
        self.ended = asyncio.Event()

    async def run(self, worker, request, writer):
        """An answer with neither a length nor chunks."""
        writer.write(standin.head_text(200, [
            (standin.ATTEMPT, request.attempt),
            (standin.SIGNATURE, "s." + request.attempt),
            ("Connection", "close")]) + FIRST)
        await writer.drain()
        self.batch.append((request.attempt, writer))
        ended = self.ended
        if len(self.batch) == 1:
            await asyncio.sleep(WORK_S)
            batch, self.batch = self.batch, []
            self.ended = asyncio.Event()
            self.finish(batch, worker.name == "i-0")
            ended.set()
        await ended.wait()
        return False

    def finish(self, batch, resets):
        for index, (attempt, writer) in enumerate(batch):
            if standin.TROUBLE and resets and index % 2 == 1:
                self.record(f"the worker resets the connection of {attempt}")
                reset(writer)
            else:
                self.record(f"the worker completes the answer to {attempt}")
                writer.write(SECOND)
                writer.close()


async def case(record, folder, children):
    store = standin.Store()
    await store.start()
    for index in range(WORKERS):
        worker = standin.Worker(store, record, "desk", f"i-{index}",
                                Desk(record).run, SLOTS)
        worker.keep_alive = IDLE_S
        await worker.start()
    store.put("config", "main", CONFIGURATION)
    daemon = standin.Daemon(folder, store, record, "edge-1")
    children.append(daemon)
    await daemon.start()
    await daemon.wait_ready()
    truncated = answered = rounds = 0
    while rounds < ROUNDS and not truncated:
        number, rounds = rounds, rounds + 1
        attempts = [f"order-{number}-{index}" for index in range(ORDERS)]
        answers = await asyncio.gather(*[
            standin.fetch(daemon.frontend, "POST", "/orders/1", [
                ("Host", "desk.example"), (standin.ATTEMPT, attempt),
                ("X-Clementinelb-Deadline-Ms", "4000")], b"417")
            for attempt in attempts], return_exceptions=True)
        for attempt, got in zip(attempts, answers):
            if not isinstance(got, tuple):
                record(f"{attempt}: the connection ends: {got!r}")
                continue
            status, _, body = got
            answered += status == 200
            whole = body == FIRST + SECOND
            record(f"{attempt} gets {status}, {len(body)} bytes, "
                   f"{'the whole body' if whole else 'not the whole body'}")
            truncated += status == 200 and not whole
    record(f"{answered} successes in {rounds} rounds, {truncated} of them "
           "truncated")
    if not standin.TROUBLE and answered != ROUNDS * ORDERS:
        raise standin.CannotRun("the orders weren't answered")
    return truncated > 0


standin.main(case)
