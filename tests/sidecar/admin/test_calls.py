"""Calls of the admin address on loopback: disable and enable upstreams, drain and resume."""

import asyncio

from helpers import SILENT, ask, message, on_sockets, request, until
from operators import AdminWorld

from shedgrade.sidecar.admin.front import MAX_CONNECTIONS
from shedgrade.sidecar.lifecycle.phases import Phase


def serve(head, body):
    return message(200, body)


@on_sockets
async def test_valid_calls_succeed_and_invalid_calls_get_their_error_status():
    async with AdminWorld(serve) as world:
        assert (await world.call("/-/ready", "GET"))[0] == 200
        assert (await world.call("http://elsewhere/-/ready?x=1", "GET"))[0] == 200
        for target, method, status in (
            ("/-/ready", "POST", 405),
            ("/-/drain", "GET", 405),
            ("/-/else", "POST", 404),
            ("/-/upstreams/s-0", "POST", 404),
            ("/-/upstreams//disable", "POST", 404),
            ("/up", "GET", 404),
            ("/-/upstreams/s-9/disable", "POST", 503),
            ("/-/upstreams/s-9/enable", "POST", 503),
            ("/-/upstreams/%ff/disable", "POST", 400),
        ):
            assert (await world.call(target, method))[0] == status, target
        assert (await world.call("/-/upstreams/%73-0/disable"))[0] == 200
        assert (await world.call("/-/upstreams/s-0/disable", head="Content-Length: 0\r\n"))[0] == 200
        reader, writer = await asyncio.open_connection(*world.config.admin)
        writer.write(b"nonsense\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 400")
        writer.close()
        world.sidecar.pool.has_list = False
        assert (await world.call("/-/ready", "GET"))[0] == 503


@on_sockets
async def test_incomplete_calls_do_not_block_other_calls_or_clients():
    async with AdminWorld(serve, sockets=100) as world:
        incomplete = [await asyncio.open_connection(*world.config.admin) for _ in range(3 * MAX_CONNECTIONS)]
        for _, writer in incomplete:
            writer.write(b"GET /-/rea")
        assert (await world.call("/-/ready", "GET"))[0] == 200
        assert len(world.sidecar.admin.connections) <= MAX_CONNECTIONS and (await ask(world))[0] == 200
        for connection in world.sidecar.admin.connections:
            connection.opened_at -= 10
        await until(lambda: not world.sidecar.admin.connections)
        for _, writer in incomplete:
            writer.close()


@on_sockets
async def test_a_disabled_upstream_gets_no_requests_through_list_changes_until_enabled():
    async with AdminWorld(serve, serve) as world:
        for number in range(6):
            assert (await ask(world, request(name=f"a{number}")))[0] == 200
        assert (await world.call("/-/upstreams/s-0/disable"))[0] == 200
        assert (await world.call("/-/upstreams/s-0/disable"))[0] == 200
        before = len(world.upstreams[0].seen)
        await world.tell(world.entry(0, startedAtMs=5))
        await world.tell(world.entry(1), reset=True)
        await world.tell(world.entry(0, cell=3), world.entry(1), reset=True)
        for number in range(6):
            assert (await ask(world, request(name=f"b{number}")))[0] == 200
        assert len(world.upstreams[0].seen) == before and not world.upstreams[0].writers
        assert (await world.call("/-/upstreams/s-0/enable"))[0] == 200
        up = world.sidecar.pool.balancer.upstreams[world.sidecar.pool.reader.indices.by_id["s-0"]]
        assert up.listed and world.sidecar.pool.balancer.is_warming_up(up, world.sidecar.clock.now())
        await world.tell(world.entry(0, startedAtMs=6))  # started long ago, yet it warms up once enabled
        assert up.listed and world.sidecar.pool.balancer.is_warming_up(up, world.sidecar.clock.now())
        up.slow_start_credit = 1
        assert (await ask(world, request(name="c")))[0] == 200
        assert len(world.upstreams[0].seen) == before + 1  # used before, so it gets a request at once


@on_sockets
async def test_requests_fail_at_once_when_all_upstreams_are_disabled():
    async with AdminWorld(serve, serve) as world:
        for number in range(2):
            assert (await world.call(f"/-/upstreams/s-{number}/disable"))[0] == 200
        assert (await ask(world))[0] == 503 and not world.sent()
        assert (await world.call("/-/upstreams/s-1/enable"))[0] == 200
        world.sidecar.pool.balancer.upstreams[1].slow_start_credit = 1
        assert (await ask(world))[0] == 200


@on_sockets
async def test_a_request_whose_upstream_is_disabled_while_dialled_goes_elsewhere():
    async with AdminWorld(serve, serve) as world:
        connections, release = world.sidecar.pool.connections, asyncio.Event()
        dialled, direct = [], connections.connect

        async def connect_when_released(factory, address):
            if not dialled:
                dialled.append(address)
                await release.wait()
            return await direct(factory, address)

        connections.connect = connect_when_released
        pending_request = asyncio.create_task(ask(world))
        await until(lambda: dialled)
        number = [upstream.address for upstream in world.upstreams].index(f"{dialled[0][0]}:{dialled[0][1]}")
        assert (await world.call(f"/-/upstreams/s-{number}/disable"))[0] == 200
        assert (await pending_request)[0] == 200 and not world.upstreams[number].seen


@on_sockets
async def test_a_drain_reports_not_ready_serves_late_requests_and_closes_idle_connections():
    async with AdminWorld(serve) as world:
        idle, used = await world.connect(), await world.connect()
        assert (await ask(world, connection=used))[0] == 200
        assert (await world.call("/-/drain"))[0] == 200 and world.sidecar.phase is Phase.STANDING_BY
        assert (await world.call("/-/ready", "GET"))[0] == 200
        up = b"GET /up HTTP/1.1\r\n\r\n"
        assert (await ask(world, up, used))[0] == 503  # also on a kept connection
        status, head, _ = await ask(world, request(name="a2"))
        assert status == 200 and "Connection: close" in head
        assert await idle[0].read() == b"" and not world.serving.done()
        await until(lambda: not world.sidecar.front.clients)
        assert (await ask(world, request(name="a3")))[0] == 200  # it still listens
        assert (await world.call("/-/resume"))[0] == 200
        assert (await ask(world, up))[0] == 200
        kept = await world.connect()
        assert "Connection: close" not in (await ask(world, request(name="a4"), kept))[1]
        await asyncio.sleep(0.2)
        assert not kept[0].at_eof()
        kept[1].close()


@on_sockets
async def test_the_last_of_several_drain_and_resume_calls_wins_and_sigterm_ends_standby():
    async with AdminWorld(lambda head, body: SILENT) as world:
        for call in ("drain", "resume", "drain", "drain", "resume", "resume"):
            assert (await world.call(f"/-/{call}"))[0] == 200
        kept = await world.connect()
        assert world.sidecar.phase is Phase.SERVING and world.sidecar.standby.timer is None
        assert (await ask(world, b"GET /up HTTP/1.1\r\n\r\n", kept))[0] == 200
        await world.call("/-/drain")
        world.sidecar.drain()
        assert world.sidecar.standby.timer is None and (await world.call("/-/resume"))[0] == 503
        await world.serving
        assert world.sidecar.phase is Phase.CLOSED
