"""Races around the list of upstreams: silent watches, outages, reloads, and drains during other events."""

import asyncio
import contextlib
import json
import re

from crossing_peers import Client, RaceWorld
from helpers import PATIENT, SILENT, Server, ask, message, method, on_sockets, request, until
from loguru import logger

from shedgrade.http import endpoint_discovery


class ScriptedAgent:
    """Scripted discovery: responds to each call with the next answer or its return value, then is silent."""

    def __init__(self, world, *answers):
        self.world, self.answers, self.calls, self.connections = world, list(answers), [], []

    async def __call__(self, head, body):
        self.calls.append(head[0].split()[1])
        if not self.answers:
            return SILENT
        answer = self.answers.pop(0)
        answer = answer(self.calls[-1]) if callable(answer) else answer
        return await answer if asyncio.iscoroutine(answer) else answer


def requested_wait_ms(call):
    found = re.search(r"wait_ms=(\d+)", call)
    return int(found[1]) if found else None


class DiscoveryWorld(RaceWorld):
    """A sidecar whose discovery is a `ScriptedAgent`, with timeouts short enough for a test."""

    def __init__(self, *answers, **more):
        super().__init__(**more)
        self.agent = ScriptedAgent(self, *answers)

    def discover(self, head, body):
        self.watches += 1
        return self.agent(head, body)

    def list_response(self, *entries, reset=False, generation=1):
        return message(
            200, json.dumps({"generation": generation, "reset": reset, "instances": list(entries)}).encode()
        )

    def complete_list(self, call=""):
        return self.list_response(*(self.entry(number) for number in range(len(self.upstreams))), reset=True)


def shorten_timeouts(monkeypatch):
    for name, value in (("WATCH_WAIT_MS", 200), ("SILENCE_TIMEOUT_S", 0.15), ("COMPLETE_TIMEOUT_S", 0.4)):
        monkeypatch.setattr(endpoint_discovery, name, value)


def test_changes_missed_by_a_silent_watch_arrive_before_they_count_as_delivered():
    """Missed changes count as delivered 6 s after the watch fell silent.

    Within that time the watch may be silent twice in a row, with a hanging connection attempt in between.
    """
    pauses = endpoint_discovery.FIRST_BACKOFF_S + endpoint_discovery.LONGEST_BACKOFF_S
    watch = endpoint_discovery.WATCH_WAIT_MS / 1000 + endpoint_discovery.SILENCE_TIMEOUT_S
    assert (
        watch + endpoint_discovery.FIRST_WATCH_WAIT_MS / 1000 + endpoint_discovery.SILENCE_TIMEOUT_S + pauses
        < 6
    )
    # Calls without a wait, and calls after a failure: noticed well within the grace period of a drain.
    assert endpoint_discovery.FIRST_WATCH_WAIT_MS / 1000 + endpoint_discovery.SILENCE_TIMEOUT_S < 1.5


def test_a_watch_that_is_silent_twice_in_a_row_is_reopened_each_time(monkeypatch):
    shorten_timeouts(monkeypatch)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=2) as world:
            drained = world.list_response(world.entry(0, "terminating"), generation=2)
            world.agent.answers += [SILENT, SILENT, drained]
            before = len(world.agent.calls)
            await until(lambda: not world.sidecar.pool.balancer.upstreams[0].listed)
            assert world.sidecar.pool.reader.version == 2
            # Calls after a failure wait only for a short time, to show whether the agent responds.
            assert all(
                requested_wait_ms(call) == endpoint_discovery.FIRST_WATCH_WAIT_MS
                for call in world.agent.calls[before + 1 : before + 3]
            )
            assert world.discovery.connections >= 3

    scenario()


def test_a_call_without_a_wait_has_a_short_timeout(monkeypatch):
    """A reload requests the whole list, without a wait; that call was given the timeout of a watch."""
    monkeypatch.setattr(endpoint_discovery, "SILENCE_TIMEOUT_S", 0.15)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=1) as world:
            host, port = world.discovery.address.split(":")
            world.agent.answers += [SILENT, world.complete_list]
            before = len(world.agent.calls)
            world.sidecar.pool.move((host, int(port)))
            await until(lambda: world.sidecar.pool.reader.version == 1)
            assert [requested_wait_ms(call) for call in world.agent.calls[before : before + 2]] == [
                None,
                None,
            ]

    scenario()


