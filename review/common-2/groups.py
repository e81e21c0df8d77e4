"""Replicas of a model that form groups by orders, as the pages describe them, and the judge of rule TWO."""

import asyncio
import json
import time

from stand import HEARTBEAT_SECONDS, Replica

FORM_SECONDS = 0.3
STALL_SECONDS = 5.0


def model_service(name, models, slots=34):
    """A service with an engine, with the fields of the pages' example."""
    return {"name": name, "healthPath": "/health", "maxConns": 346, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacityTokens": 1860000, "kvTokenBytes": 96256,
                       "linkMbps": 400000.0, "stride": 5, "models": models, "step_ms": 7.8,
                       "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
                       "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 3.0,
                       "loads_at_once": 6, "delays": [], "usual": {"prompt": 919, "answer": 135},
                       "retainCount": 1, "far_x": 3.0, "formMs": 300.0}}


def model(name, size, share, load_s, warm_s, pace=1.0):
    return {"name": name, "size": size, "share": share, "pace": pace, "loadS": load_s, "warmS": warm_s}


class Fleet:
    """All model replicas by id, and what the rule looks at."""

    def __init__(self, deployment, models):
        self.deployment = deployment
        self.models = {each["name"]: each for each in models}
        self.replicas = {}
        self.has_traffic = False
        self.breaks = []
        self.orders = []  # Time, and whether it got no answer.

    def head_of(self, group):
        return self.replicas.get(group["members"][0]) if group else None

    def judge_join(self, replica, former, new):
        """TWO: a replica takes a join of another group while the head of its group is open or closing, or stands
        still and isn't yet broken. A group that it has left is not its group any more, and one that goes on under its
        name with another head is the same group."""
        if former is None or former["name"] == new["name"]:
            return
        head = self.replicas.get(former["members"][0])
        own = head.group if head is not None and head.alive else None
        if head is replica:
            own = former
        if own and (own["name"], own["epoch"]) == (former["name"], former["epoch"]) and own["state"] in ("open", "closing"):
            text = (f"TWO: {replica.id} takes a join of {new['name']} (epoch {new['epoch']}) while {head.id}, head of its "
                    f"group {former['name']} (epoch {former['epoch']}), which it hasn't left, is {own['state']}" +
                    (" and stands still" if head.incomplete_since is not None else ""))
            self.breaks.append(text)
            self.deployment.note(text)


