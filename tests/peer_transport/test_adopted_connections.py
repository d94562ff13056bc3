"""Calls over an adopted incoming connection: the answers arrive on the same connection."""

import asyncio

import pytest
import uvloop
from test_connections import HOST, OTHER, PeerEndpoints

from shedgrade.peer_transport.tcp import PeerCallError, PeerConnectionPool


@pytest.fixture(params=["asyncio", "uvloop"])
def run_scenario(request):
    """Runs a scenario with two nodes; the first connected to the second, which adopted the connection."""

    def run(scenario, with_call_handler=True):
        async def run_between_endpoints():
            loop = asyncio.get_running_loop()
            first, second = PeerEndpoints(loop, HOST), PeerEndpoints(loop, OTHER)
            if with_call_handler:
                first.pool = PeerConnectionPool(
                    loop, first.address, first.on_pool_message, HOST, first.on_server_frame
                )
            await first.server.start()
            await second.server.start()
            try:
                first.pool.send(second.address, b"met")
                assert await asyncio.wait_for(second.received.get(), 5) == (first.address, b"met")
                assert second.pool.routes[first.address].adopted_connection is not None
                await scenario(first, second)
            finally:
                first.close()
                second.close()

        new_loop = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(run_between_endpoints())

    return run


def test_a_call_over_an_adopted_connection_is_answered(run_scenario):
    async def scenario(first, second):
        assert await second.pool.call(first.address, b"one", 5) == b"echo one"
        assert second.pool.routes[first.address].own_connection is None  # the second node opened none

    run_scenario(scenario)


def test_concurrent_calls_in_both_directions_get_their_own_answers(run_scenario):
    async def scenario(first, second):
        bodies = [b"%d" % number for number in range(50)]
        calls = [
            *(second.pool.call(first.address, body, 5) for body in bodies),
            *(first.pool.call(second.address, body, 5) for body in bodies),
        ]
        assert await asyncio.gather(*calls) == [b"echo " + body for body in bodies] * 2

    run_scenario(scenario)


def test_one_way_frames_are_passed_to_the_pools_handler(run_scenario):
    async def scenario(first, second):
        second.pool.send(first.address, b"told")
        assert await asyncio.wait_for(first.received.get(), 5) == (second.address, b"told")

    run_scenario(scenario)


def test_a_pool_without_a_call_handler_passes_calls_on_unanswered(run_scenario):
    async def scenario(first, second):
        with pytest.raises(PeerCallError):
            await second.pool.call(first.address, b"one", 0.05)
        assert await asyncio.wait_for(first.received.get(), 5) == (second.address, b"one")

    run_scenario(scenario, with_call_handler=False)
