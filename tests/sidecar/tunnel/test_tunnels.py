"""Tunnel listeners and connecting through proxies, on loopback, with faults of clients, upstreams and
proxies."""

import asyncio
import json
import os
import socket
import struct
import tempfile
import time

import pytest
from addresses import free_address, host_port
from helpers import (
    SILENT,
    Server,
    World,
    ask,
    message,
    method,
    on_sockets,
    outcomes,
    read_message,
    request,
    until,
)
from proxies import StandInProxy, open_tunnel

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.tunnel.assemble import TunnelFeature
from shedgrade.upstream_pool.errors import ConfigError

PATIENT = method("once", soft=2e4, hard=2e4)


def serve(head, body):
    return message(200, body)


def echo(head, body):
    return message(200, b"got " + body)


class TunnelWorld(World):
    """A sidecar with tunnel listeners. `text`: the features file, to which the listeners are added;
    `[[routes]]` in it stands for the routes. `routes`: the routes, by default one inspected and one
    opaque."""

    def __init__(self, *scripts, text="", routes="", **more):
        super().__init__(*scripts, **more)
        self.socks_address, self.connect_address = free_address(), free_address()
        self.text, self.routes = text, routes

    def prepare(self):
        features_file = tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False)  # noqa: SIM115 (removed in __aexit__)
        routes = (
            self.routes
            or '[[tunnel.routes]]\nnames = ["claims.internal"]\nuse = "inspected"\n'
            '[[tunnel.routes]]\nnames = ["raw.internal"]\nuse = "opaque"\nmethod = "m"\n'
        )
        tunnel = self.text if "[tunnel]" in self.text else "[tunnel]\n" + self.text
        text = tunnel.replace(
            "[tunnel]\n",
            f'[tunnel]\nsocks = "{host_port(self.socks_address)}"\n'
            f'connect = "{host_port(self.connect_address)}"\n',
            1,
        )
        features_file.write(text.replace("[[routes]]", routes) if "[[routes]]" in text else text + routes)
        features_file.close()
        self.features_path = features_file.name
        self.sidecar.load_features = lambda: load_features(features_file.name, {"m"})
        self.part = TunnelFeature(self.sidecar, self.sidecar.load_features())
        self.sidecar.features.append(self.part)

    async def __aexit__(self, *args):
        await super().__aexit__(*args)
        os.unlink(self.features_path)

    def listener_address(self, protocol):
        return self.socks_address if protocol == "socks" else self.connect_address

    def total_in_flight(self):
        balancer = self.sidecar.pool.balancer
        return balancer.in_flight + sum(zone.background_load for zone in balancer.zones)


PROTOCOLS = ("socks", "connect")


async def read_answer(reader):
    async with asyncio.timeout(20):
        head, body = await read_message(reader)
    return int(head[0].split()[1]), body


@on_sockets
async def test_inside_an_inspected_tunnel_every_request_is_an_rpc():
    async with TunnelWorld(echo, echo) as world:
        for protocol in PROTOCOLS:
            codec, reader, writer = await open_tunnel(
                world.listener_address(protocol), protocol, "Claims.Internal.", 80
            )
            assert codec.done
            for number in range(3):
                writer.write(request(b"%d" % number, name=f"{protocol}{number}"))
                assert await read_answer(reader) == (200, b"got %d" % number)
            writer.close()
        assert world.sent() == 6 and world.total_in_flight() == 0


@on_sockets
async def test_bytes_sent_before_the_handshake_reply_are_not_lost():
    async with TunnelWorld(echo) as world:
        for protocol in PROTOCOLS:
            _, reader, _ = await open_tunnel(
                world.listener_address(protocol),
                protocol,
                "claims.internal",
                80,
                ahead=request(b"early" * 2000, name="a") + request(b"2", name="b"),
            )
            assert await read_answer(reader) == (200, b"got " + b"early" * 2000)
            assert await read_answer(reader) == (200, b"got 2")


