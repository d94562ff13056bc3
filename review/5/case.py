"""All processes are killed and come back within a second, while a release replaces upstreams."""

import asyncio
import json
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
ROUNDS = 6  # the disruption comes up to six times, until a round shows late requests
STEP_S = 1.0  # between two replacements of the release, which replaces 3 of 7 upstreams
AIM_S = 0.15  # from the first question of a restarted core member to the platform until the next step
SERVES_ON_S = (
    12.0  # for which a draining upstream serves: `drainMs` "and somewhat longer (at times many seconds)"
)
WORK_S = 0.5
BACK_WITHIN_S = 0.9  # after the kill, by which all processes are started again
JUDGED_AFTER_S = 2 * BOUNDS["contactMs"] / 1000  # after the last process is back, all machines are in touch


class Client:
    """Sends requests that may run once to the edges in turn, each on a new connection."""

    def __init__(self, record, deployment):
        self.record, self.deployment = record, deployment
        self.sent = {}  # by attempt: edge and time
        self.status = {}  # by attempt
        self.tasks = set()

    async def run(self):
        while True:
            for edge in self.deployment.edges:
                task = asyncio.get_running_loop().create_task(self.send(edge))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                await asyncio.sleep(0.04)

    async def send(self, edge):
        attempt = f"{random.getrandbits(64):016x}"
        self.sent[attempt] = edge.name, self.record.now()
        headers = [("Attempt-Id", attempt), ("Time-Remaining", "4000")]
        answer = await call(edge.listen()["front"], "POST", "/swap/1", b"x", headers, timeout=5.0, host=HOST)
        self.status[attempt] = answer.status
        self.record(f"client {attempt} at {edge.name}: {answer.status} {answer.text}")


async def replace(record, deployment, old):
    """One step of a release: the new upstream starts first, then the old one drains, and ends at last."""
    new = await deployment.add_upstream("rota-lm", old.zone, work_s=WORK_S)
    old.entry["state"] = "draining"
    old.draining_at = record.now()
    record(f"platform shows {old.instance} as draining, {new.instance} as available")
    await asyncio.sleep(SERVES_ON_S)
    record(f"{old.instance} ends and is no longer listed; it still worked on {len(old.working)} requests")
    del deployment.platform.entries[old.instance]
    old.cut = set(old.working)
    await old.stop()


async def kill_all(record, deployment):
    """Kills every process; each is started again after a short delay. One of the core comes back first."""
    status = await call(deployment.cores[0].listen()["control"], "GET", "/status")
    primary = json.loads(status.body).get("primary") or "" if status.status == 200 else ""
    others = [core for core in deployment.cores if not str(primary).startswith(core.address)]
    record.say("all processes are killed")
    await asyncio.gather(*(machine.kill() for machine in deployment.machines))
    killed_at = record.now()
    early = random.choice(others)
    await early.start()
    await asyncio.gather(*(edge.start() for edge in deployment.edges))
    await asyncio.sleep(max(0.0, killed_at + BACK_WITHIN_S - record.now()))
    await asyncio.gather(*(core.start() for core in deployment.cores if core is not early))
    record.say(
        f"all processes are started again {record.now() - killed_at:.2f} s after the kill; "
        f"{early.name} was first"
    )
    return record.now()


async def play(record, deployment):
    await deployment.platform.start()
    zones = [zone for zone, count in zip(ZONES, (3, 2, 2), strict=True) for _ in range(count)]
    for zone in zones:
        await deployment.add_upstream("rota-lm", zone, work_s=WORK_S)
    await asyncio.gather(*(machine.start() for machine in deployment.machines))
    first = configuration(
        3, [route("swap", "/swap/", "rota-lm", homeRegions=["leinster"])], [service("rota-lm")]
    )
    if (await Operator(deployment).put(first, 0)).status != 200:
        raise RuntimeError("the first configuration was not taken")
    if not await wait_ready(deployment, deployment.edges):
        raise RuntimeError("the edges did not become ready")
    await asyncio.sleep(2.0)
    client = Client(record, deployment)
    sending = asyncio.create_task(client.run())
    broken = 0
    for number in range(ROUNDS):
        record.say(f"round {number + 1}")
        broken = await play_round(record, deployment, client)
        if broken:
            break
    sending.cancel()
    return 1 if broken else 0


async def play_round(record, deployment, client):
    """Plays a release and the kill; returns how many requests came late."""
    old = [
        one
        for one in deployment.upstreams
        if ZONES[one.zone] == "leinster" and one.entry["state"] == "available"
    ]
    steps = [asyncio.create_task(replace(record, deployment, old[0]))]
    back_at = record.now()
    killing = asyncio.create_task(kill_all(record, deployment)) if TROUBLE else None
    if killing is not None:
        await asyncio.sleep(0.1)  # all processes are dead
        asked = deployment.platform.calls
        while deployment.platform.calls == asked:
            await asyncio.sleep(0.01)
        await asyncio.sleep(AIM_S)
    for upstream in old[1:]:
        steps.append(asyncio.create_task(replace(record, deployment, upstream)))
        await asyncio.sleep(STEP_S)
    if killing is not None:
        back_at = await killing
    record.say(f"edges ready: {await wait_ready(deployment, deployment.edges)}")
    status = await call(deployment.cores[0].listen()["control"], "GET", "/status")
    shown = json.loads(status.body) if status.status == 200 else {}
    record.say(f"primary of the core: {shown.get('primary')}; its duties: {shown.get('duties')}")
    await asyncio.gather(*steps)
    await asyncio.sleep(1.0)
    return judge(record, client, back_at, old)


def judge(record, client, back_at, old):
    """DRAIN: a request reaches an upstream later than `drainMs` after the list showed it as draining. Only
    requests count that a client sent to an edge after all machines were in touch."""
    broken = 0
    for upstream in old:
        bound = max(upstream.draining_at + BOUNDS["drainMs"] / 1000, back_at + JUDGED_AFTER_S)
        late = [one for _, one in upstream.runs if client.sent[one][1] > bound]
        lost = [one for one in upstream.cut if client.status.get(one) != 200]
        record.say(
            f"{upstream.instance}: draining since {upstream.draining_at:.2f}; {len(late)} requests that were "
            f"sent after {bound:.2f} reached it, from {sorted({client.sent[one][0] for one in late})}; "
            f"{len(lost)} requests were cut when it ended"
        )
        broken += len(late)
    return broken


async def main(record):
    deployment = Deployment(record)
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


run_case(main)
