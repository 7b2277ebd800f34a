"""Stand-ins for the review cases: the platform's store, workers, clients.

They follow the pages of the users. Each case is one asyncio program that also
starts the daemons with the command and the template of the deploy file.
"""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SIGNATURE = "X-Clementinelb-Response-Signature"
ATTEMPT = "X-Clementinelb-Attempt-Id"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a head: its first line and the headers by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def head_text(status, headers):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# -----------------------------------------------------------------------------
# The platform's store.


class Store:
    """Objects by kind and name, with revisions, lists and watches."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = self.revision
        if known and not known["deleted"]:
            created = known["created"]
        self.objects[kind][name] = {
            "spec": spec, "revision": self.revision, "created": created,
            "deleted": False}
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind, name):
        entry = self.objects.get(kind, {}).get(name)
        if entry is None or entry["deleted"]:
            return
        self.revision += 1
        entry.update(deleted=True, revision=self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def text(self, name, entry):
        return {"metadata": {"name": name, "revision": entry["revision"],
                             "created": entry["created"], "finalizers": [],
                             "deletion_pending": False},
                "spec": entry["spec"], "status": None}

    def events(self, kind, since):
        found = [(entry["revision"], name, entry) for name, entry
                 in self.objects.get(kind, {}).items()
                 if entry["revision"] > since]
        return [{"object": self.text(name, entry), "deleted": entry["deleted"]}
                for _, name, entry in sorted(found, key=lambda item: item[0])]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(head_text(status, [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data))]) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.split("/")[2:]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else ""
        objects = self.objects.setdefault(kind, {})
        entry = objects.get(name)
        if entry and entry["deleted"]:
            entry = None
        if method == "GET" and name:
            return (200, self.text(name, entry)) if entry else (404, {})
        if method == "GET" and "watch" in options:
            since = int(options["watch"])
            end = time.monotonic() + int(options.get("wait_ms", 0)) / 1000
            events = self.events(kind, since)
            while not events and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    break
                events = self.events(kind, since)
            return 200, {"events": events, "at": self.revision}
        if method == "GET":
            entries = [self.text(key, value) for key, value
                       in sorted(objects.items()) if not value["deleted"]]
            return 200, {"entries": entries, "has_more": False,
                         "at": self.revision}
        if method == "DELETE":
            if entry is None:
                return 404, {}
            if "revision" in options and \
                    int(options["revision"]) != entry["revision"]:
                return 409, self.text(name, entry)
            self.remove(kind, name)
            return 200, self.text(name, objects[name])
        sent = json.loads(body)
        metadata = sent.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            entry = objects.get(name)
            if entry and not entry["deleted"]:
                return 409, self.text(name, entry)
            self.put(kind, name, sent.get("spec"))
            return 201, self.text(name, objects[name])
        if entry is None:
            return 404, {}
        wanted = metadata.get("revision")
        if wanted is not None and wanted != entry["revision"]:
            return 409, self.text(name, entry)
        if entry["spec"] != sent.get("spec"):
            self.put(kind, name, sent.get("spec"))
        return 200, self.text(name, objects[name])


# -----------------------------------------------------------------------------
# Workers.


class Request:
    def __init__(self, line, headers):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = b""
        self.attempt = headers.get(ATTEMPT.lower(), "")


class Worker:
    """A worker of a plain service. `run` answers the requests that run."""

    def __init__(self, store, record, service, name, run, slots=6):
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.run = run
        self.slots = slots
        self.runs = []  # (time, Request) of each request that began to run.
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.connections = set()
        self.beats = None
        self.server = None
        self.address = None
        self.keep_alive = None  # Seconds after which it closes idle ones.

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat())

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": "zone-a", "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    def kept(self):
        """States the idle timeout in whole seconds, if there are any."""
        seconds = int(self.keep_alive or 0)
        return [("Keep-Alive", f"timeout={seconds}")] if seconds else []

    def is_own(self, request):
        expected = request.headers.get("x-clementinelb-expected-instance")
        return expected in (None, self.name)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = read_head(reader)
                if self.keep_alive is not None:
                    head = asyncio.wait_for(head, self.keep_alive)
                line, headers = await head
                request = Request(line, headers)
                if not self.is_own(request):
                    await read_body(reader, headers)
                    writer.write(head_text(421, [
                        (ATTEMPT, request.attempt), ("Content-Length", 0),
                        ("X-Clementinelb-Instance-Id", self.name),
                        *self.kept()]))
                    await writer.drain()
                    continue
                request.body = await read_body(reader, headers)
                if request.target.startswith("/healthz"):
                    writer.write(head_text(200, [
                        ("X-Clementinelb-Instance-Id", self.name),
                        ("Content-Length", 0), *self.kept()]))
                    await writer.drain()
                    continue
                if await self.handle(request, writer):
                    continue
                self.runs.append((self.record.now(), request))
                self.record(f"worker {self.name} runs {request.method} "
                            f"{request.target} attempt {request.attempt}")
                if not await self.run(self, request, writer):
                    return
        except (OSError, RuntimeError, asyncio.IncompleteReadError,
                asyncio.TimeoutError, asyncio.CancelledError):
            pass  # The connection has ended.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        return False

    def crash(self):
        """Ends as a killed process does: no listener, connections closed."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()


