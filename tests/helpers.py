"""Settings and balancers for the tests, and stand-ins for all peers of the sidecar."""

import asyncio
import json
from contextlib import contextmanager
from functools import wraps

import uvloop
from addresses import free_address
from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.config import Config
from shedgrade.sidecar.lifecycle.sidecar import Sidecar


def method(idempotency="repeatable", group="all", payoff=1.0, soft=500.0, hard=1000.0, window=300.0):
    return {
        "name": "m",
        "idempotency": idempotency,
        "group": group,
        "payoff": payoff,
        "soft_deadline": soft,
        "hard_deadline": hard,
        "overdue_payoff": 0.0,
        "repeat_window": window,
        "stream": False,
    }


def settings(methods=None, zones=1, az=0, limits=None, **more):
    return {
        "az": az,
        "balancers": 1,
        "membership_mode": "pushed",
        "tick": 1.0,
        "my_number": 0,
        "prices": {},
        "customers": [],
        "report": {"fields": [], "via": "off"},
        "methods": methods or [method()],
        "zones": [str(z) for z in range(zones)],
        "limits": {
            "most_transmissions": 4,
            "parallel_tries": False,
            "cancelling": True,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "probes": False,
            "may_tell": False,
            **(limits or {}),
        },
        "rules": {
            "ask_every": 10000.0,
            "cold": 10000.0,
            "cold_from": 0.2,
            "fall_multiple": 3.0,
            "overload_for": 2000.0,
            "stop_sending_within": 300.0,
        },
        **more,
    }


def row(up, zone=0, state=load_balancing.READY, started=0, cell=0, size=1.0, kind=0):
    return up, zone, state, started, cell, up, size, kind


def balancer(conf, upstreams, seed=1):
    """Returns a balancer. `upstreams`: pairs of index and zone, all ready and warmed up."""
    b = load_balancing.Balancer(conf, seed, 0)
    b.list_changed(0, [row(up, zone) for up, zone in upstreams], True, True)
    b.latency_sums = [100.0, 150.0, 1000.0, 250.0, 1500.0]  # 1 ms at any concurrency
    b.fit_latency()
    b.finish_rate.numerator, b.finish_rate.denominator = 100.0, 4 * load_balancing.SECOND  # 100 in 4 s
    return b


# --- Stand-ins on loopback for the peers of a sidecar that runs on sockets.


