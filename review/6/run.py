"""DRAIN: a replica that was acknowledged as gone gets requests again after the core was killed at one moment."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from stand import (NOT_RUN, RULE_BROKEN, RULE_HELD, TROUBLE, Deployment, Replica, document, exchange,  # noqa: E402
                   plain_route, plain_service, run)

DRAIN_SECONDS = Deployment.BOUNDS["drainMs"] / 1000
CONTACT_SECONDS = Deployment.BOUNDS["contactMs"] / 1000
LATE_SECONDS = 2.5        # "A heartbeat may arrive seconds late."
DOWN_SECONDS = 0.6        # "be back within a second"
SERVES_ON_SECONDS = 12.0  # "a little longer (at times many seconds)"
REQUEST_SECONDS = 0.04


class HoldingRelay:
    """The network: holds what is sent to it for some time, then passes it on to a control process."""

    def __init__(self, ip, target):
        self.ip, self.target, self.answered = ip, target, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        data = await reader.read(65536)
        await asyncio.sleep(LATE_SECONDS)
        host, port = self.target.rsplit(":", 1)
        try:
            onward_reader, onward = await asyncio.open_connection(host, int(port))
            onward.write(data)
            await onward.drain()
            self.answered = (await onward_reader.readline()).decode().strip()
            onward.close()
        except OSError as error:
            self.answered = repr(error)
        writer.close()


async def send(deployment, number, counts):
    address = deployment.entry_addresses[number % len(deployment.entry_addresses)]
    headers = {"Host": "desk.example", "X-Request-Id": f"lookup-{number}", "X-Request-Deadline": "3000",
               "Authorization": "Bearer key-of-parish"}
    try:
        status, _, _ = await exchange(address, "GET", "/lookup/stock", b"", headers, 4.0)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    counts[status] = counts.get(status, 0) + 1


async def script():
    deployment = Deployment(entries=2)
    try:
        deployment.start()
        config = document(1, [plain_route("lookup", "registry-app")], [plain_service("registry-app")])
        if await deployment.put_config(config) != 200:
            return NOT_RUN
        replicas = [Replica(deployment, "registry-app", deployment.ip(201 + number)) for number in range(3)]
        for replica in replicas:
            await replica.start()
        if not await deployment.wait_ready():
            return NOT_RUN
        await asyncio.sleep(CONTACT_SECONDS + 1)

        counts = {}

        async def traffic():
            number = 0
            while True:
                number += 1
                asyncio.create_task(send(deployment, number, counts))
                await asyncio.sleep(REQUEST_SECONDS)

        sending = asyncio.create_task(traffic())
        await asyncio.sleep(2)

        leaving = replicas[0]
        leaving.beats = False
        relay = HoldingRelay(deployment.ip(250), deployment.control_addresses[0])
        held_at = await relay.start()
        leaving.sequence += 1
        body = json.dumps(leaving.row()).encode()
        held = asyncio.create_task(exchange(held_at, "PUT", f"/api/instances/{leaving.id}", body,
                                            {"Content-Type": "application/json"}, 1.0))
        deployment.note(f"{leaving.id} sends heartbeat seq {leaving.sequence}; the network holds it for {LATE_SECONDS} s")
        await asyncio.sleep(0.1)
        status, _, _ = await exchange(deployment.control_addresses[1], "DELETE", f"/api/instances/{leaving.id}", b"", {}, 1.0)
        left_at = time.monotonic()
        deployment.note(f"{leaving.id} sends DELETE, answered {status}; it serves on for {SERVES_ON_SECONDS} s and then exits")
        if status // 100 != 2:
            return NOT_RUN

        disturbed_until = left_at
        if TROUBLE:
            await asyncio.sleep(0.3)
            for process in deployment.controls:
                process.kill()
            deployment.note("SIGKILL of all control processes")
            await asyncio.sleep(DOWN_SECONDS)
            for process in deployment.controls:
                process.start()
            disturbed_until = time.monotonic()
            deployment.note("all control processes start again, with their disks")
        await asyncio.sleep(max(0.0, left_at + SERVES_ON_SECONDS - time.monotonic()))
        await leaving.stop()
        deployment.note(f"{leaving.id} exits")
        await asyncio.sleep(1)
        sending.cancel()
        await asyncio.gather(held, return_exceptions=True)

        deployment.note(f"the late heartbeat was answered: {relay.answered}")
        judged_from = max(left_at + DRAIN_SECONDS, disturbed_until + CONTACT_SECONDS)
        late = [arrival for arrival in leaving.arrivals if arrival[0] > judged_from]
        for moment, request, _, _ in leaving.arrivals:
            deployment.note(f"{request} reached {leaving.id} {moment - left_at:+.3f} s after its DELETE was acknowledged")
        for replica in replicas[1:]:
            deployment.note(f"{replica.id} ran {len(replica.arrivals)} requests")
        deployment.note(f"clients' answers: {counts}")
        deployment.note(f"{len(late)} requests reached it later than drainMs after the acknowledgement and with all machines in touch")
        print(f"{len(late)} requests reached a replica that had been acknowledged as gone")
        for replica in replicas[1:]:
            await replica.stop()
        if counts.get(200, 0) == 0 or relay.answered is None:
            return NOT_RUN
        return RULE_BROKEN if late else RULE_HELD
    finally:
        deployment.stop()
        deployment.write_record(HERE / "record.txt")


if __name__ == "__main__":
    run(script)
