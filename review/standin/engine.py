"""Stand-in of model workers: groups, orders, reports and streams.

PROTOCOL.md, "Requests" (from "A replica of a model is a group") says what a
worker does. Times are those of the small sites; before the first request, loads
take a tenth of the time.
"""

import asyncio
import time

from clementine_site import HOST, Worker, answer, json, read_message

MODELS = {
    "daka510000": {"size": 4, "load_s": 16.0, "warm_s": 1.6, "pace": 1.0, "share": 0.57},
    "rada7437b5": {"size": 3, "load_s": 12.0, "warm_s": 1.1, "pace": 0.6, "share": 0.43},
}
SLOTS = 26
FORM_S = 0.3
STALL_S = 5.0
BEAT_S = 1.2


def model_service(name="chroma-model"):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 464,
        "protocol": "h1",
        "tls": False,
        "runtime": {
            "slots": SLOTS,
            "kv_capacity": 1590000,
            "kv_bytes": 327680,
            "stride": 7,
            "model_list": [
                {
                    "name": model,
                    "size": of["size"],
                    "work_share": of["share"],
                    "pace": of["pace"],
                    "load_time_s": of["load_s"],
                    "warmup_s": of["warm_s"],
                }
                for model, of in MODELS.items()
            ],
            "step_ms": 5.95,
            "per_seq_ms": 0.0445,
            "context_per_k": 0.00813,
            "read_per_s": 50700.0,
            "pairs_per_m": 0.368,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "loads_per_s": 4.5,
            "loads_at_once": 6,
            "usual": {"prompt": 1115, "answer": 178},
            "retain_count": 1,
            "far_x": 3.0,
            "form_ms": 300.0,
        },
    }


class Site:
    """What the workers share."""

    def __init__(self):
        self.workers = {}  # By id.
        self.served = False  # A request has run.
        self.deadly_parts = set()
        self.crashes = []  # (time, worker, attempt)
        self.reached = []  # Times at which deadly requests reached workers.
        self.next_id = 0

    def new_id(self):
        self.next_id += 1
        return f"i-{0x7F000000 + self.next_id:08x}"