async def read_message(reader):
    """Reads one HTTP message; returns its head as lines, the start line first, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
    length = next((int(line.split(":")[1]) for line in head if line.lower().startswith("content-length")), 0)
    return head, await reader.readexactly(length)


def read_all(stream):
    """Splits bytes into messages, in the form of `read_message`. Fails if the last message is incomplete."""
    found = []
    while stream:
        head, stream = stream.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        length = next(int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length"))
        found.append((lines, stream[:length]))
        assert len(stream) >= length
        stream = stream[length:]
    return found


def message(status=200, body=b"", *headers):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


SILENT, CUT = object(), object()
PATIENT = method("once", soft=2e4, hard=2e4)  # 20 s: no test depends on the speed of the machine


class Server:
    """A stand-in for an HTTP server.

    `script(head, body)`, which may be a coroutine function, returns the bytes of the response, SILENT for
    none, or CUT to close the connection.
    """

    def __init__(self, script):
        self.script, self.seen, self.writers, self.connections = script, [], set(), 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                self.seen.append((head, body))
                answer = self.script(head, body)
                answer = await answer if asyncio.iscoroutine(answer) else answer
                if answer is CUT:
                    break
                if answer is not SILENT:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        except RuntimeError:  # raised by uvloop if reading resumes on a transport that was closed meanwhile
            if not writer.transport.is_closing():
                raise
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class World:
    """A sidecar in this process, a stand-in upstream for each script, and a stand-in for discovery."""

    def __init__(self, *scripts, methods=None, known=True, sockets=1024, **limits):
        self.conf = settings(
            methods or [PATIENT], limits={"dial_timeout": 2e4, "idle_close": 15000.0, **limits}, shapes=["k"]
        )
        self.scripts, self.has_known_list, self.sockets = scripts, known, sockets
        self.changes, self.version, self.watches, self.wait_expired = asyncio.Queue(), 1, 0, False

    def entry(self, number, lifecycle="in_service", **more):
        return {
            "instanceId": f"s-{number}",
            "hostPort": self.upstreams[number].address,
            "zone": "0",
            "machineType": "k",
            "cell": 0,
            "lifecycle": lifecycle,
            "startedAtMs": 0,
            **more,
        }

    def list(self, *entries, reset=False):
        return {"generation": self.version, "reset": reset, "instances": list(entries)}

    async def tell(self, *entries, reset=False):
        """Discovery sends a change; returns once the sidecar has applied it and watches again."""
        self.version += 1
        await self.tell_raw(json.dumps(self.list(*entries, reset=reset)).encode())

    async def tell_raw(self, body):
        before = self.watches
        self.changes.put_nowait(body)
        await until(lambda: self.watches > before)

    async def discover(self, head, body):
        """Responds to a discovery call: with all endpoints, or with the next change if the call waits for it.

        When the wait is over, it responds with no change, as any agent does; the call that follows this
        response is not counted in `watches`.
        """
        self.watches += not self.wait_expired
        self.wait_expired = False
        if "after=" not in head[0]:
            entries = [self.entry(number) for number in range(len(self.upstreams))]
            return message(200, json.dumps(self.list(*entries, reset=True)).encode())
        try:
            async with asyncio.timeout(int(head[0].split("wait_ms=")[1].split()[0]) / 1000):
                return message(200, await self.changes.get())
        except TimeoutError:
            self.wait_expired = True
            return message(200, json.dumps(self.list()).encode())

    async def __aenter__(self):
        self.upstreams = [await Server(script).start() for script in self.scripts]
        self.discovery = await Server(self.discover).start()
        known = self.list(*(self.entry(number) for number in range(len(self.scripts))), reset=True)
        host, port = self.discovery.address.split(":")
        self.config = Config(
            "n",
            free_address(),
            (host, int(port)),
            1,
            192,
            self.sockets,
            known if self.has_known_list else None,
            self.conf,
        )
        self.sidecar = Sidecar(self.config, asyncio.get_running_loop())
        self.prepare()
        self.serving = asyncio.create_task(self.sidecar.serve())
        await until(lambda: self.watches and self.sidecar.pool.has_list)
        return self

    def prepare(self):
        """Changes the sidecar before it serves; subclasses override it."""

    async def __aexit__(self, *_):
        self.sidecar.check_invariants()
        self.sidecar.shutdown.done.set()
        if not self.serving.done():
            await self.serving
        self.sidecar.listener.close()
        for server in (*self.upstreams, self.discovery):
            server.stop()

    async def connect(self):
        return await asyncio.open_connection(*self.config.listen)

    def sent(self):
        return sum(len(upstream.seen) for upstream in self.upstreams)


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


def request(body=b"", target="/m/7?x=1", wait=15000, name="a1", *headers):
    lines = [
        f"POST {target} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-ID: {name}",
        f"X-Timeout-Ms: {wait}",
        *headers,
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


async def ask(world, raw=None, connection=None):
    """Sends a request; returns status, head and body of the response. Opens a connection if none is given."""
    reader, writer = connection or await world.connect()
    writer.write(request() if raw is None else raw)
    async with asyncio.timeout(20):
        head, body = await read_message(reader)
    if connection is None:
        writer.close()
    return int(head[0].split()[1]), head, body


@contextmanager
def no_faults():
    """Fails if an error is logged meanwhile, even if the program has recovered from it."""
    errors = []
    sink = logger.add(errors.append, level="ERROR", format="{message} {extra}")
    try:
        yield errors
    finally:
        logger.remove(sink)
    assert not errors, errors


@contextmanager
def outcomes():
    """Records the outcome of each finished attempt that is reported to the balancer, in order."""
    recorded, original = [], load_balancing.Rpc.attempt_finished
    load_balancing.Rpc.attempt_finished = lambda rpc, now, tx, outcome, *more: (
        recorded.append(outcome),
        original(rpc, now, tx, outcome, *more),
    )[1]
    try:
        yield recorded
    finally:
        load_balancing.Rpc.attempt_finished = original


def on_sockets(scenario):
    """Makes a test of a coroutine function: runs it on uvloop, as the sidecar does, for at most 60 s.

    The test fails if an error is logged.
    """

    async def limited():
        async with asyncio.timeout(60):
            await scenario()

    @wraps(scenario)
    def test():
        with no_faults():
            uvloop.run(limited())

    return test