@on_sockets
async def test_an_opaque_tunnel_relays_bytes_counts_as_in_flight_and_keeps_half_closes():
    async with TunnelWorld(echo) as world:
        for protocol in PROTOCOLS:
            codec, reader, writer = await open_tunnel(
                world.listener_address(protocol), protocol, "raw.internal", 80
            )
            assert codec.done and world.total_in_flight() == 1
            writer.write(request(b"x" * 50_000, wait=9000))
            assert await read_answer(reader) == (200, b"got " + b"x" * 50_000)
            writer.write(request(b"last")[:-2])
            writer.write_eof()
            assert await reader.read() == b""  # the upstream closed after the end of file
            await until(lambda: world.total_in_flight() == 0)
            assert len(world.sidecar.pool.dispatcher.active_requests) == 0


@on_sockets
async def test_no_stream_is_opened_for_a_client_that_has_reset_its_connection():
    """The connection is not read while it waits, so the event loop does not notice the reset."""
    async with TunnelWorld(serve) as world:
        gate, dialled, connections = asyncio.Event(), [], world.sidecar.pool.connections
        connect = connections.connect

        async def delayed_connect(factory, address):
            dialled.append(address)
            await gate.wait()
            return await connect(factory, address)

        connections.connect = delayed_connect
        client = socket.create_connection(world.connect_address)
        client.send(b"CONNECT raw.internal:80 HTTP/1.1\r\nHost: raw.internal:80\r\n\r\n")
        await until(lambda: dialled)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        await asyncio.sleep(0.05)
        opened, connections.dispatcher.stream_opened = [], lambda transmission: opened.append(transmission)
        gate.set()
        await until(lambda: not connections.connecting and not connections.open)
        await until(lambda: not world.total_in_flight() and not world.part.tunnels.live)
        assert not opened


@on_sockets
async def test_a_destination_without_a_route_is_refused():
    async with TunnelWorld(serve) as world:
        for protocol, code in (("socks", "not allowed"), ("connect", "status 403")):
            codec, _, _ = await open_tunnel(world.listener_address(protocol), protocol, "evil.example", 80)
            assert code in codec.failed
        assert world.sent() == 0 and world.part.tunnels.refused["route"] == 2


@on_sockets
async def test_a_login_is_required_if_users_are_configured():
    with tempfile.NamedTemporaryFile("w") as users:
        users.write("chain:secret\n")
        users.flush()
        async with TunnelWorld(echo, text=f'users = "{users.name}"\n') as world:
            for protocol in PROTOCOLS:
                assert (
                    await open_tunnel(
                        world.listener_address(protocol), protocol, "claims.internal", 80, ("chain", "secret")
                    )
                )[0].done
                assert (
                    await open_tunnel(
                        world.listener_address(protocol), protocol, "claims.internal", 80, ("chain", "wrong")
                    )
                )[0].failed
                assert (
                    await open_tunnel(
                        world.listener_address(protocol), protocol, "claims.internal", 80, ("nobody", "")
                    )
                )[0].failed
                assert (await open_tunnel(world.listener_address(protocol), protocol, "claims.internal", 80))[
                    0
                ].failed


@on_sockets
async def test_without_an_upstream_the_handshake_is_refused_at_once():
    async with TunnelWorld(serve, dial_timeout=300.0) as world:
        world.upstreams[0].stop()
        for protocol, expected in (("socks", "failure"), ("connect", "status 503")):
            started = time.monotonic()
            codec, _, _ = await open_tunnel(world.listener_address(protocol), protocol, "raw.internal", 80)
            assert expected in codec.failed and time.monotonic() - started < 10
        assert world.total_in_flight() == 0


@on_sockets
async def test_a_request_in_an_opaque_tunnel_whose_upstream_starts_draining():
    """Nothing new reaches the upstream after the grace; the request in progress is answered; the tunnel then
    ends."""
    gate = asyncio.Event()

    async def slow(head, body):
        await gate.wait()
        return message(200, body)

    async with TunnelWorld(slow, text="drain_s = 2.0\n") as world:
        _, reader, writer = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        writer.write(request(b"claim"))
        await until(lambda: world.sent() == 1)
        await world.tell(world.entry(0, "terminating"))
        grace = world.conf["rules"]["stop_sending_within"] / 1000
        await asyncio.sleep(grace)
        writer.write(request(b"new", name="late"))
        await asyncio.sleep(0.3)
        gate.set()
        assert await read_answer(reader) == (200, b"claim")
        assert await reader.read() == b""
        assert world.sent() == 1
        await until(lambda: world.total_in_flight() == 0)
        assert (await open_tunnel(world.connect_address, "connect", "raw.internal", 80))[0].failed


