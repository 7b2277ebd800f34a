"""Plays one end of answers without a length before a daemon, with the stand-ins of
review/standin-3. Run by hand, after the deploy file's build:

    python3 testing/unframed_play.py kind=order idle=0.3 end=none pause=2.5

Exits with 1 if an answer that was cut is framed as whole, 3 if a sound one isn't,
0 if neither, 2 if it couldn't run. Options, with their defaults:

    kind=stream      stream, resume (a stream that may be resumed), order, read
    calls=3          requests, no two alike
    pieces=10        of an answer, 0.4 s apart
    idle=1           seconds after which a server closes idle connections
    leave=entry      how servers tell that they leave: entry, header, removed, none
    at=2             seconds from the notice to the end
    end=exit         exit; stop (stops listening 0.7 s before the exit); reset (all
                     connections); replaced (all connections end, the port accepts);
                     whole (exits after its last answer); none
    later=0.3        seconds from the last answer to the exit, with end=whole
    pause=0          seconds for which the daemon is stopped, from the end on
"""

import asyncio
import os
import signal
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "review", "standin-3"))
import standin

SERVERS = 8
GAP_S = 0.4
OPTIONS = {"kind": "stream", "calls": "3", "pieces": "10", "idle": "1",
           "leave": "entry", "at": "2", "end": "exit", "later": "0.3",
           "pause": "0"}


def parse_options(arguments):
    options = dict(OPTIONS)
    for argument in arguments:
        name, _, value = argument.partition("=")
        if name not in OPTIONS or not value:
            sys.exit(f"unknown option: {argument}")
        options[name] = value
    return options


def configuration(kind):
    route = {"name": "r", "hostname": "desk.example", "path_prefix": "/notes/",
             "route_type": {"order": "non_idempotent",
                            "read": "idempotent"}.get(kind, "streaming"),
             "timeout_ms": 9000, "target_latency_ms": 300,
             "target_gap_ms": 1000, "priority": 1, "service": "desk",
             "max_attempts": 2, "public": True}
    if kind == "resume":
        route["stream_resume"] = True
    return {"version": 7, "routes": [route],
            "services": [{"name": "desk", "health_path": "/healthz",
                          "max_connections": 48, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Play:
    def __init__(self, options):
        self.options = options
        self.pieces = int(options["pieces"])

    async def answer(self, worker, request, writer):
        headers = [(standin.ATTEMPT, request.attempt),
                   (standin.SIGNATURE, "s." + worker.name),
                   ("Connection", "close")]
        if self.options["kind"] in ("stream", "resume"):
            headers.append(("Content-Type", "text/event-stream"))
        if worker.state == "draining":
            headers.append(("Server-Leaving", "1"))
        writer.write(standin.head_text(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.pieces + 1):
            writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        if self.options["end"] == "whole" and worker.state == "draining":
            asyncio.get_running_loop().call_later(
                float(self.options["later"]), worker.crash)
        return False

    def announce(self, store, worker):
        leave = self.options["leave"]
        if leave in ("entry", "header"):
            worker.state = "draining"
        if leave == "entry":
            worker.sequence += 1
            store.put("servers", worker.name, worker.entry())
        elif leave == "removed":
            worker.beats.cancel()
            store.remove("servers", worker.name)

    async def end(self, workers):
        end = self.options["end"]
        for worker in workers:
            if end == "exit":
                worker.crash()
            elif end == "stop":
                worker.server.close()
            elif end in ("reset", "replaced"):
                for writer in list(worker.connections):
                    if end == "replaced":
                        writer.close()
                        continue
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
                    writer.transport.abort()
        if end == "stop":
            await asyncio.sleep(0.7)
            for worker in workers:
                worker.crash()

    async def run(self, record, folder, children):
        store = standin.Store()
        await store.start()
        workers = [standin.Worker(store, record, "desk", f"i-{index}",
                                  self.answer) for index in range(SERVERS)]
        for worker in workers:
            worker.keep_alive = float(self.options["idle"])
            await worker.start()
        store.put("config", "main", configuration(self.options["kind"]))
        daemon = standin.Daemon(folder, store, record, "edge-1")
        children.append(daemon)
        await daemon.start()
        await daemon.wait_ready()
        asked = [asyncio.create_task(standin.fetch(
            daemon.frontend, "POST", "/notes/1",
            [("Host", "desk.example"), (standin.ATTEMPT, f"a{index}"),
             ("X-Clementinelb-Deadline-Ms", "9000")],
            b"request %d" % index, timeout=15))
            for index in range(int(self.options["calls"]))]
        await asyncio.sleep(0.5)
        busy = [worker for worker in workers if worker.runs]
        for worker in busy:
            self.announce(store, worker)
        await asyncio.sleep(float(self.options["at"]))
        pause = float(self.options["pause"])
        if pause:
            daemon.signal(signal.SIGSTOP)
        await self.end(busy)
        if pause:
            await asyncio.sleep(pause)
            daemon.signal(signal.SIGCONT)
        return self.judge(await asyncio.gather(*asked, return_exceptions=True))

    def judge(self, answers):
        whole = cut = 0
        for answer in answers:
            if isinstance(answer, tuple) and answer[0] == 200:
                if answer[2].count(b"id: ") == self.pieces:
                    whole += 1
                else:
                    cut += 1
        sound = self.options["end"] in ("none", "whole")
        print(f"{len(answers)} requests, {whole} whole, {cut} cut but framed "
              "as whole", flush=True)
        return 1 if cut else 3 if sound and whole < len(answers) else 0


def main():
    play = Play(parse_options(sys.argv[1:]))
    code = 2

    async def case(record, folder, children):
        nonlocal code
        code = await play.run(record, folder, children)
        return code != 0

    # The stand-ins leave their record beside the program that is run.
    with standin.tempfile.TemporaryDirectory() as folder:
        sys.argv[0] = os.path.join(folder, "play")
        try:
            standin.main(case)
        except SystemExit:
            pass
    sys.exit(code)


if __name__ == "__main__":
    main()