class EngineWorker(Worker):
    """A worker of a model that spans several workers."""

    STALL_S = 5.0
    FORM_S = 0.3

    def __init__(self, store, record, service, name, run, fleet, models):
        super().__init__(store, record, service, name, run)
        self.fleet = fleet  # All engine workers, by name.
        self.models = models  # Size, load and warm-up seconds by name.
        fleet[name] = self
        self.group = None  # name, epoch, rank, state, members, model
        self.last_model = None
        self.staged = []
        self.orders = 0
        self.highest_epoch = 0
        self.busy = False
        self.listed = True  # Whether it still writes its entry.
        self.broken_rules = []

    def member_of(self):
        if self.group is None:
            return None
        return {key: self.group[key]
                for key in ("name", "epoch", "rank", "state")}

    def facts(self):
        return {"domain": "domain-a", "staged_models": list(self.staged),
                "group": self.member_of(), "born": self.born,
                "phase": "combined", "model_list": []}

    def entry(self):
        return {**super().entry(), **self.facts()}

    def changed(self):
        if self.listed:
            self.sequence += 1
            self.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            self.changed()
            await asyncio.sleep(1.2)

    def set_state(self, state):
        self.group["state"] = state
        self.record(f"worker {self.name} is {state} in {self.group['name']}")
        self.changed()

    def check_join(self, order):
        """Rule TWO: the head of the group that it is in must not serve."""
        if self.group is None:
            return
        key = (self.group["name"], self.group["epoch"])
        head = self.fleet.get(self.group["members"][0])
        if head is None or head is self or head.group is None:
            return
        same = (head.group["name"], head.group["epoch"]) == key
        if same and head.group["state"] in ("open", "closing"):
            text = (f"TWO: {self.name} joins {order['group']} while "
                    f"{head.name}, head of {key[0]}, is "
                    f"{head.group['state']}")
            self.broken_rules.append(text)
            self.record(text)

    async def begin(self, group, seconds, state):
        """Ends an order after its time, unless another one has replaced it."""
        await asyncio.sleep(seconds)
        if self.group is not group:
            return
        self.busy = False
        if state == "ready":
            self.last_model = group["model"]
            self.staged = [group["model"]]
        self.set_state(state)

    def order(self, sent):
        """Status of an order; begins what it asks."""
        kind = sent.get("operation")
        expected = sent.get("expected")
        group, epoch = sent.get("group"), sent.get("epoch", 0)
        mine = self.group and (self.group["name"],
                               self.group["epoch"]) == (group, epoch)
        if kind == "join":
            if epoch < self.highest_epoch:
                return 412
            if mine:
                same = self.group["members"] == sent["members"]
                return 200 if same else 412
        elif kind in ("open", "close", "leave"):
            state = self.group["state"] if mine else None
            if kind == "open" and state == "open":
                return 200
            if kind == "close" and state in ("ready", "closing", "joining"):
                return 200
            if kind == "leave" and not mine:
                return 200
            fits = {"open": state == "ready", "close": state == "open",
                    "leave": True}[kind]
            if not mine or not fits:
                return 409
        elif kind == "phase":
            if sent["model_name"] in self.staged:
                return 200
        else:
            return 400
        if expected is not None and expected != self.orders:
            return 409
        self.orders += 1
        if kind == "join":
            self.check_join(sent)
            model = sent["model_name"]
            size, load_s, warm_s = self.models[model]
            seconds = load_s
            if model == self.last_model:
                seconds = 0.2
            elif model in self.staged:
                seconds = warm_s
            self.highest_epoch = epoch
            self.busy = True
            self.group = {"name": group, "epoch": epoch, "model": model,
                          "members": sent["members"], "state": "joining",
                          "rank": sent["members"].index(self.name)}
            self.changed()
            asyncio.create_task(self.begin(self.group, seconds, "ready"))
        elif kind == "open":
            asyncio.create_task(self.begin(self.group, self.FORM_S, "open"))
        elif kind == "close":
            self.set_state("ready")
        elif kind == "leave":
            self.group = None
            self.changed()
        elif kind == "phase":
            asyncio.create_task(self.stage(sent["model_name"]))
        return 202

    async def stage(self, model):
        await asyncio.sleep(self.models[model][1])
        self.staged = [model]
        self.changed()

    async def handle(self, request, writer):
        """Answers calls other than requests. @return Whether it was one."""
        if request.target == "/report":
            body = json.dumps({
                **self.facts(), "busy": self.busy, "sequence": self.orders,
                "queued": 0, "active": 0, "kv_in_use": 0,
                "kv_capacity_total": 90000, "kv_handles": 0}).encode()
            status = 200
        elif request.target == "/order":
            sent = json.loads(request.body)
            status = self.order(sent)
            body = b""
            self.record(f"worker {self.name} answers {status} to "
                        f"{json.dumps(sent)}")
        else:
            return False
        writer.write(head_text(status, [
            ("Content-Type", "application/json"),
            ("Content-Length", len(body))]) + body)
        await writer.drain()
        return True


