"""A draining worker ends in the middle of a stream that has no framing.

The stream ends between two events, as a process that exits ends it. The daemon
has seen that the worker's port refuses connections, and still ends the client's
answer like a complete one.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-3"))
import standin

PIECES = 16
WORKERS = 8  # One of them leaves, an eighth.
GAP_S = 0.4
IDLE_S = 1.0  # A worker closes idle connections after this time.
DRAIN_S = 2.0  # drain_ms
LONGER_S = 1.5  # "a little longer"

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-notes", "hostname": "desk.example", "path_prefix": "/notes/",
        "route_type": "streaming", "stream_resume": True, "timeout_ms": 9000,
        "target_latency_ms": 300, "target_gap_ms": 1000, "priority": 1,
        "service": "desk", "max_attempts": 2, "public": True}],
    "services": [{
        "name": "desk", "health_path": "/healthz", "max_connections": 48,
        "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def stream(worker, request, writer):
    """Answers with neither a length nor chunks."""
    headers = [(standin.ATTEMPT, request.attempt),
               (standin.SIGNATURE, "s." + worker.name),
               ("Content-Type", "text/event-stream"), ("Connection", "close")]
    if worker.state == "draining":
        headers.append(("Server-Leaving", "1"))
    writer.write(standin.head_text(200, headers))
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, PIECES + 1):
        writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await writer.drain()
        worker.record(f"worker {worker.name} sends piece {number}")
        await asyncio.sleep(GAP_S)
    return False


async def case(record, folder, children):
    store = standin.Store()
    await store.start()
    workers = [standin.Worker(store, record, "desk", f"i-{index}", stream)
               for index in range(WORKERS)]
    for worker in workers:
        worker.keep_alive = IDLE_S
        await worker.start()
    store.put("config", "main", CONFIGURATION)
    daemon = standin.Daemon(folder, store, record, "edge-1")
    children.append(daemon)
    await daemon.start()
    await daemon.wait_ready()
    asked = asyncio.create_task(standin.fetch(
        daemon.frontend, "POST", "/notes/1",
        [("Host", "desk.example"), (standin.ATTEMPT, "a1"),
         ("X-Clementinelb-Deadline-Ms", "9000")], b"x", timeout=15))
    while not any(worker.runs for worker in workers):
        if asked.done():
            raise standin.CannotRun("no worker got the request")
        await asyncio.sleep(0.01)
    worker = next(worker for worker in workers if worker.runs)
    await asyncio.sleep(0.5)
    worker.state = "draining"
    worker.sequence += 1
    store.put("servers", worker.name, worker.entry())
    record(f"worker {worker.name} reports draining")
    if standin.TROUBLE:
        await asyncio.sleep(DRAIN_S + LONGER_S)
        worker.crash()
        record(f"worker {worker.name} exits")
        await asyncio.sleep(1.0)
        store.remove("servers", worker.name)
    try:
        status, _, body = await asked
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        record(f"the client's answer is cut off: {error!r}")
        return False
    pieces = body.count(b"id: ")
    record(f"the client gets {status}, whole, with {pieces} of {PIECES} pieces")
    return status == 200 and pieces < PIECES


standin.main(case)