def test_a_response_that_stops_or_never_ends_times_out(monkeypatch):
    shorten_timeouts(monkeypatch)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=1) as world:
            whole = world.complete_list()
            ended = []

            async def serve(reader, writer):
                try:
                    number = len(ended)
                    await reader.readuntil(b"\r\n\r\n")
                    if number == 0:  # sends the head, then nothing
                        writer.write(whole[:40])
                        await reader.read()
                    elif number == 1:  # sends a byte now and then, for ever
                        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n")
                        while not reader.at_eof():
                            writer.write(b" ")
                            with contextlib.suppress(TimeoutError):
                                await asyncio.wait_for(reader.read(1), 0.05)
                    else:
                        writer.write(whole)
                        await reader.read()
                    ended.append(number)
                finally:
                    ended.append(None) if number > 1 else None
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            world.sidecar.pool.move(server.sockets[0].getsockname())
            await until(lambda: world.sidecar.pool.reader.version == 1)
            server.close()

    scenario()


def test_where_calls_queue_the_first_timeout_and_the_backoff_are_long(monkeypatch):
    """Calls that had been given up were still served first, so that none was served in time.

    43 of 60 sidecars had no list after 20 s. After each rejection a sidecar waits longer for its next call.
    """
    shorten_timeouts(monkeypatch)
    monkeypatch.setattr(endpoint_discovery, "ON_REQUEST_TIMEOUT_S", 5.0)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=1) as world:
            release = asyncio.Event()

            async def answer_when_released(call):
                await release.wait()
                return world.complete_list()

            pool, slept = world.sidecar.pool, []
            pool.requests_list = True
            world.agent.answers += [answer_when_released]
            before = len(world.agent.calls)
            host, port = world.discovery.address.split(":")
            pool.move((host, int(port)))
            await asyncio.sleep(0.5)  # several times the timeout of a silent call
            assert len(world.agent.calls) == before + 1 and pool.reader.version is None
            release.set()
            await until(lambda: pool.reader.version == 1)
            sleep = asyncio.sleep

            async def record_sleep(pause):
                slept.append(pause)
                await sleep(0)

            monkeypatch.setattr(endpoint_discovery.asyncio, "sleep", record_sleep)
            pool.watch.random_between = lambda low, high: 1.0
            world.agent.answers += [message(503, b"")] * 8
            await until_with_sleep(lambda: len(slept) >= 8, sleep)
            monkeypatch.setattr(endpoint_discovery.asyncio, "sleep", sleep)
            assert slept == sorted(slept) and slept[-1] == endpoint_discovery.REJECTED_BACKOFF_S

    scenario()


async def until_with_sleep(condition, sleep):
    async with asyncio.timeout(20):
        while not condition():
            await sleep(0.002)


def test_a_connection_to_discovery_that_never_opens_times_out(monkeypatch):
    monkeypatch.setattr(endpoint_discovery, "SILENCE_TIMEOUT_S", 0.15)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=1) as world:
            loop, tries = world.sidecar.loop, []

            class Loop:
                """The loop, with a first connection attempt that hangs."""

                def __getattr__(self, name):
                    return getattr(loop, name)

                async def create_connection(self, *what):
                    tries.append(what)
                    if len(tries) == 1:
                        await asyncio.Event().wait()
                    return await loop.create_connection(*what)

            world.agent.answers += [world.complete_list]
            world.sidecar.pool.loop = Loop()
            host, port = world.discovery.address.split(":")
            world.sidecar.pool.move((host, int(port)))
            await until(lambda: world.sidecar.pool.reader.version == 1)
            assert len(tries) >= 2
            world.sidecar.pool.loop = loop

    scenario()


def test_an_internal_error_does_not_end_the_watch():
    async def scenario():
        async with RaceWorld(upstreams=2) as world:
            pool = world.sidecar.pool
            withdraw = pool.connections.withdraw
            pool.connections.withdraw = None  # applying the list fails
            world.version += 1
            world.changes.put_nowait(json.dumps(world.list(world.entry(0, "terminating"))).encode())
            await until(lambda: pool.reader.version is None)
            pool.connections.withdraw = withdraw
            watches = world.watches
            await until(lambda: world.watches > watches and pool.reader.version is not None)
            await world.tell(world.entry(1, "terminating"))
            assert not pool.balancer.upstreams[1].listed

    lines = []
    sink = logger.add(lines.append, level="ERROR", format="{message}")
    try:
        asyncio.run(scenario())
    finally:
        logger.remove(sink)
    assert len(lines) == 1 and "endpoint discovery watch failed internally" in lines[0]


