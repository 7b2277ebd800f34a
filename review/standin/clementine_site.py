"""Stand-ins for the review scripts: the platform's store, workers, clients.

Everything listens on 127.0.0.1. The daemons are the project's own program,
started with the command of deploy/system.toml and the settings that
deploy/daemon.ini.template gives for the bounds of the small sites.
"""

import asyncio
import atexit
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "clementined")
HOST = "127.0.0.1"
KEY = "n2ctnfzs989anu6wsjnb"

# The settings of an edge machine of the small sites (SYSTEM.md, DEPLOY.md).
SETTINGS = {
    "region": "attica",
    "zone": "attica-a",
    "ip_address": HOST,
    "bootstrap": True,
    "limits": {"cpu_quota": 0.25, "memory_mb": 260, "max_fds": 4200},
    "bounds": {"drain_ms": 2000, "config_apply_ms": 2000, "revoke_ms": 5000},
}


_ports = iter(random.sample(range(20000, 32000), 12000))


def free_port():
    """A free port below the range of outgoing connections."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
                return port
            except OSError:
                continue
    raise OSError("no free port")


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads the head and the body of a request or an answer with a length.

    Returns (first line, headers with lower-case names, body), or None.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                chunk = await reader.readexactly(size + 2)
                body += chunk[:-2]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


def answer(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


class Store:
    """The platform's metadata store: objects by kind and name, and watches."""

    def __init__(self):
        self.objects = {}
        self.log = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec, deleted=False):
        async with self.changed:
            self.revision += 1
            objects = self.objects.setdefault(kind, {})
            old = objects.get(name)
            entry = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": old["metadata"]["created"] if old else self.revision,
                    "finalizers": [],
                    "deletion_pending": False,
                },
                "spec": spec,
                "status": None,
            }
            if deleted:
                objects.pop(name, None)
            else:
                objects[name] = entry
            self.log.append((self.revision, kind, entry, deleted))
            self.changed.notify_all()
        return entry

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                status, body = await self.handle(method, target, message[2])
                writer.write(
                    answer(
                        status,
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], "/".join(parts[2:])
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, query)
        if method == "GET":
            names = sorted(objects)
            return 200, {
                "entries": [objects[n] for n in names if n > query.get("after", "")],
                "has_more": False,
                "at": self.revision,
            }
        data = json.loads(body) if body else {}
        metadata = data.get("metadata") or {}
        name = name or metadata.get("name")
        wanted = metadata.get("revision", query.get("revision"))
        current = objects.get(name)
        if method == "POST" and current:
            return 409, current
        if method != "POST" and not current:
            return 404, {}
        if wanted is not None and current and int(wanted) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            return 200, await self.put(kind, name, None, deleted=True)
        return (201 if method == "POST" else 200), await self.put(
            kind, name, data.get("spec")
        )

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            events = [
                {"object": entry, "deleted": deleted}
                for revision, of, entry, deleted in self.log
                if revision > since and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Worker:
    """A worker of a plain service. `behave` may take over single requests."""

    def __init__(self, store, record, number, service="orders-desk"):
        self.store = store
        self.record = record
        self.id = f"i-{number:08x}"
        self.service = service
        self.slots = 6
        self.running = 0
        self.runs = {}
        self.work_s = 0.06
        self.behave = None
        self.sequence = 0
        self.address = None
        self.born = int(time.time() * 1000)

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 24)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put(
                "servers",
                self.id,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "attica-a",
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.respond(message, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def respond(self, message, writer):
        line, headers, _ = message
        attempt = headers.get("x-clementinelb-attempt-id", "")
        own = [("X-Clementinelb-Instance-Id", self.id)]
        if headers.get("x-clementinelb-expected-instance", self.id) != self.id:
            writer.write(answer(421, own))
            await writer.drain()
            return True
        if line.startswith("GET /healthz "):
            writer.write(answer(200, own))
            await writer.drain()
            return True
        own.append(("X-Clementinelb-Attempt-Id", attempt))
        if self.running >= self.slots:
            writer.write(answer(503, own + [("X-Clementinelb-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.running += 1
        try:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.record.write(f"run worker={self.id} attempt={attempt} {line}")
            if self.behave:
                done = await self.behave(self, message, attempt, writer)
                if done is not None:
                    return done
            own.append(("X-Clementinelb-Response-Signature", f"{self.id}.{attempt}"))
            if line.startswith("POST /match/"):
                return await self.stream(headers, own, writer)
            await asyncio.sleep(self.work_s)
            body = f"done {attempt}".encode().ljust(800, b".")
            writer.write(answer(200, own, body))
            await writer.drain()
            return True
        finally:
            self.running -= 1

    async def stream(self, headers, own, writer):
        """Sends 20 events in 1.25 s, from Last-Event-Id on."""
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in own:
            head += f"{name}: {value}\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        await asyncio.sleep(0.25)
        writer.write(head.encode())
        for number in range(int(headers.get("last-event-id", -1)) + 1, 20):
            event = f"id: {number}\ndata: {'x' * 48}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def configuration():
    def route(name, prefix, kind, service="orders-desk", **more):
        return {
            "name": name,
            "hostname": "ficu95.example",
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 1500,
            "target_latency_ms": 300,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
            "public": False,
            **more,
        }

    def service(name, connections):
        return {
            "name": name,
            "health_path": "/healthz",
            "max_connections": connections,
            "protocol": "h1",
            "tls": False,
        }

    return {
        "version": 7,
        "routes": [
            route("kit-order", "/order/", "non_idempotent"),
            route("order-status", "/status/", "idempotent"),
            route(
                "colour-match",
                "/match/",
                "streaming",
                "chroma-model",
                timeout_ms=8000,
                priority=1,
                stream_resume=True,
                target_gap_ms=300,
            ),
        ],
        "services": [service("orders-desk", 96), service("chroma-model", 464)],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def render(template, values):
    """Fills in {{a.b}} and {{a.0}} of the settings template."""

    def value(match):
        found = values
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


_started = []


@atexit.register
def kill_started():
    """Ends every daemon that this script started, however it ends."""
    for process in _started:
        if process.returncode is None:
            try:
                os.kill(process.pid, signal.SIGKILL)
            except OSError:
                pass


class Daemon:
    def __init__(self, store, record, folder, number):
        self.record = record
        self.folder = folder
        self.name = f"edge-attica-a-{number}"
        self.frontend = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.values = dict(SETTINGS)
        self.values["node_name"] = self.name
        self.values["listen_addrs"] = {"frontend": self.frontend, "ready": self.ready}
        self.values["port_range"] = [free_port()]
        self.values["platform"] = {"address": store.address}
        self.process = None

    async def start(self):
        with open(
            os.path.join(ROOT, "deploy", "daemon.ini.template"), encoding="utf-8"
        ) as file:
            text = render(file.read(), self.values)
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "--config", path, stdout=log, stderr=log, cwd=ROOT
        )
        _started.append(self.process)
        self.record.write(f"start {self.name} pid={self.process.pid}")

    async def wait_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    def peak_memory(self):
        """Peak resident memory in bytes, 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


def request(method, path, attempt, deadline_ms, body=b"", headers=()):
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\n"
        f"X-Clementinelb-Attempt-Id: {attempt}\r\n"
        f"X-Clementinelb-Deadline-Ms: {deadline_ms}\r\n"
        f"X-Clementinelb-Key: {KEY}\r\n"
    )
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if method != "GET":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


def run(main):
    """Runs main(record, folder) and exits with its result; 2 if it fails."""
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    record = Record(path)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not os.access(BINARY, os.X_OK):
        record.write("target/clementined is missing")
        sys.exit(2)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            code = asyncio.run(main(record, folder))
        except Exception as error:  # The case couldn't run.
            record.write(f"failed: {error!r}")
            code = 2
    record.write(f"exit {code}")
    print({0: "the rule held", 1: "the rule was broken"}.get(code, "not run"))
    sys.exit(code)