@on_sockets
async def test_requests_in_an_inspected_tunnel_avoid_a_draining_upstream():
    async with TunnelWorld(echo, echo) as world:
        _, reader, writer = await open_tunnel(world.socks_address, "socks", "claims.internal", 80)
        await world.tell(world.entry(0, "terminating"))
        for number in range(4):
            writer.write(request(b"", name=f"r{number}"))
            assert (await read_answer(reader))[0] == 200
        assert len(world.upstreams[0].seen) == 0 and len(world.upstreams[1].seen) == 4


@on_sockets
async def test_a_peer_that_reads_nothing_limits_the_buffered_bytes():
    """The client sends at full speed; only as much is read from it as the kernel and two buffers hold."""
    unread_listener = socket.create_server(("127.0.0.1", 0))
    async with TunnelWorld(serve, text="buffer = 16384\nidle_s = 1.5\n") as world:
        unread_entry = {**world.entry(0), "hostPort": f"127.0.0.1:{unread_listener.getsockname()[1]}"}
        await world.tell(unread_entry)
        _, _, writer = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        tunnel = next(iter(world.part.tunnels.live))
        writer.transport.set_write_buffer_limits(1 << 30)
        for _ in range(400):
            writer.write(b"x" * 65536)
            await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        held = tunnel.peer.transport.get_write_buffer_size()
        assert held < 1_000_000 and tunnel.bytes_received < 20_000_000
        before = tunnel.bytes_received
        await asyncio.sleep(0.3)
        assert tunnel.bytes_received == before
        writer.transport.abort()
        await until(lambda: world.total_in_flight() == 0)
    unread_listener.close()


@on_sockets
async def test_incomplete_handshakes_and_idle_tunnels_time_out_and_free_their_places():
    async with TunnelWorld(echo, text="handshake_ms = 400.0\nmost = 30\nidle_s = 0.6\n") as world:
        open_ones = [
            await asyncio.open_connection(*world.listener_address(PROTOCOLS[number % 2]))
            for number in range(60)
        ]
        await asyncio.sleep(0.1)
        assert len(world.part.tunnels.live) <= 30
        assert (await ask(world))[0] == 200  # plain RPCs are served meanwhile

        async def send_slowly(streams):
            try:
                for byte in b"CONNECT raw.internal:80 HTTP/1.1":
                    streams[1].write(bytes([byte]))
                    await asyncio.sleep(0.2)
            except OSError:
                pass

        tasks = [asyncio.create_task(send_slowly(streams)) for streams in open_ones[:5]]
        await until(lambda: not world.part.tunnels.live)
        for task in tasks:
            task.cancel()
        codec, reader, _ = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        assert codec.done
        assert await reader.read() == b""  # closed after idle_s
        for _, writer in open_ones:
            writer.close()


@on_sockets
async def test_a_reset_by_either_side_reaches_the_other():
    async with TunnelWorld(lambda *_: SILENT) as world:
        _, reader, writer = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        writer.write(request())
        await until(lambda: world.sent() == 1)
        for upstream in list(world.upstreams[0].writers):
            upstream.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            upstream.transport.abort()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        await until(lambda: world.total_in_flight() == 0)
        _, _, writer = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        writer.transport.abort()
        await until(lambda: world.total_in_flight() == 0 and not world.upstreams[0].writers)


@on_sockets
async def test_smuggled_requests_inside_an_inspected_tunnel_are_refused():
    async with TunnelWorld(echo) as world:
        ambiguous = request(b"0\r\n\r\nPOST /m HTTP/1.1\r\n").replace(
            b"Host", b"Transfer-Encoding: chunked\r\nHost"
        )
        for raw in (
            ambiguous,
            b"CONNECT raw.internal:80 HTTP/1.1\r\nHost: x\r\n\r\n",
            request() + b"what is behind",
        ):
            _, reader, writer = await open_tunnel(world.connect_address, "connect", "claims.internal", 80)
            writer.write(raw)
            assert (await read_answer(reader))[0] in (400, 404)
            assert b" 200 " not in await reader.read()  # the connection ends without a further success
        assert world.sent() == 0


