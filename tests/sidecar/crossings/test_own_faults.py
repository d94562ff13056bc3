"""Internal errors while other events are in progress: only the RPC that meets the error fails."""

import asyncio

import pytest
from crossing_peers import RaceWorld
from helpers import PATIENT, ask, method, on_sockets, request, until

REPEATABLE = method("repeatable", soft=2e4, hard=2e4)


def run_with_internal_errors(scenario, times):
    """Runs the scenario, which must log `times` errors in `decide` and nothing else."""
    with pytest.raises(AssertionError) as found:
        on_sockets(scenario)()
    lines = found.value.args[0]
    assert isinstance(lines, list) and len(lines) == times, lines
    assert all("dispatch step failed" in one and "'step': 'decide'" in one for one in lines), lines


def test_an_internal_error_of_a_queued_rpc_leaves_the_rpcs_behind_it_unaffected():
    """An error in one of three queued RPCs left it without a response, and the two behind it waiting."""

    async def scenario():
        async with RaceWorld(upstreams=1, held=(0,), methods=[PATIENT]) as world:
            balancer = world.sidecar.pool.balancer
            await world.send_warmup_requests(b"w")
            first = asyncio.create_task(ask(world, request(b"first", name="f")))
            await until(lambda: world.sent() == 21)
            balancer.choose_upstream, choose_upstream = lambda now, rpc, stay: None, balancer.choose_upstream
            rest = [asyncio.create_task(ask(world, request(b"h", name=name))) for name in ("h1", "h2", "h3")]
            await until(lambda: len(balancer.queue) == 3)
            failing_rpc = balancer.queue[0][3]

            def fail_for_one(now, rpc, stay):
                if rpc is failing_rpc:
                    raise ZeroDivisionError
                return choose_upstream(now, rpc, stay)

            balancer.choose_upstream = fail_for_one
            world.release.set()
            answers = sorted([(await one)[0] for one in (first, *rest)])
            assert answers == [200, 200, 200, 502]
            assert (
                not balancer.queue
                and not balancer.in_flight
                and not world.sidecar.pool.dispatcher.active_requests
            )

    run_with_internal_errors(scenario, 1)


def test_an_rpc_with_an_internal_error_leaves_no_transmission():
    async def scenario():
        async with RaceWorld(upstreams=2, held=(0, 1), methods=[REPEATABLE], parallel_tries=True) as world:
            balancer = world.sidecar.pool.balancer
            asking = asyncio.create_task(ask(world, request(b"one")))
            await until(lambda: world.sent() == 1)
            active_request = next(iter(world.sidecar.pool.dispatcher.active_requests.requests))
            rpc, active_request.rpc = active_request.rpc, FailingRpc(active_request.rpc)
            world.sidecar.pool.dispatcher.enqueue_event(world.sidecar.pool.dispatcher.decide, active_request)
            assert (await asking)[0] == 502
            await until(lambda: not balancer.in_flight)
            assert rpc.done and not active_request.transmissions
            await until(lambda: not world.sidecar.pool.connections.open)  # the transmission was stopped

    run_with_internal_errors(scenario, 1)


class FailingRpc:
    """Wraps an RPC whose next decision fails."""

    def __init__(self, rpc):
        self.rpc, self.failures_left = rpc, 1

    def __getattr__(self, name):
        return getattr(self.rpc, name)

    def decide(self, now):
        self.failures_left -= 1
        return self.rpc.decide(now) if self.failures_left < 0 else 1 / 0
