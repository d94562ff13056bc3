"""Hot restart: two sidecars within this process, and two processes under load on loopback."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import replace

import orjson
import pytest
from addresses import free_address, host_port
from helpers import Server, World, ask, message, on_sockets, request, until
from loguru import logger
from operators import AdminWorld

from shedgrade.sidecar.lifecycle.hot_restart_link import handover_path
from shedgrade.sidecar.lifecycle.phases import Phase
from shedgrade.sidecar.lifecycle.sidecar import Sidecar


def serve(head, body):
    return message(200, body)


@pytest.fixture(autouse=True)
def folder(tmp_path, monkeypatch):
    # Longer than the path of a Unix socket may be.
    long = tmp_path / ("long" * 30)
    long.mkdir()
    monkeypatch.setenv("TMPDIR", str(long))
    return long


@asynccontextmanager
async def newer_sidecar(world, **changes):
    """A second sidecar with the same addresses as the first, but with an admin address of its own."""
    config = replace(world.config, admin=free_address(), known=None, **changes)
    sidecar = Sidecar(config, asyncio.get_running_loop())
    serving = asyncio.create_task(sidecar.serve())
    await until(lambda: sidecar.accepts_clients())
    yield sidecar
    sidecar.shutdown.done.set()
    await serving
    sidecar.listener.close()


def test_the_newer_process_takes_over_the_state_and_commands_apply_to_both(folder, monkeypatch):
    from shedgrade.sidecar.lifecycle import hot_restart

    # Both sidecars run on one loop, which connect_to_older blocks: it runs in a thread beforehand.
    prepared = {}

    def connect_prepared(loop, path):
        return prepared.pop("found", None)

    @on_sockets
    async def scenario():
        async with AdminWorld(serve, serve, serve) as world:
            loop, old = asyncio.get_running_loop(), world.sidecar
            for number in range(6):
                assert (await ask(world, request(name=f"a{number}")))[0] == 200
            assert (await world.call("/-/upstreams/s-0/disable"))[0] == 200
            assert (await world.call("/-/upstreams/s-1/disable"))[0] == 200
            assert (await world.call("/-/upstreams/s-1/enable"))[0] == 200
            assert (await world.call("/-/drain"))[0] == 200
            prepared["found"] = await loop.run_in_executor(
                None, connect_to_older_process, loop, handover_path(world.config.listen)
            )
            monkeypatch.setattr(hot_restart, "connect_to_older", connect_prepared)
            async with newer_sidecar(world) as new:
                await until(lambda: old.hot_restart.newer_accepts)
                old.check_invariants()
                new.check_invariants()
                assert new.commands.disabled == {"s-0"} and new.phase is Phase.STANDING_BY
                ups = new.pool.balancer.upstreams
                names = new.pool.reader.indices.by_id
                assert not ups[names["s-0"]].listed and ups[names["s-2"]].listed
                assert new.pool.balancer.is_warming_up(ups[names["s-1"]], new.clock.now())
                assert new.pool.balancer.reinstated == [ups[names["s-1"]]]
                assert old.pool.balancer.slow_start_share == new.pool.balancer.slow_start_share == 0.5
                assert new.budget.max_connections + old.budget.max_connections <= 1024
                assert not old.listener.accepting and not old.listener.waiting()
                # A command at either address applies to both.
                assert (await world.call("/-/resume"))[0] == 200
                assert (await world.call("/-/upstreams/s-0/enable"))[0] == 200
                await until(lambda: new.phase is Phase.SERVING and not new.commands.disabled)
                new.commands.disable("s-1", lambda succeeded, text: None)
                await until(lambda: old.commands.disabled == {"s-1"})
                assert old.phase is Phase.SERVING
                old.drain()
                await until(lambda: old.phase is Phase.CLOSED)
                await until(lambda: new.pool.balancer.slow_start_share == 1.0)
                assert new.budget.older_process_connections is None
                for number in range(9):
                    assert (await ask(world, request(name=f"b{number}")))[0] == 200

    from shedgrade.sidecar.lifecycle.hot_restart_link import connect_to_older as connect_to_older_process

    scenario()


@on_sockets
async def test_the_older_process_is_restored_when_the_newer_one_dies_or_hangs():
    from shedgrade.sidecar.lifecycle.hot_restart_link import connect_to_older

    async with AdminWorld(serve) as world:
        loop, old = asyncio.get_running_loop(), world.sidecar
        link, state, listening_socket = await loop.run_in_executor(
            None, connect_to_older, loop, handover_path(world.config.listen)
        )
        assert state.disabled == [] and old.budget.max_connections == old.hot_restart.announced_descriptors
        old.hot_restart.on_ready_timeout(link)  # the timeout of another link has no effect
        assert old.hot_restart.newer is not None
        link.send({"what": "serving"})
        await until(lambda: old.hot_restart.newer_accepts)
        pending_request = asyncio.create_task(ask(world))  # it waits in the accept queue of the shared socket
        await asyncio.sleep(0.1)
        assert not pending_request.done()
        link.close()
        listening_socket.close()
        assert (
            (await pending_request)[0] == 200
            and old.budget.max_connections > 100
            and old.pool.balancer.slow_start_share == 1.0
        )
        link, _, listening_socket = await loop.run_in_executor(
            None, connect_to_older, loop, handover_path(world.config.listen)
        )
        old.check_invariants()
        old.hot_restart.on_ready_timeout(old.hot_restart.newer)  # the newer process hangs
        assert old.hot_restart.newer is None and old.budget.max_connections > 100 and old.listener.accepting
        link.close()
        listening_socket.close()


@on_sockets
async def test_no_connection_is_lost_when_the_older_process_ends_before_the_newer_one_serves():
    """The older process accepts while it drains; later connections wait in the queue of the shared socket."""
    from shedgrade.sidecar.lifecycle.hot_restart_link import connect_to_older

    async with AdminWorld(serve) as world:
        loop, old = asyncio.get_running_loop(), world.sidecar
        link, _, listening_socket = await loop.run_in_executor(
            None, connect_to_older, loop, handover_path(world.config.listen)
        )
        old.drain()
        assert (await ask(world))[0] == 200
        link.send({"what": "serving"})  # arrives while the older process drains
        await until(lambda: old.hot_restart.newer_accepts)
        late = asyncio.create_task(ask(world, request(name="a2")))
        await until(lambda: old.phase is Phase.CLOSED)
        assert not late.done()
        listening_socket.setblocking(False)
        accepted, _ = await loop.sock_accept(listening_socket)  # as the newer process would
        assert b"a2" in await loop.sock_recv(accepted, 4096)
        late.cancel()
        accepted.close()
        listening_socket.close()
        link.close()


@pytest.mark.parametrize(
    "answer", [b"", b"{", b"[]\n", b'{"v":9,"what":"state"}\n', b'{"v":1,"what":"state"}\n', None]
)
def test_an_invalid_or_missing_answer_of_the_older_process_is_ignored(folder, answer):
    @on_sockets
    async def scenario():
        lines = []
        sink = logger.add(lines.append, level="WARNING", format="{message}")
        async with AdminWorld(serve) as world:
            world.sidecar.hot_restart.listener = world.sidecar.hot_restart.listener.close()
            path = handover_path(world.config.listen)
            code = (
                "import socket,os,sys\nos.chdir(os.path.dirname(sys.argv[1]))\n"
                "s=socket.socket(socket.AF_UNIX)\ns.bind(os.path.basename(sys.argv[1]))\ns.listen()\n"
                "print(1,flush=True)\nc=s.accept()[0]\nc.recv(999)\n"
                "a=eval(sys.argv[2])\n"
                "a is None and __import__('time').sleep(60)\nc.sendall(a)\n"
            )
            peer = subprocess.Popen([sys.executable, "-c", code, path, repr(answer)], stdout=subprocess.PIPE)
            try:
                peer.stdout.readline()
                async with newer_sidecar(world) as new:
                    assert new.phase is Phase.SERVING and new.hot_restart.older is None
                    assert (
                        len([line for line in lines if "nothing taken over from older process" in line]) == 1
                    )
            finally:
                peer.kill()
                peer.wait()
        logger.remove(sink)

    scenario()


def test_a_stale_socket_path_is_replaced(folder):
    @on_sockets
    async def scenario():
        async with AdminWorld(serve) as world:
            os.rename(handover_path(world.config.listen), folder / "kept")
        os.rename(folder / "kept", handover_path(world.config.listen))
        lines = []
        sink = logger.add(lines.append, level="WARNING", format="{message}")
        async with AdminWorld(serve) as world:
            assert world.sidecar.hot_restart.listener is not None and not lines
        logger.remove(sink)

    scenario()


def test_hot_restarts_under_load_lose_no_request(tmp_path, folder):
    """Two restarts in a row: the older process gets SIGTERM once the newer one is ready."""

    @on_sockets
    async def scenario():
        async def serve_slowly(head, body):
            await asyncio.sleep(0.02)
            return message(200, body)

        world = World(*[serve_slowly] * 8)
        world.upstreams = [await Server(script).start() for script in world.scripts]
        discovery = await Server(world.discover).start()
        listen = free_address()
        lost, served, stop = [], [], asyncio.Event()

        async def client(number):
            request_number, connection = 0, None
            await asyncio.sleep(number / 20)  # load rises as the balancer learns what each upstream can take
            while not stop.is_set():
                request_number += 1
                raw = request(b"x", name=f"c{number}-{request_number}")
                fresh = connection is None
                try:
                    connection = connection or await asyncio.open_connection(*listen)
                    async with asyncio.timeout(20):
                        status, head, _ = await ask(None, raw, connection)
                    (served if status == 200 else lost).append(status)
                    if "Connection: close" in head or request_number % 3 == 0:
                        connection[1].close()
                        connection = None
                except (OSError, asyncio.IncompleteReadError) as failure:
                    connection = None
                    if fresh:  # a kept connection may close between two requests; the client then retries
                        lost.append(repr(failure))
                await asyncio.sleep(0.005)

        def start(admin):
            path = tmp_path / f"{admin[1]}.json"
            path.write_bytes(
                orjson.dumps(
                    {
                        "name": "n",
                        "listen": host_port(listen),
                        "discovery": discovery.address,
                        "seed": "1f",
                        "admin_addr": host_port(admin),
                        "limits": {"sockets": 400, "memory_mb": 96},
                        "settings": world.conf,
                    }
                )
            )
            return subprocess.Popen(
                [sys.executable, "-m", "shedgrade", "serve", "--config", str(path)],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ},
            )

        async def wait_until_ready(admin):
            async with asyncio.timeout(20):
                while True:
                    assert processes[-1].poll() is None, processes[-1].stderr.read()
                    try:
                        reader, writer = await asyncio.open_connection(*admin)
                        writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
                        answer = await reader.read()
                        writer.close()
                        if answer.startswith(b"HTTP/1.1 200"):
                            return
                    except OSError:
                        pass
                    await asyncio.sleep(0.02)

        async def wait_for_served():
            """Returns once 100 more requests were served, by either process, or one was lost."""
            enough = len(served) + 100
            await until(lambda: len(served) >= enough or lost)

        processes = []
        try:
            admin = free_address()
            processes.append(start(admin))
            await wait_until_ready(admin)
            clients = [asyncio.create_task(client(number)) for number in range(8)]
            for _ in range(2):
                await wait_for_served()
                admin = free_address()
                processes.append(start(admin))
                await wait_until_ready(admin)
                processes[-2].send_signal(signal.SIGTERM)
                await until(lambda: processes[-2].poll() is not None)
                assert processes[-2].returncode == 0
            await wait_for_served()
            stop.set()
            await asyncio.gather(*clients)
            assert not lost and len(served) > 100, lost
            texts = [await asyncio.to_thread(process.stderr.read) for process in processes[:-1]]
            assert all("newer process accepts clients" in text for text in texts)
        finally:
            for process in processes:
                process.kill()
                process.wait()
            for server in (*world.upstreams, discovery):
                server.stop()

    scenario()


def test_two_processes_listen_side_by_side_without_tmpdir(monkeypatch):
    monkeypatch.delenv("TMPDIR")

    @on_sockets
    async def scenario():
        async with AdminWorld(serve) as world, newer_sidecar(world) as new:
            assert new.hot_restart.older is None and new.listener.socket is not world.sidecar.listener.socket
            for number in range(8):
                assert (await ask(world, request(name=f"a{number}")))[0] == 200

    scenario()


def test_an_unusable_admin_address_is_one_line_and_exit_2(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "c.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "n",
                    "listen": host_port(free_address()),
                    "discovery": "127.0.0.1:1",
                    "seed": "1",
                    "admin_addr": f"127.0.0.1:{taken.getsockname()[1]}",
                    "settings": World().conf,
                }
            )
        )
        for admin, code in ((None, 2), ("nowhere", 2)):
            if admin:
                taken_address = b"127.0.0.1:%d" % taken.getsockname()[1]
                path.write_bytes(path.read_bytes().replace(taken_address, admin.encode()))
            completed = subprocess.run(
                [sys.executable, "-m", "shedgrade", "serve", "--config", str(path)],
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert completed.returncode == code
            assert len([line for line in completed.stderr.splitlines() if line.startswith("shedgrade:")]) == 1
