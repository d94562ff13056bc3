"""An ejected upstream is probed by a connection before it returns, not by a client's request."""

import asyncio
from types import SimpleNamespace

from addresses import free_address, host_port

from shedgrade.buffers.budget import Budget
from shedgrade.control_messages import Endpoint
from shedgrade.dataplane.service import PROBE_AHEAD, ServicePool
from shedgrade.model_routing.retry_budget import RetryBudget

SECOND = 10_000


class ManualClock:
    """A clock that moves only when it is set; its timers never fire."""

    def __init__(self, loop):
        self.loop, self.at = loop, SECOND

    def now(self):
        return self.at

    def to_monotonic(self, at):
        return self.loop.time() + 3600


def rig_for(loop, address):
    clock = ManualClock(loop)
    pool = ServicePool(
        "lm",
        {"east": 0},
        "east",
        7,
        loop,
        clock,
        Budget(4000, 300),
        RetryBudget(0.2, 50.0, 10 * SECOND),
        "edge-1",
    )
    pool.apply_endpoint_list(
        [(Endpoint("i-1", "lm", host_port(address), "z1", "available"), 0.0)], {"z1": "east"}, frozenset(), {}
    )
    pool.dispatcher.run()
    return SimpleNamespace(
        pool=pool, clock=clock, up=pool.balancer.upstreams[0], rotation=pool.balancer.zones[0].rotation
    )


async def probes_started_at(rig, at):
    """Runs the check for silent upstreams at this time, and its probes. Returns the number of probes."""
    rig.clock.at = at
    rig.pool.probe_silent()
    probes = list(rig.pool.tasks)
    await asyncio.gather(*probes)
    rig.pool.dispatcher.enqueue_event(lambda now: None)  # as a timer does
    rig.pool.dispatcher.run()
    return len(probes)


def test_an_unreachable_upstream_stays_ejected():
    async def scenario():
        rig = rig_for(asyncio.get_running_loop(), free_address())
        rig.pool.balancer.eject(rig.clock.at, rig.up, True)
        until = rig.up.ejected_until
        assert await probes_started_at(rig, until - PROBE_AHEAD - 1) == 0
        assert await probes_started_at(rig, until - PROBE_AHEAD) == 1
        assert rig.up.ejected_until >= rig.clock.at + 2 * SECOND and rig.rotation == []
        assert await probes_started_at(rig, until) == 0 and rig.rotation == []

    asyncio.run(scenario())


def test_a_reachable_upstream_returns_when_its_ejection_ends():
    async def scenario():
        connected = asyncio.Event()
        server = await asyncio.start_server(lambda reader, writer: connected.set(), "127.0.0.1", 0)
        rig = rig_for(asyncio.get_running_loop(), server.sockets[0].getsockname())
        rig.pool.balancer.eject(rig.clock.at, rig.up, True)
        until = rig.up.ejected_until
        assert await probes_started_at(rig, until - PROBE_AHEAD) == 1
        await asyncio.wait_for(connected.wait(), 5)
        assert rig.up.ejected_until == until and rig.rotation == []
        assert await probes_started_at(rig, until) == 0 and rig.rotation == [rig.up]
        for link in list(rig.pool.connections.open):
            link.cut()
        server.close()

    asyncio.run(scenario())


def test_an_upstream_that_left_the_list_is_not_probed():
    async def scenario():
        rig = rig_for(asyncio.get_running_loop(), free_address())
        rig.pool.balancer.eject(rig.clock.at, rig.up, True)
        until = rig.up.ejected_until
        rig.pool.apply_endpoint_list([], {"z1": "east"}, frozenset(), {})
        rig.pool.dispatcher.run()
        assert await probes_started_at(rig, until - PROBE_AHEAD) == 0

    asyncio.run(scenario())
