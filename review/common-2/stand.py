"""Stand-ins and helpers for the scripts of the second review.

Starts the project's daemon with the templates of deploy/ on loopback addresses, and plays the platform around it:
the operator, replicas (plain ones and members of groups) and clients. Everything runs in one asyncio loop, but for the
daemons, which are processes of their own.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
DAEMON = REPOSITORY / "target" / "gooseberrysaild"
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
HEARTBEAT_SECONDS = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# ---- settings, from the templates of the deployment ----

def lookup(name, scopes):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes):
    """Fills in a template as the pages describe it: values, and sections over lists, tables and values."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill_section(match):
        value = lookup(match.group(1), scopes)
        if value is None or value is False:
            return ""
        if isinstance(value, (list, dict)):
            keys = list(value) if isinstance(value, dict) else list(range(len(value)))
            parts = []
            for number, key in enumerate(keys):
                inner = match.group(2).replace("{{@}}", str(key))
                inner = inner.replace("{{,}}", "," if number + 1 < len(keys) else "")
                entry = value[key]
                parts.append(render(inner, [entry if isinstance(entry, dict) else {}] + scopes))
            return "".join(parts)
        return render(match.group(2), scopes)

    text = section.sub(fill_section, text)

    def fill_value(match):
        value = lookup(match.group(1), scopes)
        return "" if value is None else as_text(value)

    return re.sub(r"\{\{([\w.]+)\}\}", fill_value, text)


# ---- HTTP, as a client of it ----

