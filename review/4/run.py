"""TWO: a member whose orders to leave are late is joined to another group while the head of its group is open."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from groups import Fleet, GroupReplica, model, model_service  # noqa: E402
from stand import (NOT_RUN, RULE_BROKEN, RULE_HELD, TROUBLE, Deployment, document, exchange,  # noqa: E402
                   plain_route, run)

REPLICAS = 8                # in one fabric domain; they form four groups of two
FIRST_CUTS = (7.0, 3.0)     # seconds; the second follows the first at once
SECOND_CUT_AFTER, SECOND_CUT = 1.0, 7.0
LATE_SECONDS = 12.0         # "carried out 2 to 12 s later"
REQUEST_SECONDS = 0.04
SETTLE_SECONDS = 6


async def ask(deployment, number, counts):
    address = deployment.entry_addresses[number % len(deployment.entry_addresses)]
    headers = {"Host": "desk.example", "X-Request-Id": f"ask-{number}", "X-Request-Deadline": "6000",
               "Authorization": "Bearer key-of-parish", "X-Model": "model-2", "X-Token-Count": "4000,365",
               "X-Prompt-Prefix": f"aa:40,{number:x}:3960"}
    try:
        status, _, _ = await exchange(address, "POST", f"/ask/{number}", b"prompt", headers, 8.0)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    counts[status] = counts.get(status, 0) + 1


async def cut(deployment, head, lengths):
    for seconds in lengths:
        deployment.note(f"{head.id} is cut off from all machines for {seconds} s")
        head.cut = True
        await asyncio.sleep(seconds)
    head.cut = False
    deployment.note(f"{head.id} is reached again")


async def script():
    deployment = Deployment(entries=2)
    try:
        deployment.start()
        models = [model("model-2", 2, 1.0, 12.0, 1.1)]
        fleet = Fleet(deployment, models)
        route = plain_route("ask", "llm-drafting", kind="stream", timeout_ms=6000, sticky=True, streamResume=True,
                            gapTargetMs=200)
        if await deployment.put_config(document(1, [route], [model_service("llm-drafting", models)])) != 200:
            return NOT_RUN
        replicas = [GroupReplica(fleet, "llm-drafting", deployment.ip(201 + number)) for number in range(REPLICAS)]
        for replica in replicas:
            await replica.start()
        if not await deployment.wait_ready():
            return NOT_RUN
        await asyncio.sleep(9)

        fleet.has_traffic = True
        counts = {}

        async def traffic():
            number = 0
            while True:
                number += 1
                asyncio.create_task(ask(deployment, number, counts))
                await asyncio.sleep(REQUEST_SECONDS)

        sending = asyncio.create_task(traffic())
        await asyncio.sleep(6)
        heads = [each for each in replicas if each.group and each.group["state"] == "open" and each.group["rank"] == 0]
        if len(heads) < 4:
            return NOT_RUN
        member = fleet.replicas[heads[0].group["members"][1]]
        own = member.group["name"]
        for head in heads[:2]:
            deployment.note(f"{head.id} is the head of {head.group['name']}, whose members are {head.group['members']}")
        if TROUBLE:
            since = time.monotonic()
            member.order_filter = lambda order: LATE_SECONDS if order["op"] == "leave" and order["group"] == own else None
            cuts = [asyncio.create_task(cut(deployment, heads[0], FIRST_CUTS))]
            await asyncio.sleep(SECOND_CUT_AFTER)
            cuts.append(asyncio.create_task(cut(deployment, heads[1], [SECOND_CUT])))
            await asyncio.gather(*cuts)
            late = [is_late for moment, is_late in fleet.orders if moment > since]
            deployment.note(f"{sum(late)} of {len(late)} orders that reached a replica since the first cut got no answer")
        await asyncio.sleep(SETTLE_SECONDS)
        sending.cancel()
        deployment.note(f"clients' answers: {counts}")
        for each in fleet.breaks:
            print(each)
        for replica in replicas:
            await replica.stop()
        if counts.get(200, 0) < 50:
            return NOT_RUN
        return RULE_BROKEN if fleet.breaks else RULE_HELD
    finally:
        deployment.stop()
        deployment.write_record(HERE / "record.txt")


if __name__ == "__main__":
    run(script)
