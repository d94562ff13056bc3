"""A request is not sent if its client disconnected while it waited, wherever it waited."""

import asyncio
import time

import pytest
from crossing_peers import Client, RaceWorld
from helpers import PATIENT, ask, method, on_sockets, request, until

from shedgrade import load_balancing

REPEATABLE = method("repeatable", soft=2e4, hard=2e4)
WITH_FIN_AND_RESET = pytest.mark.parametrize("reset", [False, True], ids=["fin", "rst"])


@WITH_FIN_AND_RESET
@pytest.mark.parametrize("cancelling", [True, False])
def test_unread_disconnect_during_a_dial(reset, cancelling):
    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=2, cancelling=cancelling) as world:
            world.dial_gate.clear()
            gone, stays = Client(world), Client(world)
            await gone.flood(world, request(b"gone", name="g"))
            stays.send(request(b"stays", name="s"))
            await until(lambda: len(world.dialled) == 2)
            gone.disconnect(reset)
            await asyncio.sleep(0.05)
            world.dial_gate.set()
            await until(lambda: b"stays" in world.bodies())
            await world.wait_until_idle()
            assert world.bodies() == [b"stays"]
            assert not world.sidecar.pool.balancer.in_flight
            stays.disconnect(False)

    scenario()


@WITH_FIN_AND_RESET
def test_disconnect_during_a_dial(reset):
    """Even where transmissions can't be cancelled, one that has not been sent can be."""

    @on_sockets
    async def scenario():
        async with RaceWorld(cancelling=False) as world:
            world.dial_gate.clear()
            gone = Client(world)
            gone.send(request(b"gone", name="g"))
            await until(lambda: world.dialled)
            gone.disconnect(reset)
            await until(lambda: not world.sidecar.pool.dispatcher.active_requests)
            world.dial_gate.set()
            await until(lambda: not world.sidecar.pool.connections.connecting)
            await world.wait_until_idle()
            assert world.bodies() == [] and not world.sidecar.pool.balancer.in_flight
            assert (await ask(world))[0] == 200

    scenario()


@WITH_FIN_AND_RESET
def test_unread_disconnect_during_a_short_stall(reset):
    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=2) as world:
            for number in range(2):  # an idle connection to each upstream, so that none is opened below
                assert (await ask(world, request(name=f"w{number}")))[0] == 200
            await asyncio.sleep(0.3)
            gone, stays = [Client(world) for _ in range(200)], Client(world)
            await until(lambda: len(world.sidecar.front.clients) == 201)
            for number, one in enumerate(gone):
                one.send(request(b"gone", name=f"g{number}"))
                one.disconnect(reset)
            stays.send(request(b"stays", name="s"))
            time.sleep(0.4)  # stalls the whole process, as SIGSTOP does
            await until(lambda: b"stays" in world.bodies())
            await world.wait_until_idle()
            assert b"gone" not in world.bodies()
            stays.disconnect(False)

    scenario()


@WITH_FIN_AND_RESET
def test_disconnect_before_the_connection_is_accepted(reset):
    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=2) as world:
            for number in range(2):
                assert (await ask(world, request(name=f"w{number}")))[0] == 200
            await asyncio.sleep(0.01)
            world.sidecar.listener.pause()
            gone, stays = [Client(world) for _ in range(200)], Client(world)
            for number, one in enumerate(gone):
                one.send(request(b"gone", name=f"g{number}"))
                one.disconnect(reset)
            stays.send(request(b"stays", name="s"))
            world.sidecar.listener.resume()
            await until(lambda: b"stays" in world.bodies())
            await world.wait_until_idle()
            assert b"gone" not in world.bodies()
            stays.disconnect(False)

    scenario()


@WITH_FIN_AND_RESET
def test_disconnect_behind_an_earlier_request(reset):
    @on_sockets
    async def scenario():
        async with RaceWorld(held=(0,)) as world:
            gone = Client(world)
            await gone.flood(world, request(b"first", name="f") + request(b"second", name="s"))
            await until(lambda: world.sent() == 1)
            gone.disconnect(reset)
            await asyncio.sleep(0.05)
            world.release.set()
            await world.wait_until_idle()
            assert world.bodies() == [b"first"]
            await until(lambda: not world.sidecar.front.clients)

    scenario()


