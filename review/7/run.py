"""CONFIG: a route whose host is written with capitals is acknowledged, and its requests get 404."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from stand import (NOT_RUN, RULE_BROKEN, RULE_HELD, TROUBLE, Deployment, Replica, document, exchange,  # noqa: E402
                   plain_route, plain_service, run)

APPLY_SECONDS = Deployment.BOUNDS["configApplyMs"] / 1000
REQUESTS = 40


async def script():
    deployment = Deployment(entries=2)
    try:
        deployment.start()
        routes = [plain_route("lookup", "registry-app")]
        if await deployment.put_config(document(1, routes, [plain_service("registry-app")])) != 200:
            return NOT_RUN
        replicas = [Replica(deployment, "registry-app", deployment.ip(201 + number)) for number in range(3)]
        for replica in replicas:
            await replica.start()
        if not await deployment.wait_ready():
            return NOT_RUN
        await asyncio.sleep(4)

        host = "Depot.example" if TROUBLE else "depot.example"
        routes.append({**plain_route("stock", "registry-app"), "host": host})
        if await deployment.put_config(document(3, routes, [plain_service("registry-app")])) != 200:
            return NOT_RUN
        await asyncio.sleep(APPLY_SECONDS + 0.5)

        refused, served = 0, {}
        for number in range(REQUESTS):
            for name, asked in (("lookup", "desk.example"), ("stock", host)):
                address = deployment.entry_addresses[number % len(deployment.entry_addresses)]
                headers = {"Host": asked, "X-Request-Id": f"{name}-{number}", "X-Request-Deadline": "3000",
                           "Authorization": "Bearer key-of-parish"}
                status, _, _ = await exchange(address, "GET", f"/{name}/7", b"", headers, 4.0)
                deployment.note(f"{name}-{number} to host {asked}: {status}")
                served[name] = served.get(name, 0) + (status == 200)
                refused += status in (401, 403, 404)
        deployment.note(f"answered with 200: {served}; refused with 401, 403 or 404: {refused}")
        print(f"{refused} of {2 * REQUESTS} requests were refused though their route is in the acknowledged configuration")
        for replica in replicas:
            await replica.stop()
        if served["lookup"] != REQUESTS:
            return NOT_RUN
        return RULE_BROKEN if refused else RULE_HELD
    finally:
        deployment.stop()
        deployment.write_record(HERE / "record.txt")


if __name__ == "__main__":
    run(script)