@on_sockets
async def test_a_dial_that_opens_after_a_drain_sends_nothing():
    async with RaceWorld(upstreams=2, methods=[PATIENT]) as world:
        world.dial_gate.clear()
        asking = asyncio.create_task(ask(world, request(b"one")))
        await until(lambda: world.dialled)
        first = world.dialled[0]
        drained = next(
            number for number in range(2) if world.upstreams[number].address == f"{first[0]}:{first[1]}"
        )
        await world.tell(world.entry(drained, "terminating"))
        world.dial_gate.set()
        assert (await asking)[0] == 200
        assert not world.upstreams[drained].seen and world.upstreams[1 - drained].seen
        assert not world.sidecar.pool.balancer.in_flight


@on_sockets
async def test_a_dial_that_opens_after_its_upstream_moved_sends_nothing():
    async with RaceWorld(upstreams=1, methods=[PATIENT]) as world:
        world.dial_gate.clear()
        asking = asyncio.create_task(ask(world, request(b"one")))
        await until(lambda: world.dialled)
        fresh = await Server(lambda head, body: message(200, body)).start()
        await world.tell(
            {**world.entry(0), "hostPort": fresh.address},
            {**world.entry(0, "terminating"), "instanceId": "s-other"},
        )  # another upstream drains at the former address
        world.dial_gate.set()
        assert (await asking)[0] in (200, 503)  # rejected at once, or sent to the new address
        assert not world.upstreams[0].seen
        fresh.stop()


@on_sockets
async def test_a_drain_gathered_with_a_request_is_applied_first():
    """Both events are ready in one pass; an upstream chosen before the drain is applied is not dialled."""
    met = 0
    for drained in range(2):  # one of the two is the first choice
        async with RaceWorld(upstreams=2, methods=[PATIENT]) as world:
            pool, front = world.sidecar.pool, world.sidecar.front
            client = Client(world)
            await until(lambda front=front: front.clients)
            link = next(iter(front.clients))
            decide, chosen = pool.dispatcher.decide, []

            def seen(now, active_request, decide=decide, chosen=chosen):
                decide(now, active_request)
                chosen.extend(one.upstream for one in active_request.transmissions.values())

            pool.dispatcher.decide = seen
            raw = request(b"one")
            link.get_buffer(len(raw))[: len(raw)] = raw
            link.buffer_updated(len(raw))
            world.version += 1
            pool.apply_list_message(world.list(world.entry(drained, "terminating")))
            await until(lambda world=world, pool=pool: world.bodies() and not pool.dispatcher.active_requests)
            assert not world.upstreams[drained].seen and world.upstreams[1 - drained].seen
            assert chosen[-1] == 1 - drained
            met += chosen[0] == drained
            client.disconnect(False)
    assert met == 1


@on_sockets
async def test_a_dial_that_opens_after_its_deadline_sends_nothing():
    async with RaceWorld(upstreams=1, methods=[method("once", soft=200.0, hard=200.0)]) as world:
        pool = world.sidecar.pool
        world.dial_gate.clear()
        asking = asyncio.create_task(ask(world, request(b"one", wait=200)))
        await until(lambda: world.dialled)
        expire, pool.dispatcher.expire = pool.dispatcher.expire, lambda now: None  # expiry is delayed
        await asyncio.sleep(0.25)
        world.dial_gate.set()
        status, _, _ = await asking
        pool.dispatcher.expire = expire
        assert status == 503 and not world.bodies()


@on_sockets
async def test_an_invalid_host_name_ends_the_transmission_at_once():
    """The error ended the connect task, and the transmission did not end before its time limit."""
    async with RaceWorld(upstreams=1, methods=[PATIENT]) as world:
        await world.tell({**world.entry(0), "hostPort": "a..b:80"})
        async with asyncio.timeout(8):  # the client would wait for 15 s
            assert (await ask(world, request(b"one")))[0] == 503
        assert not world.sidecar.pool.connections.connecting and not world.sidecar.pool.balancer.in_flight
