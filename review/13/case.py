"""All daemons are killed while the head of a group leaves unannounced.

The head's entry has been removed from the store, and the head still serves. A
planner that starts now has never seen it listed, and orders the head's member to
join another group.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-3"))
import standin

MODELS = {"m0": (2, 1.0, 0.3)}  # Size, load and warm-up seconds.
LINGER_S = 15.0  # drain_ms and "many seconds".
DOWN_S = 1.4

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-chat", "hostname": "desk.example", "path_prefix": "/chat/",
        "route_type": "streaming", "stream_resume": True, "timeout_ms": 8000,
        "target_latency_ms": 300, "target_gap_ms": 300, "priority": 1,
        "service": "llm", "max_attempts": 2, "public": True,
        "session_affinity": True}],
    "services": [{
        "name": "llm", "health_path": "/healthz", "max_connections": 374,
        "protocol": "h1", "tls": False, "runtime": {
            "slots": 26, "kv_capacity": 1590000, "kv_bytes": 327680,
            "link_mbps": 400000.0, "stride": 7, "model_list": [
                {"name": "m0", "size": 2, "work_share": 1.0, "pace": 1.0,
                 "load_time_s": 1.0, "warmup_s": 0.3}],
            "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813,
            "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
            "report_lag_ms": 200.0, "loads_per_s": 4.5, "loads_at_once": 6,
            "usual": {"prompt": 1115, "answer": 178}, "retain_count": 1,
            "far_x": 3.0, "form_ms": 300.0}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def chat(worker, request, writer):
    """Runs a request at an open head; other members answer 421."""
    if not worker.group or worker.group["state"] != "open":
        writer.write(standin.head_text(421, [
            (standin.ATTEMPT, request.attempt), ("Content-Length", 0),
            ("At-Server", worker.name)]))
        await writer.drain()
        return True
    await standin.answer(worker, request, writer,
                         b"".join(b"id: %d\ndata: x\n\n" % number
                                  for number in range(1, 4)),
                         headers=[("Content-Type", "text/event-stream")])
    return True


def open_heads(fleet):
    return [worker for worker in fleet.values()
            if worker.group and worker.group["state"] == "open"]


async def wait_for(condition, seconds, what):
    end = asyncio.get_running_loop().time() + seconds
    while not condition():
        if asyncio.get_running_loop().time() > end:
            raise standin.CannotRun(what)
        await asyncio.sleep(0.05)


async def case(record, folder, children):
    store = standin.Store()
    await store.start()
    fleet = {}
    for index in range(5):
        worker = standin.EngineWorker(store, record, "llm", f"i-{index}", chat,
                                      fleet, MODELS)
        await worker.start()
    store.put("config", "main", CONFIGURATION)
    daemons = [standin.Daemon(folder, store, record, f"edge-{index}")
               for index in (1, 2)]
    children.extend(daemons)
    for daemon in daemons:
        await daemon.start()
    for daemon in daemons:
        await daemon.wait_ready()
    await wait_for(lambda: len(open_heads(fleet)) == 2, 20, "no groups opened")
    await wait_for(lambda: all(worker.staged for worker in fleet.values()), 20,
                   "the spare has no weights")
    await asyncio.sleep(2.0)
    status, _, _ = await standin.fetch(
        daemons[0].frontend, "POST", "/chat/1", [
            ("Host", "desk.example"), (standin.ATTEMPT, "a1"),
            ("X-Clementinelb-Model", "m0"),
            ("X-Clementinelb-Token-Count", "100,20"),
            ("X-Clementinelb-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20"),
            ("X-Clementinelb-Deadline-Ms", "4000")], b"x")
    record(f"a first request is answered {status}")
    if status != 200:
        raise standin.CannotRun("the groups don't serve")
    head = open_heads(fleet)[0]
    record(f"head {head.name} of {head.group['name']}, members "
           f"{head.group['members']}")
    if standin.TROUBLE:
        for daemon in daemons:
            daemon.signal(signal.SIGKILL)
            await daemon.process.wait()
        record("all daemons are killed")
        await asyncio.sleep(DOWN_S / 2)
        head.listed = False
        store.remove("servers", head.name)
        record(f"the entry of {head.name} is removed; it goes on serving")
        await asyncio.sleep(DOWN_S / 2)
        for daemon in daemons:
            await daemon.start()
        await asyncio.sleep(LINGER_S - DOWN_S / 2)
        head.crash()
        record(f"worker {head.name} exits")
    else:
        await asyncio.sleep(LINGER_S)
    return any(worker.broken_rules for worker in fleet.values())


standin.main(case)