@on_sockets
async def test_a_reload_that_refuses_a_route_closes_its_tunnels_gracefully():
    async with TunnelWorld(echo, text="drain_s = 1.0\n") as world:
        _, reader, writer = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        writer.write(request(b"a"))
        assert await read_answer(reader) == (200, b"got a")
        with open(world.features_path) as file:
            text = file.read()
        with open(world.features_path, "w") as file:
            file.write(
                text.replace(
                    'names = ["raw.internal"]\nuse = "opaque"\nmethod = "m"',
                    'names = ["raw.internal"]\nuse = "refuse"',
                )
            )
        world.part.reload(world.sidecar.load_features())
        assert "403" in (await open_tunnel(world.connect_address, "connect", "raw.internal", 80))[0].failed
        assert await reader.read() == b"" and world.sent() == 1
        with pytest.raises(ConfigError, match="routes"):
            with open(world.features_path, "w") as file:
                file.write(text.replace('"m"', '"none"'))
            world.sidecar.load_features()


# --- connecting through proxies


class ProxiedWorld(TunnelWorld):
    """A sidecar whose main pool connects through the given proxies."""

    def __init__(self, *scripts, proxies=(), direct="never", handshake=2000.0, **more):
        super().__init__(*scripts, **more)
        self.proxy_servers, self.direct, self.handshake = proxies, direct, handshake

    def prepare(self):
        names = [f"p{number}" for number in range(len(self.proxy_servers))]
        self.text = "[[routes]]\n" + "".join(
            f'[proxies.{name}]\nkind = "{one.protocol}"\naddress = "{one.address}"\n'
            f"handshake_ms = {self.handshake}\n"
            for name, one in zip(names, self.proxy_servers, strict=True)
        )
        main = f'[pools.main]\nproxies = {json.dumps(names)}\ndirect = "{self.direct}"\n'
        self.text = "[tunnel]\n" + self.text + main
        super().prepare()


@on_sockets
async def test_upstreams_are_reached_through_proxies_in_rotation_and_connections_are_kept():
    proxies = [await StandInProxy(protocol).start() for protocol in ("socks5", "connect")]
    async with ProxiedWorld(*[echo] * 4, proxies=proxies) as world:
        reached, number = set(), 0
        while (
            len(reached) < 4 or number < 12
        ):  # upstreams that were slow on a busy machine get fewer requests
            assert (await ask(world, request(b"x", name=f"a{number}")))[0] == 200
            reached = {f"{one.host}:{one.port}" for proxy in proxies for one in proxy.requested}
            number += 1
            # A connection is reused from 2 ms after its answer on; before that, a new one is opened.
            await asyncio.sleep(0.01)
        assert reached == {upstream.address for upstream in world.upstreams}
        assert [len(proxy.requested) for proxy in proxies] == [2, 2]
    for proxy in proxies:
        proxy.stop()


@pytest.mark.parametrize("fault", ["refuse", "stall", "dribble", "deny", "extra", "garbage", "reset"])
def test_a_failing_proxy_ejects_no_upstream_and_the_other_proxy_serves(fault):
    @on_sockets
    async def scene():
        bad, good = await StandInProxy("connect", fault).start(), await StandInProxy("socks5").start()
        async with ProxiedWorld(echo, proxies=[bad, good], handshake=300.0) as world:
            with outcomes() as ends:
                for number in range(6):
                    status = (await ask(world, request(b"x", name=f"r{number}")))[0]
                    assert status == 200 or fault == "reset", (fault, number)
            assert world.sidecar.pool.balancer.ejected_count == 0
            assert set(ends) <= {load_balancing.COMPLETED, load_balancing.UNSENT} | (
                {load_balancing.DROPPED} if fault == "reset" else set()
            )
            assert len(good.requested) >= 1
        bad.stop()
        good.stop()

    scene()