@WITH_FIN_AND_RESET
def test_unread_disconnect_of_a_queued_request(reset):
    @on_sockets
    async def scenario():
        async with RaceWorld(held=(0,)) as world:
            balancer = world.sidecar.pool.balancer
            await world.send_warmup_requests(b"first")
            first = asyncio.create_task(ask(world, request(b"first", name="f")))
            await until(lambda: world.sent() == 21)
            balancer.choose_upstream, choose = lambda now, rpc, stay: None, balancer.choose_upstream
            gone = Client(world)
            await gone.flood(world, request(b"gone", name="g"))
            await until(lambda: balancer.queue)
            gone.disconnect(reset)
            await asyncio.sleep(0.05)
            balancer.choose_upstream = choose
            world.release.set()
            assert (await first)[0] == 200
            await world.wait_until_idle()
            assert set(world.bodies()) == {b"first"} and not balancer.in_flight

    scenario()


@WITH_FIN_AND_RESET
def test_unread_disconnect_before_a_retry(reset):
    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=2, methods=[REPEATABLE], held=(0, 1)) as world:
            gone = Client(world)
            await gone.flood(world, request(b"gone", name="g"))
            await until(lambda: world.sent() == 1)
            gone.disconnect(reset)
            await asyncio.sleep(0.05)
            for upstream in world.upstreams:  # the connection breaks, and the request would be retried
                for writer in list(upstream.writers):
                    writer.transport.abort()
            await world.wait_until_idle()
            assert world.bodies() == [b"gone"] and not world.sidecar.pool.balancer.in_flight

    scenario()


@on_sockets
async def test_a_request_whose_client_stays_is_retried_elsewhere():
    """The same race with a client that stays connected: its request is retried."""
    async with RaceWorld(upstreams=2, methods=[REPEATABLE], held=(0, 1)) as world:
        stays = Client(world)
        await stays.flood(world, request(b"stays", name="g"))
        await until(lambda: world.sent() == 1)
        for upstream in world.upstreams:
            for writer in list(upstream.writers):
                writer.transport.abort()
        await until(lambda: world.bodies().count(b"stays") == 2)
        stays.disconnect(True)


@WITH_FIN_AND_RESET
def test_disconnect_before_the_rest_of_a_long_request_is_sent(reset):
    """An upstream starts to process a request only with its last byte."""

    @on_sockets
    async def scenario():
        async with RaceWorld(methods=[PATIENT]) as world:
            world.dial_gate.clear()
            gone = Client(world)
            raw = request(b"y" * 200_000, name="g")
            sent = 0
            while sent < len(raw):
                try:
                    sent += gone.socket.send(raw[sent:])
                except BlockingIOError:
                    await asyncio.sleep(0.002)
                if sent >= len(raw) // 2 and not world.dialled:
                    await until(lambda: world.dialled)
            await until(lambda: world.dialled)
            link = next(iter(world.sidecar.front.clients))
            await until(lambda: link.reading_paused or link.flow is None or link.flow.full())
            gone.disconnect(reset)
            await asyncio.sleep(0.05)
            world.dial_gate.set()
            await until(lambda: not world.sidecar.pool.dispatcher.active_requests)
            await world.wait_until_idle()
            assert world.bodies() == [] and not world.sidecar.pool.balancer.in_flight

    scenario()


@on_sockets
async def test_a_disconnect_does_not_count_against_the_upstream():
    async with RaceWorld(cancelling=False) as world:
        told = []
        ended, load_balancing.Rpc.attempt_finished = (
            load_balancing.Rpc.attempt_finished,
            lambda rpc, now, tx, outcome, *more: (told.append(outcome), ended(rpc, now, tx, outcome, *more))[
                1
            ],
        )
        try:
            world.dial_gate.clear()
            gone = Client(world)
            gone.send(request(b"gone", name="g"))
            await until(lambda: world.dialled)
            gone.disconnect(False)
            await until(lambda: not world.sidecar.pool.dispatcher.active_requests)
            world.dial_gate.set()
            await until(lambda: told)
            assert told == [load_balancing.UNSENT]
        finally:
            load_balancing.Rpc.attempt_finished = ended