class ModelWorker(Worker):
    def __init__(self, store, record, site, domain, down_s=3.0):
        super().__init__(store, record, 0, "chroma-model")
        self.site = site
        self.domain = domain
        self.down_s = down_s
        self.staged = None
        self.server = None
        self.port = 0
        self.connections = set()
        self.begin_life()

    def begin_life(self):
        self.id = self.site.new_id()
        self.site.workers[self.id] = self
        self.born = int(time.time() * 1000)
        self.alive = True
        self.accepted = 0
        self.epoch_seen = 0
        self.group = None
        self.last_model = None
        self.active = 0
        self.life = object()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=1 << 20, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        asyncio.ensure_future(self.beat_while(self.life))

    def state(self):
        spec = {
            "phase": "combined",
            "model_list": [{"name": self.staged, "version": 1, "adapters": []}]
            if self.staged
            else [],
            "domain": self.domain,
            "staged_models": [self.staged] if self.staged else [],
            "born": self.born,
        }
        if self.group:
            spec["group"] = {
                "name": self.group["name"],
                "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.id),
                "state": self.group["state"],
            }
        return spec

    async def publish(self):
        if not self.alive:
            return
        self.sequence += 1
        await self.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": "attica-a",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                **self.state(),
            },
        )

    async def beat_while(self, life):
        while self.alive and self.life is life:
            await self.publish()
            await asyncio.sleep(BEAT_S)

    async def crash(self, attempt):
        """Connections are reset, the port refuses; back after some seconds."""
        if not self.alive:
            return
        self.alive = False
        self.site.crashes.append((time.monotonic(), self.id, attempt))
        self.record.write(f"crash worker={self.id} attempt={attempt}")
        old = self.id
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.ensure_future(self.expire(old))
        await asyncio.sleep(self.down_s)
        del self.site.workers[old]
        self.begin_life()
        await self.start()

    async def expire(self, old):
        await asyncio.sleep(3 * BEAT_S)
        await self.store.put("servers", old, None, deleted=True)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or not self.alive:
                    break
                if not await self.respond_model(message, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond_model(self, message, writer):
        line, headers, body = message
        own = [("X-Clementinelb-Instance-Id", self.id)]
        if headers.get("x-clementinelb-expected-instance", self.id) != self.id:
            writer.write(answer(421, own))
        elif line.startswith("GET /report "):
            report = {
                **self.state(),
                "busy": False,
                "sequence": self.accepted,
                "queued": 0,
                "active": self.active,
                "kv_in_use": 0,
                "kv_capacity_total": 1590000,
                "kv_handles": 0,
            }
            own.append(("Content-Type", "application/json"))
            writer.write(answer(200, own, json.dumps(report).encode()))
        elif line.startswith("POST /order "):
            status = self.order(json.loads(body))
            writer.write(answer(status, own))
        else:
            return await self.generate(headers, own, writer)
        await writer.drain()
        return True

    # Orders.

    def order(self, order):
        if "expected" in order and order["expected"] != self.accepted:
            return 409
        status = getattr(self, "order_" + order["operation"], lambda _: 400)(order)
        if status == 202:
            self.accepted += 1
        self.record.write(
            f"order worker={self.id} {order['operation']} {order.get('group')} -> {status}"
        )
        return status

    def holds(self, order):
        group = self.group
        return (
            group is not None
            and group["name"] == order["group"]
            and group["epoch"] == order["epoch"]
        )

    def set_state(self, group, state):
        if self.group is group and self.alive:
            group["state"] = state
            asyncio.ensure_future(self.publish())

    async def later(self, delay, group, state):
        await asyncio.sleep(delay)
        if group["state"] in ("joining", "ready"):
            self.set_state(group, state)

    def order_join(self, order):
        same = self.holds(order)
        if order["epoch"] < self.epoch_seen:
            return 412
        if same and self.group["members"] != order["members"]:
            return 412
        if same:
            return 200
        self.epoch_seen = order["epoch"]
        model = order["model_name"]
        of = MODELS[model]
        if self.last_model == model:
            delay = 0.2
        elif self.staged == model:
            delay = of["warm_s"]
        else:
            delay = of["load_s"] * (1.0 if self.site.served else 0.1) + of["warm_s"]
        self.last_model = model
        group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "members": order["members"],
            "model": model,
            "state": "joining",
        }
        self.group = group
        asyncio.ensure_future(self.finish_join(delay, group, model))
        asyncio.ensure_future(self.publish())
        return 202

    async def finish_join(self, delay, group, model):
        await asyncio.sleep(delay)
        if self.group is group:
            self.staged = model
        await self.later(0, group, "ready")

    def order_open(self, order):
        if not self.holds(order) or self.group["members"][0] != self.id:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready":
            return 409
        asyncio.ensure_future(self.later(FORM_S, self.group, "open"))
        return 202

    def order_close(self, order):
        if not self.holds(order):
            return 409
        if self.group["state"] != "open":
            return 200
        asyncio.ensure_future(self.finish_close(self.group))
        return 202

    async def finish_close(self, group):
        self.set_state(group, "closing")
        while self.active > 0 and self.group is group:
            await asyncio.sleep(0.05)
        self.set_state(group, "ready")

    def order_leave(self, order):
        if not self.holds(order):
            return 409
        self.group = None
        asyncio.ensure_future(self.publish())
        return 202

    def order_phase(self, order):
        model = order["model_name"]
        if self.staged == model:
            return 200
        asyncio.ensure_future(self.stage(model))
        return 202

    async def stage(self, model):
        load = MODELS[model]["load_s"] * (1.0 if self.site.served else 0.1)
        await asyncio.sleep(load)
        self.staged = model
        await self.publish()

    # Requests.

    async def generate(self, headers, own, writer):
        attempt = headers.get("x-clementinelb-attempt-id", "")
        own.append(("X-Clementinelb-Attempt-Id", attempt))
        group = self.group
        model = headers.get("x-clementinelb-model")
        if group is None or group["members"][0] != self.id or group["model"] != model:
            writer.write(answer(421, own + [("X-Clementinelb-Not-Executed", "1")]))
            await writer.drain()
            return True
        if group["state"] != "open" or self.active >= 2 * SLOTS:
            writer.write(answer(503, own + [("X-Clementinelb-Not-Executed", "1")]))
            await writer.drain()
            return True
        parts = [
            part.split(":")[0].strip()
            for part in headers.get("x-clementinelb-prompt-prefix", "").split(",")
        ]
        deadly = bool(self.site.deadly_parts & set(parts[:-1]))
        if deadly:
            self.site.reached.append(time.monotonic())
        self.active += 1
        life = self.life
        try:
            self.record.write(
                f"reach worker={self.id} attempt={attempt} model={model} deadly={deadly}"
            )
            # The prompt is read, then the answer begins.
            await asyncio.sleep(0.1)
            if not self.alive or self.life is not life:
                return False
            self.site.served = True
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            if deadly:
                asyncio.ensure_future(self.crash(attempt))
                return False
            own.append(("X-Clementinelb-Response-Signature", f"{self.id}.{attempt}"))
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            for name, value in own:
                head += f"{name}: {value}\r\n"
            writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(int(headers.get("last-event-id", -1)) + 1, 20):
                event = f"id: {number}\ndata: {'x' * 48}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.05)
                if not self.alive or self.life is not life:
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            if self.life is life:
                self.active -= 1


def model_configuration(base):
    """The configuration of the small site, with its model service."""
    for index, service in enumerate(base["services"]):
        if service["name"] == "chroma-model":
            base["services"][index] = model_service()
    for route in base["routes"]:
        if route["service"] == "chroma-model":
            route["session_affinity"] = True
    return base


async def wait_open(site, model, groups, seconds=25.0):
    """Waits until that many groups of the model are open."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = [
            w
            for w in site.workers.values()
            if w.alive and w.group and w.group["model"] == model and w.group["state"] == "open"
            and w.group["members"][0] == w.id
        ]
        if len(found) >= groups:
            return True
        await asyncio.sleep(0.1)
    return False