async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers, until_close=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def exchange(address, method, path, body=b"", headers=None, timeout=5.0):
    """One request on a connection of its own. Raises when there is no whole answer in time."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {(headers or {}).get('Host', address)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            first, answered = await read_head(reader)
            return int(first.split()[1]), answered, await read_body(reader, answered, True)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


# ---- the deployment ----

class Process:
    def __init__(self, deployment, name, settings):
        self.deployment, self.name, self.settings = deployment, name, settings
        self.running = None
        self.starts = 0

    def start(self):
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.running = subprocess.Popen([str(DAEMON), "--settings", str(self.settings)],
                                        cwd=REPOSITORY, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.starts += 1
        log.close()

    def send(self, number):
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.running is not None:
            self.running.wait()

    def log_text(self):
        return (self.deployment.folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """Three control processes and some entries, with the settings of a small deployment."""

    ZONES = ["rennes-hall", "brest-hall", "vannes-hall"]
    BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
              "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
              "rollbackSlackMs": 250, "outerMs": 5000, "revokeMs": 5000, "retryBudgetRatio": 0.2,
              "budgetWindowS": 10, "budgetSlack": 160, "recoveryS": 12, "passMs": 120,
              "retryAfterS": 0, "stallMs": 5000, "ceilingWindowS": 5, "loadOverageFactor": 1.1}

    def __init__(self, entries=1, controls=3, tolerated=1, front_memory=260):
        if not DAEMON.exists():
            raise SystemExit(NOT_RUN)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.base = self.free_block(controls + entries)
        self.started_at = time.monotonic()
        self.record_lines = []
        self.controls, self.entries = [], []
        self.control_addresses = [f"{self.ip(1 + n)}:8229" for n in range(controls)]
        self.entry_addresses = [f"{self.ip(101 + n)}:8227" for n in range(entries)]
        for number in range(controls):
            self.controls.append(self.make("control", number, self.ip(1 + number), tolerated, 256))
        for number in range(entries):
            self.entries.append(self.make("entry", number, self.ip(101 + number), tolerated,
                                          front_memory))

    def ip(self, last):
        return f"{self.base}.{last}"

    @staticmethod
    def free_block(count):
        for _ in range(100):
            base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                for last in list(range(1, 1 + count)) + list(range(101, 101 + count)):
                    for port in (7340, 8227, 8220, 8229, 9464):
                        with socket.socket() as probe:
                            probe.bind((f"{base}.{last}", port))
                return base
            except OSError:
                continue
        raise SystemExit(NOT_RUN)

    def make(self, role, number, ip, tolerated, memory):
        zone = self.ZONES[number % len(self.ZONES)]
        name = f"{role}-{number}"
        data = self.folder / f"data-{name}"
        fields = {"ip": ip, "zone": zone, "nodeName": name, "internalPorts": [7340, 7355],
                  "seeds": self.control_addresses[:3], "bootstrap": True,
                  "heartbeatMs": int(HEARTBEAT_SECONDS * 1000), "bounds": self.BOUNDS,
                  "zones": {each: "bzh-west" for each in self.ZONES},
                  "limits": {"memoryMb": memory}, "faultTolerance": {"machines": tolerated},
                  "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220",
                             "control": f"{ip}:8229"},
                  "dataDir": str(data)}
        template = (REPOSITORY / "deploy" / f"{role}.ini").read_text()
        path = self.folder / f"{name}.ini"
        path.write_text(render(template, [fields]))
        return Process(self, name, path)

    def start(self):
        for process in self.controls + self.entries:
            process.start()

    def stop(self):
        for process in self.controls + self.entries:
            process.send(signal.SIGCONT)
            process.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        self.record_lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")
        if os.environ.get("KEEP"):
            print(self.record_lines[-1], flush=True)

    def write_record(self, path):
        pathlib.Path(path).write_text("\n".join(self.record_lines) + "\n")

    # -- the operator --

    async def operator(self, method, path, body=b"", seconds=15.0, first=0):
        """Calls control as the pages say: follows a 307 twice, goes on to another node on failure."""
        until = time.monotonic() + seconds
        number = first
        while time.monotonic() < until:
            address = self.control_addresses[number % len(self.control_addresses)]
            number += 1
            target = path
            try:
                for _ in range(3):
                    status, headers, answer = await exchange(
                        address, method, target, body, {"Content-Type": "application/json"}, 1.0)
                    if status != 307:
                        break
                    match = re.match(r"http://([^/]+)(/.*)", headers["location"])
                    address, target = match.group(1), match.group(2)
                if status < 500 and status not in (307, 408, 429):
                    return status, answer
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return 0, b""

    async def put_config(self, document, seconds=15.0):
        body = json.dumps(document).encode()
        status, _ = await self.operator("PUT", "/api/config", body, seconds)
        self.note(f"operator: version {document['version']} answered {status}")
        return status

    async def wait_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        for number in range(len(self.entries)):
            while True:
                try:
                    status, _, _ = await exchange(f"{self.ip(101 + number)}:8220", "GET",
                                                  "/api/ready", timeout=1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True


def plain_route(name, service, kind="safe", timeout_ms=3000, attempts=2, prefix=None, **more):
    return {"name": name, "host": "desk.example", "pathPrefix": prefix or f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False, "sticky": False, **more}


def document(version, routes, services, tenants=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "parish", "apiKeys": ["key-of-parish"], "priority": 1}]}


def plain_service(name, connections=110):
    return {"name": name, "healthPath": "/health", "maxConns": connections, "protocol": "h1",
            "tls": False}


# ---- replicas ----

class Replica:
    """A plain replica. `answer` may be replaced to misbehave as the pages allow."""

    def __init__(self, deployment, service, ip, slots=6, zone=None):
        self.deployment, self.service, self.ip = deployment, service, ip
        self.zone = zone or deployment.ZONES[0]
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = ""
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.beats = True
        self.cut_from_control = False
        self.writers = set()
        self.server = None
        self.task = None
        self.arrivals = []  # (time, request id, headers, what)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.task = asyncio.create_task(self.beat_forever())

    async def stop(self):
        self.alive = False
        if self.task:
            self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def row(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence}

    async def beat(self):
        self.sequence += 1
        body = json.dumps(self.row()).encode()
        addresses = list(self.deployment.control_addresses)
        random.shuffle(addresses)
        for address in addresses:
            if self.cut_from_control:
                return False
            try:
                status, _, _ = await exchange(address, "PUT", f"/api/instances/{self.id}", body,
                                              {"Content-Type": "application/json"}, 1.0)
                if status // 100 == 2:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
        return False

    async def beat_forever(self):
        while self.alive:
            if self.beats:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.95, 1.05))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ", 2)
                if not await self.handle(method, path, headers, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body, reader, writer):
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return await self.send(writer, 421, headers, b"", {"X-Not-Executed": "1"})
        self.arrivals.append((time.monotonic(), headers.get("x-request-id", ""), headers, (method, path, body)))
        return await self.answer(method, path, headers, body, reader, writer)

    async def answer(self, method, path, headers, body, reader, writer):
        await asyncio.sleep(0.03)
        return await self.send(writer, 200, headers, b"served by " + self.id.encode(),
                               {"X-Response-Seal": f"seal-{self.id}"})

    async def send(self, writer, status, headers, body, more=None):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        if headers.get("x-request-id"):
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        lines += [f"{name}: {value}" for name, value in (more or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return True


# ---- running a script ----

def run(script, seconds=110):
    """Runs the coroutine `script` and exits with its verdict."""
    async def main():
        return await asyncio.wait_for(script(), seconds)

    try:
        verdict = asyncio.run(main())
    except Exception as error:  # Whatever fails here is no verdict on the rule.
        print("could not run:", repr(error))
        verdict = NOT_RUN
    sys.stdout.flush()
    os._exit(verdict)  # Connections that are still open are not worth a message each.