@on_sockets
async def test_an_unreachable_reply_of_a_proxy_counts_as_unconnected():
    for protocol in ("socks5", "connect"):
        proxy = await StandInProxy(protocol, "unreachable").start()
        async with ProxiedWorld(serve, serve, proxies=[proxy]) as world:
            with outcomes() as ends:
                status = (await ask(world))[0]
            assert status == 503 and set(ends) == {load_balancing.UNCONNECTED} and world.sent() == 0
            assert world.sidecar.pool.balancer.ejected_count >= 1
        proxy.stop()


@on_sockets
async def test_proxies_are_never_bypassed_unless_the_pool_allows_it():
    for direct, status in (("never", 503), ("fallback", 200)):
        proxy = await StandInProxy("socks5", "refuse").start()
        async with ProxiedWorld(serve, proxies=[proxy], direct=direct) as world:
            assert (await ask(world))[0] == status
            assert world.sent() == (1 if direct == "fallback" else 0)
        proxy.stop()


@on_sockets
async def test_with_every_proxy_stalled_the_client_is_answered_in_time():
    proxies = [await StandInProxy(protocol, "stall").start() for protocol in ("socks5", "connect")]
    async with ProxiedWorld(
        serve, proxies=proxies, handshake=30_000.0, methods=[method("once", soft=800.0, hard=1500.0)]
    ) as world:
        started = time.monotonic()
        assert (await ask(world, request(wait=1000)))[0] == 503  # not executed, so a retry is harmless
        assert time.monotonic() - started < 3 and world.sent() == 0
        assert world.sidecar.pool.balancer.ejected_count == 0
    for proxy in proxies:
        proxy.stop()


# --- pools


