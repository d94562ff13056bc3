"""The client side of a sidecar on loopback, without a control plane, with scripted stand-in upstreams."""

import asyncio
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

from shedgrade.buffers.budget import Budget
from shedgrade.configuration import Configuration, Limits, Route, Service, Split
from shedgrade.control_messages import Endpoint, EndpointUpdate
from shedgrade.dataplane.front import IngressFront
from shedgrade.dataplane.ingress import IngressConnection
from shedgrade.dataplane.service import ServicePool
from shedgrade.dataplane.state import State
from shedgrade.http.listener import Listener
from shedgrade.runtime.clock import Clock
from shedgrade.served_routes import Routes

BOUNDS = {
    "retryBudgetRatio": 0.2,
    "retrySlack": 50.0,
    "retryWindowS": 10.0,
    "coldExcess": 1.5,
    "coldSlack": 5,
}
SETTINGS = SimpleNamespace(
    zones={"z1": "east", "z2": "west"},
    region="east",
    bounds=BOUNDS,
    cloud_api=SimpleNamespace(max_lag_ms=800),
)


def events(*numbers):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in numbers)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST = b"0\r\n\r\n"


def head(request, status=200, seal=b"seal", **more):
    lines = [b"HTTP/1.1 %d Whatever" % status, b"Attempt-Id: " + request["attempt-id"].encode()]
    if seal:
        lines.append(b"Server-Seal: " + seal)
    lines += [f"{name.replace('_', '-')}: {value}".encode() for name, value in more.items()]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def streaming(request, seal=b"seal"):
    return head(request, seal=seal, Content_Type="text/event-stream", Transfer_Encoding="chunked")


def whole(request, body, status=200, seal=b"seal", **more):
    return head(request, status, seal, Content_Length=len(body), **more) + body


class Upstream:
    """A stand-in upstream: `script(request, writer)` answers each request; `requests` records them."""

    def __init__(self, name, script):
        self.name, self.script, self.requests, self.connections = name, script, [], 0
        self.writers = set()
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self):
        """Ends all connections: none is left to the garbage collector, which runs within other tests."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                text = await reader.readuntil(b"\r\n\r\n")
                first, *lines = text.decode().strip().split("\r\n")
                request = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
                request["first"], request["body"] = (
                    first,
                    await reader.readexactly(int(request.get("content-length", 0))),
                )
                self.requests.append(request)
                if await self.script(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.transport.abort()


class ManualClock:
    """A clock in tenths of a ms that moves only by `advance`; its timers never fire by themselves."""

    def __init__(self, loop):
        self.loop, self.at = loop, 10_000

    def now(self):
        return self.at

    def to_monotonic(self, at):
        return self.loop.time() + 3600

    def advance(self, milliseconds, *pools):
        """Advances the clock, and runs what was due by then in the services of these pools."""
        self.at += int(milliseconds * 10)
        for pool in pools:
            pool.dispatcher.enqueue_event(lambda now: None)
            pool.dispatcher.run()


class Plane:
    """Replaces the `DataPlane` that the front uses."""

    def __init__(self, loop, clock=None):
        self.loop, self.clock = loop, clock or Clock()
        self.budget = Budget(4000, 300)
        self.state = State(
            SETTINGS,
            loop.time,
            lambda name, retry_budget: ServicePool(
                name, self.state.regions, "east", 7, loop, self.clock, self.budget, retry_budget, "edge-1"
            ),
        )
        self.front = IngressFront(loop, self, self.budget, Random(7))
        self.is_draining = self.rejects_requests = False
        self.opened_clients = []

    routes = property(lambda self: self.state.routes)
    services = property(lambda self: self.state.services)

    def ready(self):
        return self.state.ready()

    def draining(self):
        return self.is_draining

    def accepts(self, longest_s):
        return not self.rejects_requests

    def retry_after_s(self):
        return 0.0


def route(**more):
    defaults = {
        "host": "rota.example",
        "path_prefix": "/a/",
        "name": "r",
        "route_class": "streaming",
        "timeout_ms": 4000,
        "target_ms": 800,
        "priority": 1,
        "service": "lm",
        "max_attempts": 2,
        "session_affinity": True,
    }
    return Route(**{**defaults, **more})


def configuration(*routes, services=("lm",), limits=None):
    return Configuration(7, list(routes), [Service(name) for name in services], limits or Limits())


def split(**weights):
    return [Split(name, weight) for name, weight in weights.items()]


@asynccontextmanager
async def sidecar(configured_routes, *upstreams, zones=None, manual_clock=False):
    """Runs a sidecar with `upstreams` of service `lm`, in zone z1 unless `zones` names another by upstream.

    `manual`: its clock is a `ManualClock`.
    """
    loop = asyncio.get_running_loop()
    plane = Plane(loop, ManualClock(loop) if manual_clock else None)
    for upstream in upstreams:
        await upstream.start()
    plane.state.apply_configuration(Routes(configured_routes, plane.state.regions))
    plane.state.apply_endpoint_list(
        EndpointUpdate(
            1,
            1,
            0.0,
            changed=tuple(
                Endpoint(
                    upstream.name,
                    getattr(upstream, "service", "lm"),
                    upstream.address,
                    (zones or {}).get(upstream.name, "z1"),
                    "available",
                )
                for upstream in upstreams
            ),
        )
    )
    listener = Listener(loop, plane.front, ("127.0.0.1", 0), IngressConnection)
    plane.address = listener.socket.getsockname()
    listener.resume()
    try:
        yield plane
    finally:
        listener.close()
        for connection in list(plane.front.clients):
            connection.cut()
        for client in plane.opened_clients:
            client.writer.transport.abort()
        for upstream in upstreams:
            upstream.close()
        await asyncio.sleep(0)


def request(path="/a/1", name="id-1", host="rota.example", wait=4000, body=b"prompt", **more):
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    if name:
        lines.append(f"Attempt-Id: {name}")
    if wait is not None:
        lines.append(f"Time-Remaining: {wait}")
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in more.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One client connection to the sidecar."""

    async def open(self, plane):
        self.reader, self.writer = await asyncio.open_connection(*plane.address)
        if isinstance(plane, Plane):
            plane.opened_clients.append(self)
        return self

    def send(self, data):
        self.writer.write(data)

    async def head(self):
        text = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        first, *lines = text.decode().strip().split("\r\n")
        self.headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        self.status = int(first.split()[1])
        return self.status

    async def chunk(self):
        size = int(await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5), 16)
        data = await asyncio.wait_for(self.reader.readexactly(size + 2), 5)
        return data[:-2]

    async def body(self):
        """The body after the head was read. IncompleteReadError or ConnectionError if it is cut off."""
        if "content-length" in self.headers:
            return await asyncio.wait_for(self.reader.readexactly(int(self.headers["content-length"])), 5)
        data = b""
        while piece := await self.chunk():
            data += piece
        return data