async def answer(worker, request, writer, body, status=200, headers=()):
    writer.write(head_text(status, [
        (ATTEMPT, request.attempt), (SIGNATURE, f"signed.{request.attempt}"),
        ("Content-Length", len(body)), *headers]) + body)
    await writer.drain()


# -----------------------------------------------------------------------------
# Daemons.


def render(template, fields):
    def look(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def section(match):
        return match.group(2) if look(match.group(1)) else ""

    def text(match):
        value = look(match.group(1))
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section,
                      template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Daemon:
    """A daemon, started with the command and the template of the deploy file."""

    def __init__(self, folder, store, record, name, bounds=None,
                 memory_mb=260, host="127.0.0.1", bootstrap=True):
        self.record = record
        self.name = name
        self.frontend = f"{host}:{free_port()}"
        self.ready = f"{host}:{free_port()}"
        port = free_port()
        fields = {
            "node_name": name, "zone": "zone-a", "region": "region-a",
            "ip_address": host, "port_range": [port, port + 15],
            "bootstrap": bootstrap,
            "listen_addrs": {"frontend": self.frontend, "ready": self.ready},
            "limits": {"cpu_quota": 0.25, "memory_mb": memory_mb,
                       "max_fds": 4200},
            "bounds": {"drain_ms": 2000, "config_apply_ms": 2000,
                       "revoke_ms": 5000, **(bounds or {})},
            "platform": {"address": store.address}}
        deploy = (ROOT / "deploy/system.toml").read_text()
        role = dict(re.findall(r'^(run|template) = "(.*)"$', deploy, re.M))
        settings = Path(folder) / f"{name}.ini"
        self.settings = settings
        self.fields = fields
        self.template = (ROOT / role["template"]).read_text()
        self.command = [str(settings) if word.startswith("/etc/") else word
                        for word in role["run"].split()]
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} isn't built")
        self.settings.write_text(render(self.template, self.fields))
        # Only the first start of the whole system is a bootstrap.
        self.fields["bootstrap"] = False
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log)
        self.record(f"daemon {self.name} started")

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                status, _, _ = await fetch(self.ready, "GET", "/readyz", [])
                if status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"daemon {self.name} isn't ready")

    def signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# -----------------------------------------------------------------------------
# Clients.


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def fetch(address, method, target, headers, body=b"", timeout=10):
    """One request on a new connection: status, headers, body."""
    async def run():
        reader, writer = await connect(address)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, answered = await read_head(reader)
            status = int(line.split(" ")[1])
            return status, answered, await read_body(reader, answered, True)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def main(case):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, else 2."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)

    async def run():
        children = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    case(record, temporary, children), 115)
            finally:
                for daemon in children:
                    await daemon.end()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # Also a fault of the case itself.
        record(f"the case couldn't run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
