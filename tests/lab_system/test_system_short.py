"""The whole system as real processes under traffic: its primary is killed, and no rule may be broken."""

import asyncio
import os

import pytest
from addresses import claim_network

from shedgrade.engines import EngineSettings
from shedgrade.lab.system import demo
from shedgrade.lab.system.judge import judge, verdict
from shedgrade.lab.system.site import Site
from shedgrade.lab.system.world import World

ZONES = {"quay": "north", "fell": "west"}
START_TIMEOUT_S = 10  # for a process to start or to serve again
ENGINES = {demo.MODEL: EngineSettings(step_s=0.002), demo.LOOKUP: EngineSettings(step_s=0.002)}


async def outcomes_of(world, zone, kind, count=1):
    ended = await asyncio.gather(*(world.send_request(kind, zone) for _ in range(count)))
    return [request.outcome for request in ended]


async def play(folder):
    site = Site(claim_network(), ZONES, ("quay", "fell", "quay"), ("quay", "fell"), ("quay", "fell"))
    async with World(site, folder, [demo.MODEL, demo.LOOKUP], ENGINES, demo.KINDS, 7) as world:

        async def all_members_answer():
            return len(await world.status()) == 3

        await world.wait_until(all_members_answer, START_TIMEOUT_S)
        first = await world.operator.put(demo.configuration(1, demo.KINDS, list(ENGINES)), 0)
        assert first.accepted, first.answer_text
        await demo.wait_for_start(world)
        digest, reply, find, book = demo.KINDS
        for zone in ZONES:
            for kind in (reply, find, book):
                assert await outcomes_of(world, zone, kind) == ["served"]
        assert await outcomes_of(world, "quay", digest) == ["served"]

        async def new_version_in_force():
            held = await world.edge_versions()
            return len(held) == 2 and set(held.values()) == {4}

        world.start_traffic()
        primary = await world.wait_until(world.primary, 10)
        number = await world.kill(primary)
        second = await world.operator.put(demo.configuration(4, demo.KINDS, list(ENGINES), find=2_500), 1)
        assert second.accepted, second.answer_text
        assert await outcomes_of(world, "fell", reply, 3) == ["served"] * 3
        await world.launcher.start(primary)
        await world.wait_until(all_members_answer, START_TIMEOUT_S)
        world.end_disturbance(number)
        assert await world.wait_until(world.primary, 10) not in (None, primary)

        await world.wait_until(new_version_in_force, 10)
        evacuated = await world.operator.evacuate("fell")
        assert evacuated.accepted
        await world.finish_requests()
        await world.read_back()
        assert world.launcher.ended_machines() == []
        assert world.history.evacuated_at_end == ("fell",)
        breaches = judge(world.history, world.key, ZONES, site.bounds)
        assert not breaches, verdict(breaches)
        outcomes = [request.outcome for request in world.history.requests]
        assert outcomes.count("served") > 0.9 * len(outcomes) and len(outcomes) > 20
    return [process.pid for process in world.launcher.processes.values()]


def test_a_system_of_five_machines_survives_its_primary_and_breaks_no_rule(tmp_path):
    async def scenario():
        async with asyncio.timeout(90):
            return await play(tmp_path)

    for process in asyncio.run(scenario()):
        with pytest.raises(ProcessLookupError):
            os.kill(process, 0)
