"""A valid configuration is acknowledged, and no edge can apply it."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness_2 import (  # noqa: E402
    BOUNDS,
    HOST,
    ZONES,
    Deployment,
    Operator,
    call,
    configuration,
    route,
    run_case,
    service,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "No target", as a program writes it that takes the largest number; without the disruption, a day.
NO_TARGET_MS = sys.float_info.max if TROUBLE else 86_400_000.0
PATIENCE_S = 6.0  # requests are judged for this long from `configApplyMs` after the newest acknowledgement


def version(number, target_service, target_ms):
    routes = [route("swap", "/swap/", target_service, targetMs=target_ms)]
    return configuration(number, routes, [service("rota-old"), service("rota-new")])


async def ask(record, deployment, edge, done):
    """Sends one request; appends the service that ran it."""
    attempt = f"{random.getrandbits(64):016x}"
    headers = [("Attempt-Id", attempt), ("Time-Remaining", "4000")]
    answer = await call(edge.listen()["front"], "POST", "/swap/1", b"x", headers, timeout=5.0, host=HOST)
    ran = [one.service for one in deployment.upstreams if any(run == attempt for _, run in one.runs)]
    record(f"client {attempt} at {edge.name}: {answer.status} {answer.text}, run by {ran}")
    done.append((edge.name, answer.status, ran))


async def play(record, deployment):
    await deployment.platform.start()
    for zone in ZONES:
        await deployment.add_upstream("rota-old", zone)
        await deployment.add_upstream("rota-new", zone)
    await asyncio.gather(*(machine.start() for machine in deployment.machines))
    operator = Operator(deployment)
    if (await operator.put(version(3, "rota-old", 800), 0)).status != 200:
        raise RuntimeError("the first configuration was not taken")
    if not await wait_ready(deployment, deployment.edges):
        raise RuntimeError("the edges did not become ready")
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    before = []
    for edge in deployment.edges:
        await ask(record, deployment, edge, before)
    if any(ran != ["rota-old"] for _, _, ran in before):
        raise RuntimeError(f"the first configuration is not in force: {before}")
    answer = await operator.put(version(5, "rota-new", NO_TARGET_MS), 3)
    record.say(f"version 5, with targetMs {NO_TARGET_MS}, is answered {answer.status}")
    if answer.status == 400:
        return 0  # it was refused
    if answer.status != 200:
        raise RuntimeError("version 5 got no clear answer")
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000)
    until, after = record.now() + PATIENCE_S, []
    while record.now() < until:
        for edge in deployment.edges:
            await ask(record, deployment, edge, after)
        await asyncio.sleep(0.2)
    stale = [edge for edge, _, ran in after if ran == ["rota-old"]]
    record.say(
        f"later than configApplyMs after the acknowledgement of version 5, {len(stale)} of {len(after)} "
        f"requests were run by the service that only version 3 names, from {sorted(set(stale))}"
    )
    again, refused = deployment.edges[0], []
    await again.kill()
    await again.start()
    record.say(f"{again.name} starts again; ready within 10 s: {await wait_ready(deployment, [again], 10.0)}")
    await ask(record, deployment, again, refused)
    record.say(f"it answers {refused[0][1]}")
    return 1 if stale else 0


async def main(record):
    deployment = Deployment(record)
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


run_case(main)