class GroupReplica(Replica):
    def __init__(self, fleet, service, ip, domain="0", **more):
        super().__init__(fleet.deployment, service, ip, slots=34, **more)
        self.fleet = fleet
        self.domain = domain
        self.staged = []
        self.loaded = ""
        self.last_model = ""
        self.group = None  # name, epoch, rank, state, members, model
        self.highest_epoch = 0
        self.orders = 0
        self.busy_until = 0.0
        self.running = 0
        self.order_filter = None  # Returns the seconds by which an order is late, or None.
        self.cut = False  # From all machines of the system; not from other replicas.
        self.incomplete_since = None
        self.wake = asyncio.Event()
        self.beaten_at = 0.0
        fleet.replicas[self.id] = self

    # -- what it tells --

    def group_row(self):
        if not self.group:
            return {}
        return {key: self.group[key] for key in ("name", "epoch", "rank", "state")}

    def row(self):
        row = super().row()
        row.update({"stage": "both", "domain": self.domain, "staged": self.staged,
                    "models": [{"name": self.loaded, "version": 1, "adapters": []}] if self.loaded else [],
                    "group": self.group_row()})
        return row

    async def beat_forever(self):
        while self.alive:
            self.wake.clear()
            if not self.cut:
                await self.beat()
                self.beaten_at = time.monotonic()
            try:
                await asyncio.wait_for(self.wake.wait(), HEARTBEAT_SECONDS)
            except asyncio.TimeoutError:
                pass

    def changed(self):
        self.wake.set()  # Changes are reported at once.

    # -- what it is told --

    async def serve(self, reader, writer):
        if self.cut:
            # Behind the cut nothing is answered.
            self.writers.add(writer)
            while self.cut and self.alive:
                await asyncio.sleep(0.05)
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    async def handle(self, method, path, headers, body, reader, writer):
        if self.cut:
            return False
        if path == "/api/report":
            report = {"stage": "both", "busy": False, "seq": self.orders, "queued": 0, "running": self.running,
                      "kvUsed": 0, "kvTotal": 1860000, "handles": 0, "pace": 1.0, "staged": self.staged,
                      "domain": self.domain, "group": self.group_row(),
                      "models": [{"name": self.loaded, "version": 1, "adapters": []}] if self.loaded else []}
            return await self.send(writer, 200, headers, json.dumps(report).encode())
        if path == "/api/order":
            expected = headers.get("x-expect-instance")
            if expected and expected != self.id:
                return await self.send(writer, 421, headers, b"")
            order = json.loads(body)
            late = self.order_filter(order) if self.order_filter else None
            self.fleet.orders.append((time.monotonic(), late is not None))
            if late is not None:
                self.deployment.note(f"{self.id} leaves {order['op']} {order.get('group', '')} unanswered, carries it out {late:.1f} s later")
                asyncio.create_task(self.later(late, order))
                await asyncio.sleep(3.0)
                return False
            status = self.carry_out(order)
            self.deployment.note(f"{self.id} answers {status} to {order['op']} {order.get('group', '')} {order.get('epoch', '')} {order.get('model', '')}")
            return await self.send(writer, status, headers, b"{}")
        return await super().handle(method, path, headers, body, reader, writer)

    async def later(self, seconds, order):
        await asyncio.sleep(seconds)
        status = self.carry_out(order)
        self.deployment.note(f"{self.id} carries out {order['op']} {order.get('group', '')} {order.get('epoch', '')} late: {status}")

    def carry_out(self, order):
        op = order["op"]
        if op == "join":
            return self.join(order)
        if op == "stage":
            return self.stage(order["model"])
        own = self.group
        if not own or own["name"] != order["group"] or own["epoch"] != order["epoch"]:
            return 200 if op == "leave" else 409
        self.orders += 1
        if op == "leave":
            self.group = None
            self.changed()
            return 200
        if op == "open":
            if own["state"] == "open":
                return 200
            if own["rank"] != 0 or own["state"] != "ready":
                return 409
            asyncio.create_task(self.open_later(own))
            return 202
        if op == "close":
            if own["state"] in ("ready", "joining", "broken"):
                return 200
            own["state"] = "closing"
            self.changed()
            asyncio.create_task(self.close_later(own))
            return 202
        return 400

    def join(self, order):
        same = self.group and self.group["name"] == order["group"] and self.group["epoch"] == order["epoch"]
        if order["epoch"] < self.highest_epoch or (same and self.group["members"] != order["members"]):
            return 412
        if same:
            return 200
        self.orders += 1
        new = {"name": order["group"], "epoch": order["epoch"], "rank": order["members"].index(self.id),
               "state": "joining", "members": order["members"], "model": order["model"]}
        self.fleet.judge_join(self, self.group, new)
        self.highest_epoch = order["epoch"]
        self.group = new
        self.incomplete_since = None
        spec = self.fleet.models[order["model"]]
        if self.last_model == order["model"]:
            seconds = 0.2
        elif order["model"] in self.staged:
            seconds = spec["warmS"]
        else:
            seconds = spec["loadS"] * (1.0 if self.fleet.has_traffic else 0.1)
        self.last_model = order["model"]
        self.changed()
        asyncio.create_task(self.ready_later(new, seconds))
        return 202

    def stage(self, name):
        if name in self.staged:
            return 200
        self.orders += 1
        seconds = self.fleet.models[name]["loadS"] * (1.0 if self.fleet.has_traffic else 0.1)

        async def load():
            await asyncio.sleep(seconds)
            self.staged = [name]
            self.changed()

        asyncio.create_task(load())
        return 202

    async def ready_later(self, group, seconds):
        await asyncio.sleep(seconds)
        if self.group is group and group["state"] == "joining":
            group["state"] = "ready"
            self.loaded = group["model"]
            self.staged = [group["model"]]
            self.changed()

    async def open_later(self, group):
        await asyncio.sleep(FORM_SECONDS)
        if self.group is group and group["state"] == "ready":
            group["state"] = "open"
            self.deployment.note(f"{self.id} opens {group['name']}")
            self.changed()
            asyncio.create_task(self.watch_members(group))

    async def close_later(self, group):
        while self.running and self.group is group:
            await asyncio.sleep(0.02)
        if self.group is group and group["state"] == "closing":
            group["state"] = "ready"
            self.changed()

    async def watch_members(self, group):
        """A head that lacks a member stands still, and is broken after a time."""
        while self.alive and self.group is group and group["state"] in ("open", "closing"):
            lacking = [each for each in group["members"][1:] if not self.has(each, group)]
            if not lacking:
                self.incomplete_since = None
            elif self.incomplete_since is None:
                self.incomplete_since = time.monotonic()
            elif time.monotonic() - self.incomplete_since > STALL_SECONDS:
                group["state"] = "broken"
                self.deployment.note(f"{self.id} is broken")
                self.changed()
            await asyncio.sleep(0.02)

    def has(self, member, group):
        other = self.fleet.replicas.get(member)
        return (other is not None and other.alive and other.group is not None and
                other.group["name"] == group["name"] and other.group["epoch"] == group["epoch"])

    # -- requests --

    async def answer(self, method, path, headers, body, reader, writer):
        if not self.group or self.group["rank"] != 0 or self.group["state"] != "open" or headers.get("x-model") != self.group["model"]:
            return await self.send(writer, 421 if self.group and self.group["rank"] else 503, headers, b"", {"X-Not-Executed": "1"})
        self.running += 1
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                     f"X-Request-Id: {headers['x-request-id']}", f"X-Response-Seal: seal-{self.id}"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            first = int(headers.get("last-event-id") or 0)
            for number in range(first + 1, 11):
                await asyncio.sleep(0.05)
                while self.cut or (self.incomplete_since is not None and self.group and self.group["state"] == "open"):
                    await asyncio.sleep(0.02)  # Nothing moves, or nothing gets through.
                if not self.group or self.group["state"] == "broken":
                    writer.transport.abort()
                    return False
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1