@on_sockets
async def test_a_second_pool_has_its_own_list_methods_and_state_and_shares_the_budget():
    inner = await Server(lambda head, body: message(200, b"inner " + body)).start()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        entry = {
            "instanceId": "i-0",
            "hostPort": inner.address,
            "zone": "0",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        json.dump({"generation": 1, "reset": True, "instances": [entry]}, file)
        file.flush()
        pool = (
            f'[pools.inner]\nfile = "{file.name}"\n[[pools.inner.methods]]\nname = "look"\n'
            'idempotency = "repeatable"\n'
            "soft_deadline = 20000.0\nhard_deadline = 20000.0\n"
        )
        routes = '[[tunnel.routes]]\nsuffixes = [".inner"]\nuse = "inspected"\npool = "inner"\n' + pool
        async with TunnelWorld(echo, routes=routes) as world:
            _, reader, writer = await open_tunnel(world.socks_address, "socks", "a.inner", 80)
            writer.write(request(b"x", "/look/1"))
            assert await read_answer(reader) == (200, b"inner x")
            writer.write(request(b"x", "/m/1"))
            assert (await read_answer(reader))[0] == 404  # a method of the main pool only
            assert (await ask(world, request(b"y")))[2] == b"got y" and len(inner.seen) == 1
            assert world.sidecar.budget.upstreams == 2
    inner.stop()


@on_sockets
async def test_a_tunnel_to_the_sidecar_itself_is_refused():
    async with TunnelWorld(serve) as world:
        entry = {**world.entry(0), "hostPort": host_port(world.connect_address)}
        await world.tell(entry)
        codec, _, _ = await open_tunnel(world.connect_address, "connect", "raw.internal", 80)
        assert codec.failed and world.total_in_flight() == 0
        assert (await ask(world))[0] == 503


@pytest.mark.parametrize(
    "text, key",
    [
        ("[tunnel]", "tunnel"),
        ('[tunnel]\nsocks = "x"', "tunnel.socks"),
        ('[tunnel]\nsocks = "127.0.0.1:1"\nmots = 1', "mots"),
        ('[tunnel]\nsocks = "127.0.0.1:1"\n[[tunnel.routes]]\nuse = "inspected"', "tunnel.routes[0]"),
        (
            '[tunnel]\nsocks = "127.0.0.1:1"\n[[tunnel.routes]]\nnames = ["a"]\nuse = "opaque"',
            "routes[0].method",
        ),
        (
            '[tunnel]\nsocks = "127.0.0.1:1"\n[[tunnel.routes]]\nnames = ["a"]\n'
            'use = "inspected"\npool = "x"',
            "routes[0].pool",
        ),
        ('[pools.a]\nfile = "x"\ndiscovery = "h:1"', "pools.a"),
        ('[pools.a]\nfile = "x"', "pools.a.methods"),
        ('[pools.main]\nproxies = ["p"]', "pools.main.proxies"),
        ('[pools.main]\ndirect = "fallback"', "pools.main.direct"),
        ('[proxies.p]\nkind = "ftp"\naddress = "h:1"', "proxies"),
        ('[proxies.p]\nkind = "socks5"\naddress = "h"', "proxies.p.address"),
        ('[proxies.p]\nkind = "socks5"\naddress = "h:1"\nlogin = "/nowhere"', "proxies.p.login"),
    ],
)
def test_invalid_tables_are_refused_in_one_line(tmp_path, text, key):
    (tmp_path / "f.toml").write_text(text)
    with pytest.raises(ConfigError) as error:
        load_features(tmp_path / "f.toml", {"m"})
    assert "f.toml" in str(error.value) and key in str(error.value) and "\n" not in str(error.value)


def test_credentials_that_others_may_read_are_refused_and_never_shown(tmp_path):
    (tmp_path / "login").write_text("user:hidden-word\n")
    (tmp_path / "login").chmod(0o644)
    (tmp_path / "f.toml").write_text(
        f'[proxies.p]\nkind = "socks5"\naddress = "h:1"\nlogin = "{tmp_path}/login"\n'
    )
    with pytest.raises(ConfigError, match="chmod 600") as error:
        load_features(tmp_path / "f.toml")
    (tmp_path / "login").chmod(0o600)
    (tmp_path / "login").write_text("hidden-word\n")
    with pytest.raises(ConfigError, match="entry 1") as other:
        load_features(tmp_path / "f.toml")
    assert "hidden" not in str(error.value) + str(other.value)


# --- with a common client library


def certificate(folder):
    """Writes a self-signed certificate and key for raw.internal. Returns the path."""
    from datetime import datetime, timedelta

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec

    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "raw.internal")])
    made = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(datetime(2020, 1, 1))
        .not_valid_after(datetime.now() + timedelta(days=2))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("raw.internal")]), False)
        .sign(key, hashes.SHA256())
    )
    (folder / "cert.pem").write_bytes(
        made.public_bytes(serialization.Encoding.PEM)
        + key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return str(folder / "cert.pem")


def test_httpx_works_through_both_protocols(tmp_path):
    """Plain HTTP in an inspected SOCKS5 tunnel, TLS in an opaque CONNECT tunnel."""
    import ssl

    import httpx

    path = certificate(tmp_path)
    server_side = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server_side.load_cert_chain(path)
    client_side = ssl.create_default_context(cafile=path)

    @on_sockets
    async def scene():
        async with TunnelWorld(echo) as world:
            headers = {"X-Request-ID": "h1", "X-Timeout-Ms": "15000"}
            proxy_url = "socks5://{}:{}".format(*world.socks_address)
            async with httpx.AsyncClient(proxy=proxy_url, trust_env=False) as client:
                for number in range(3):
                    answer = await client.post(
                        "http://claims.internal/m/1",
                        content=b"a%d" % number,
                        headers={**headers, "X-Request-ID": f"h{number}"},
                    )
                    assert (answer.status_code, answer.content) == (200, b"got a%d" % number)
            secure = await asyncio.start_server(world.upstreams[0].serve, "127.0.0.1", 0, ssl=server_side)
            port = secure.sockets[0].getsockname()[1]
            await world.tell({**world.entry(0), "hostPort": f"127.0.0.1:{port}"})
            async with httpx.AsyncClient(
                proxy="http://{}:{}".format(*world.connect_address), verify=client_side, trust_env=False
            ) as client:
                answer = await client.post("https://raw.internal/m/1", content=b"b", headers=headers)
                assert (answer.status_code, answer.content) == (200, b"got b")
            secure.close()

    scene()
