"""Stand-ins of the platform's store and of plain workers, and a supervisor of
the daemons, for the cases of the second review. Everything runs on loopback
addresses in one asyncio loop; the daemons are separate processes."""

import asyncio
import json
import os
import re
import resource
import signal
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Unavailable"}


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin1").split(" ", 2)
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin1").rstrip("\r\n")
        if not field:
            break
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def answer(status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Base of the HTTP stand-ins."""

    def __init__(self):
        self.port = 0
        self.writers = set()

    async def listen(self, port=0):
        self.socket = await asyncio.start_server(
            self._connection, "127.0.0.1", port, limit=1 << 20, backlog=2048)
        self.port = self.socket.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(writer, *request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.log = []  # (revision, kind, name, object, deleted)

    def _touch(self, kind, name, deleted=False):
        self.revision += 1
        item = self.objects[kind][name]
        item["metadata"]["revision"] = self.revision
        self.log.append((self.revision, kind, json.loads(json.dumps(item)),
                         deleted))
        if deleted:
            del self.objects[kind][name]
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    def put(self, kind, name, spec):
        items = self.objects.setdefault(kind, {})
        if name not in items:
            items[name] = {"metadata": {
                "name": name, "revision": 0, "created": self.revision + 1,
                "finalizers": [], "deletion_pending": False}, "status": None}
        elif items[name]["spec"] == spec:
            return items[name]
        items[name]["spec"] = spec
        return self._touch(kind, name)

    def remove(self, kind, name):
        if name in self.objects.get(kind, {}):
            self._touch(kind, name, deleted=True)

    async def handle(self, writer, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.split("/")[2:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else "")
        items = self.objects.setdefault(kind, {})
        if method == "GET" and not name:
            if "watch" in query:
                reply = await self._watch(kind, int(query["watch"]),
                                          int(query.get("wait_ms", "0")))
            else:
                reply = answer(200, {"entries": list(items.values()),
                                     "has_more": False, "at": self.revision})
        elif method == "GET":
            reply = answer(200, items[name]) if name in items else answer(404)
        else:
            reply = self._write(method, kind, name, query, body)
        writer.write(reply)
        await writer.drain()
        return True

    def _write(self, method, kind, name, query, body):
        items = self.objects[kind]
        data = json.loads(body) if body else {}
        metadata = data.get("metadata", {})
        wanted = metadata.get("revision", query.get("revision"))
        if method == "POST":
            name = metadata["name"]
            if name in items:
                return answer(409, items[name])
            return answer(201, self.put(kind, name, data.get("spec")))
        if name not in items:
            return answer(404, {})
        if wanted and int(wanted) != items[name]["metadata"]["revision"]:
            return answer(409, items[name])
        if method == "DELETE":
            self.remove(kind, name)
            return answer(200, {})
        return answer(200, self.put(kind, name, data.get("spec")))

    async def _watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": item, "deleted": deleted}
                      for revision, k, item, deleted in self.log
                      if k == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return answer(200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker(Server):
    """A plain worker: runs a request for `work_s` and answers it whole."""

    def __init__(self, store, service, name, record, work_s=0.01, slots=6):
        super().__init__()
        self.store, self.service, self.record = store, service, record
        self.id, self.work_s, self.slots = name, work_s, slots
        self.state = "ready"
        self.sequence = 0

    async def start(self):
        await self.listen()
        self.register()

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": "z1",
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "born": 1700000000000,
            "sequence": self.sequence})

    async def handle(self, writer, method, target, headers, body):
        expected = headers.get("x-clementinelb-expected-instance")
        attempt = headers.get("x-clementinelb-attempt-id", "")
        own = [("X-Clementinelb-Instance-Id", self.id)]
        if attempt:
            own.append(("X-Clementinelb-Attempt-Id", attempt))
        if expected is not None and expected != self.id:
            writer.write(answer(421, b"", own))
            return True
        if target == "/healthz":
            writer.write(answer(200, b"ok\n", own))
            return True
        return await self.run(writer, method, target, headers, body, own)

    async def run(self, writer, method, target, headers, body, own):
        await asyncio.sleep(self.work_s)
        own.append(("X-Clementinelb-Response-Signature", f"sig.{self.id}"))
        writer.write(answer(200, b"x" * 800, own))
        await writer.drain()
        return True


def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "hostname": "shop.example", "path_prefix": prefix,
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "public": True, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_connections": most, "protocol": "h1",
                          "tls": False} for name, most in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": []}


class Daemon:
    """A process started with the command of the deploy file; its settings are
    the deployment's template, filled in as for the small sites."""

    def __init__(self, name, store, folder, memory_mb=260, max_fds=4200):
        self.name, self.store, self.folder = name, store, folder
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.process = None
        self.first = True
        self.starts = 0
        self.ports = None

    def _settings(self):
        front, ready, changes = self.ports
        fields = {
            "node_name": self.name, "region": "r1", "zone": "z1",
            "limits.cpu_quota": "0.25",
            "bootstrap": "true" if self.first else "false",
            "listen_addrs.frontend": f"127.0.0.1:{front}",
            "listen_addrs.ready": f"127.0.0.1:{ready}",
            "ip_address": "127.0.0.1", "port_range.0": str(changes),
            "platform.address": self.store.address,
            "limits.memory_mb": str(self.memory_mb),
            "limits.max_fds": str(self.max_fds),
            "bounds.drain_ms": "2000", "bounds.config_apply_ms": "2000",
            "bounds.revoke_ms": "5000"}
        text = (ROOT / "deploy/daemon.ini.template").read_text()
        text = re.sub(r"\{\{#([a-z_.]+)\}\}.*?\{\{/\1\}\}\n?", "", text,
                      flags=re.S)
        return re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                      lambda m: fields[m.group(1)], text)

    async def start(self):
        if self.ports is None:
            self.ports = free_ports(3)
        path = Path(self.folder) / f"{self.name}.ini"
        path.write_text(self._settings())
        self.first = False
        self.starts += 1
        self.log = open(Path(self.folder) / f"{self.name}-{self.starts}.log",
                        "w")

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (self.max_fds, self.max_fds))
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/clementined"), "--config", str(path),
            stdout=self.log, stderr=self.log, cwd=ROOT, preexec_fn=limit)

    @property
    def front(self):
        return self.ports[0]

    def rss_mb(self):
        """Resident memory, in MB of 1,000,000 bytes; 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self, timeout=10.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, _ = await send(self.ports[1], "GET", "/readyz",
                                      {}, b"", 1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def free_ports(count):
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def send(port, method, target, headers, body, timeout):
    """Sends a request on a connection of its own.
    Returns (status or None, headers, body)."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": "shop.example", **headers}
            head += [f"{name}: {value}" for name, value in fields.items()]
            head += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(head).encode() + body)
            await writer.drain()
            line = await reader.readline()
            if not line:
                return None, {}, b""
            status = int(line.split()[1])
            got = {}
            while True:
                field = (await reader.readline()).decode("latin1").strip()
                if not field:
                    break
                name, _, value = field.partition(":")
                got[name.lower()] = value.strip()
            data = await reader.readexactly(int(got.get("content-length", 0)))
            return status, got, data
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return None, {}, b""
    finally:
        if writer:
            writer.close()
