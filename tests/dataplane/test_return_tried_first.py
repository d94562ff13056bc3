"""An ejected upstream is probed by a connection before it returns, not by a client's request."""

import asyncio
from types import SimpleNamespace

from addresses import free_address, host_port

from shedgrade.buffers.budget import Budget
from shedgrade.control_messages import Endpoint
from shedgrade.dataplane.service import PROBE_AHEAD, ServicePool
from shedgrade.model_routing.retry_budget import RetryBudget

SECOND = 10_000


class Held:
    """A clock that moves only when it is set; its timers never fire."""

    def __init__(self, loop):
        self.loop, self.at = loop, SECOND

    def now(self):
        return self.at

    def on_monotonic(self, at):
        return self.loop.time() + 3600


def pool_of(loop, address):
    clock = Held(loop)
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
        pool=pool, clock=clock, up=pool.balancer.upstreams[0], ring=pool.balancer.zones[0].rotation
    )


async def looked(one, at):
    """Runs the check for silent upstreams at this time, and its probes. Returns the number of probes."""
    one.clock.at = at
    one.pool.probe_silent()
    begun = list(one.pool.tasks)
    await asyncio.gather(*begun)
    one.pool.dispatcher.gather(lambda now: None)  # as a timer does
    one.pool.dispatcher.run()
    return len(begun)


def test_an_unreachable_upstream_stays_ejected():
    async def story():
        one = pool_of(asyncio.get_running_loop(), free_address())
        one.pool.balancer.eject(one.clock.at, one.up, True)
        until = one.up.ejected_until
        assert await looked(one, until - PROBE_AHEAD - 1) == 0
        assert await looked(one, until - PROBE_AHEAD) == 1
        assert one.up.ejected_until >= one.clock.at + 2 * SECOND and one.ring == []
        assert await looked(one, until) == 0 and one.ring == []

    asyncio.run(story())


def test_a_reachable_upstream_returns_when_its_ejection_ends():
    async def story():
        met = asyncio.Event()
        server = await asyncio.start_server(lambda reader, writer: met.set(), "127.0.0.1", 0)
        one = pool_of(asyncio.get_running_loop(), server.sockets[0].getsockname())
        one.pool.balancer.eject(one.clock.at, one.up, True)
        until = one.up.ejected_until
        assert await looked(one, until - PROBE_AHEAD) == 1
        await asyncio.wait_for(met.wait(), 5)
        assert one.up.ejected_until == until and one.ring == []
        assert await looked(one, until) == 0 and one.ring == [one.up]
        for link in list(one.pool.connections.open):
            link.cut()
        server.close()

    asyncio.run(story())


def test_an_upstream_that_left_the_list_is_not_probed():
    async def story():
        one = pool_of(asyncio.get_running_loop(), free_address())
        one.pool.balancer.eject(one.clock.at, one.up, True)
        until = one.up.ejected_until
        one.pool.apply_endpoint_list([], {"z1": "east"}, frozenset(), {})
        one.pool.dispatcher.run()
        assert await looked(one, until - PROBE_AHEAD) == 0

    asyncio.run(story())
