"""Runs one control process, one entry, a four-VM replica and a plain service with agents on loopback.

Usage: python3 tools/demo.py BUILD_FOLDER
Prints each answer and the record of its request, then stops all processes that it started.
"""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

CLUSTER_KEY = "demo-cluster-key-0123456789abcdef"
OPERATOR_TOKEN = "demo-operator"
WORKSPACE_TOKEN = "demo-workspace"
MEMBERS = ("vm-1", "vm-2", "vm-3", "vm-4")
START_TIMEOUT_SECONDS = 30


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % listener.getsockname()[1]


def wait_until(condition, what):
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise SystemExit("demo: timed out waiting until " + what)


class Demo:
    """Holds the processes of one run and the folder with their settings."""

    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []
        self.control_peer = free_address()
        self.control_http = free_address()
        self.entry_http = free_address()

    def start(self, name, command):
        log = open(self.folder / (name + ".log"), "w")
        self.processes.append((name, subprocess.Popen(command, stdout=log, stderr=log)))

    def start_daemon(self, role, name, domain, http, extra):
        peer = self.control_peer if role == "control" else free_address()
        text = f"""[process]
role = {role}
name = {name}
failureDomain = {domain}
listen = {peer}
httpListen = {http}

[cluster]
key = {CLUSTER_KEY}
control = control-1={self.control_peer}

{extra}
"""
        path = self.folder / (name + ".ini")
        path.write_text(text)
        self.start(name, [str(self.build / "gooseberrysaild"), "--settings", str(path)])

    def start_agent(self, vm, target, kind, service=""):
        extra = f"[agent]\nvm = {vm}\nfabricDomain = fabric-a\naccelerators = 2\n"
        extra += f"targetKind = {kind}\ntargetAddress = {target}\n"
        if service:
            extra += f"service = {service}\n"
        self.start_daemon("agent", "agent-" + vm, "half-way-tree", free_address(), extra)

    def start_target(self, vm):
        address = free_address()
        self.start("target-" + vm, [str(self.build / "fake_target"), "--listen", address])
        return address

    def tool(self, *arguments):
        command = [str(self.build / "gooseberrysail"), "--control", self.control_http, *arguments]
        environment = {**os.environ, "GOOSEBERRYSAIL_TOKEN": OPERATOR_TOKEN,
                       "GOOSEBERRYSAIL_OPERATOR": "demo"}
        done = subprocess.run(command, text=True, capture_output=True, env=environment)
        return done.returncode, done.stdout + done.stderr

    def call(self, method, path, body=None, headers=None):
        host, port = self.entry_http.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        sent = {"Authorization": "Bearer " + WORKSPACE_TOKEN, **(headers or {})}
        connection.request(method, path, body, sent)
        answer = connection.getresponse()
        text = answer.read().decode()
        connection.close()
        return answer, text

    def stop(self):
        """Stops agents first: they exit at once while control still runs and releases their groups."""
        for role in ("agent", "entry", "target", "control"):
            self.stop_all([entry for entry in self.processes if entry[0].startswith(role)])

    def stop_all(self, processes):
        for _, process in processes:
            process.send_signal(signal.SIGTERM)
        for name, process in processes:
            try:
                process.wait(timeout=40)
            except subprocess.TimeoutExpired:
                print("demo: %s did not stop, killing it" % name)
                process.kill()
                process.wait()


def catalogue():
    return [
        {"kind": "model", "name": "hire-assist", "owner": "hire-desk", "class": "interactive",
         "spec": {"version": "2026-11", "replicas": 1, "membersPerReplica": 4,
                  "maxConcurrent": 64, "maxQueued": 64}},
        {"kind": "service", "name": "booking-portal", "owner": "hire-desk", "class": "interactive",
         "spec": {"nonRepeatable": [{"method": "POST", "pathPrefix": "/bookings"}]}},
        {"kind": "workspace", "name": "kingston", "owner": "hire-desk", "class": "interactive",
         "spec": {"tokenHash": sha256(WORKSPACE_TOKEN), "requestsPerSecond": 100}},
    ]


def show(demo, title, answer, text):
    print("== %s: %d" % (title, answer.status))
    print(text.strip())
    code, record = demo.tool("request", "show", answer.headers["X-Request-Id"])
    print(record.strip())
    print()


def chat(stream):
    return json.dumps({"model": "hire-assist", "stream": stream,
                       "messages": [{"role": "user", "content": "Is a roller free on Friday?"}]})


def run(demo):
    control = f"[control]\ndataFolder = {demo.folder}/data\noperatorTokenHash = {sha256(OPERATOR_TOKEN)}\n"
    demo.start_daemon("control", "control-1", "half-way-tree", demo.control_http, control)
    demo.start_daemon("entry", "entry-1", "half-way-tree", demo.entry_http, "")
    targets = {vm: demo.start_target(vm) for vm in (*MEMBERS, "vm-portal")}
    for vm in MEMBERS:
        demo.start_agent(vm, targets[vm], "engine")
    demo.start_agent("vm-portal", targets["vm-portal"], "service", "booking-portal")

    path = demo.folder / "catalogue.json"
    path.write_text(json.dumps(catalogue()))
    wait_until(lambda: demo.tool("catalogue", "apply", str(path))[0] == 0, "the catalogue is applied")
    print(demo.tool("catalogue", "list")[1])
    wait_until(lambda: demo.call("POST", "/v1/chat/completions", chat(False))[0].status == 200,
               "the replica serves")
    wait_until(lambda: demo.call("GET", "/services/booking-portal/stock/kingston")[0].status == 200,
               "the service serves")
    print(demo.tool("groups")[1])

    json_type = {"Content-Type": "application/json"}
    show(demo, "chat completion", *demo.call("POST", "/v1/chat/completions", chat(False), json_type))
    show(demo, "streamed chat completion",
         *demo.call("POST", "/v1/chat/completions", chat(True), json_type))
    key = {"Idempotency-Key": "booking-17", **json_type}
    booking = json.dumps({"machine": "roller-3", "day": "2026-12-04"})
    show(demo, "booking", *demo.call("POST", "/services/booking-portal/bookings", booking, key))
    show(demo, "the same booking again",
         *demo.call("POST", "/services/booking-portal/bookings", booking, key))

    name, member = [p for p in demo.processes if p[0] == "agent-" + MEMBERS[3]][0]
    member.kill()
    member.wait()
    demo.processes.remove((name, member))
    wait_until(lambda: demo.call("POST", "/v1/chat/completions", chat(False))[0].status == 503,
               "the gate closes")
    answer, text = demo.call("POST", "/v1/chat/completions", chat(False), json_type)
    print("Retry-After:", answer.headers["Retry-After"])
    show(demo, "after one member's agent was killed", answer, text)


def main():
    with tempfile.TemporaryDirectory(prefix="gooseberrysail-demo-") as folder:
        demo = Demo(pathlib.Path(sys.argv[1]), pathlib.Path(folder))
        try:
            run(demo)
        except BaseException:
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print("--", log.name, "--")
                print("\n".join(log.read_text().splitlines()[-15:]))
            raise
        finally:
            demo.stop()
        print("demo: all processes have stopped")


if __name__ == "__main__":
    main()
