"""A stand-in for core machines: control addresses on loopback, on an event loop in its own thread."""

import asyncio
import io
import json
import threading
from contextlib import contextmanager
from random import Random

from shedgrade.controlplane.configuration_validation import encode_findings, read_configuration
from shedgrade.controlplane.delta import apply_delta, read_delta
from shedgrade.ctl.__main__ import main
from shedgrade.ctl.client import ControlClient
from shedgrade.findings import Finding
from shedgrade.http.server import HttpServer, Reply, failure

STATUS = {
    "node": "core-a",
    "role": "primary",
    "epoch": 4,
    "primary": "10.1.0.14:7300",
    "finished": [4, 9],
    "members": [
        {"name": "core-a", "address": "10.1.0.14:7300", "role": "primary"},
        {"name": "core-b", "address": "10.2.0.41:7300", "role": "backup"},
    ],
    "configVersion": 7,
    "evacuations": ["north-b"],
    "edges": [
        {
            "name": "edge-1",
            "front": "10.1.0.12:8263",
            "zone": "north-a",
            "region": "north",
            "state": "ready",
            "ageS": 0.41,
            "configVersion": 7,
        }
    ],
    "upstreams": {
        "term": 1,
        "number": 3,
        "ageS": 0.2,
        "byRegion": [
            {"service": "chat", "region": "north", "state": "available", "count": 3},
            {"service": "chat", "region": "north", "state": "evacuated", "count": 1},
            {"service": "chat", "region": "south", "state": "available", "count": 2},
        ],
    },
    "duties": {"upstreams": {"address": "10.1.0.14:7300", "term": 65537}, "other": None},
}


def route(prefix="/a/", **given) -> dict:
    return {
        "name": f"r{prefix}",
        "host": "x.example",
        "pathPrefix": prefix,
        "routeClass": "safe",
        "timeoutMs": 4000,
        "targetMs": 800,
        "priority": 1,
        "service": "chat",
        "maxAttempts": 2,
        **given,
    }


def configuration(version=7, routes=None, services=("chat", "other")) -> dict:
    return {
        "configVersion": version,
        "routeList": [route()] if routes is None else routes,
        "serviceList": [{"name": name, "maxConnections": 360} for name in services],
    }


class FailingLogger:
    """Fails a test whose server logs an exception."""

    def exception(self, event, **fields):
        raise AssertionError(event, fields)


class ControlStandIn:
    """A control plane behind one address.

    Attributes:
        raw: bytes of the configuration in force; None if there is none.
        evacuated: names of the evacuated zones.
        calls: (method, path, If-Match header, body) of each call.
        script: for the next calls, each a Reply, "silent" for no response, or None for the usual response.
    """

    def __init__(self, stored: dict | None = None) -> None:
        self.raw = None if stored is None else json.dumps(stored).encode()
        self.evacuated: set[str] = set()
        self.calls: list[tuple] = []
        self.script: list = []

    def handle(self, request, respond) -> None:
        self.calls.append(
            (request.method.decode(), request.path.decode(), request.headers.get(b"if-match"), request.body)
        )
        scripted = self.script.pop(0) if self.script else None
        if scripted == "silent":
            return
        respond(scripted or self.usual_reply(request))

    def usual_reply(self, request) -> Reply:
        path, method = request.path.decode(), request.method
        if path == "/status":
            return Reply(200, json.dumps(STATUS).encode())
        if path.startswith("/evacuation/"):
            zone = path.rpartition("/")[2]
            if zone not in ("north-a", "north-b"):
                return failure(404, Finding("", f"{zone}: no such zone"))
            (self.evacuated.add if method == b"POST" else self.evacuated.discard)(zone)
            return Reply(200)
        if method == b"GET":
            if self.raw is None:
                return failure(404, Finding("configuration", "none was put yet"))
            return Reply(200, self.raw)
        body = request.body
        if method == b"PATCH":
            body = apply_delta(self.raw, body, read_delta(body).ok).ok
        checked = read_configuration(body)
        if checked.is_error():
            return Reply(400, encode_findings(checked.error))
        current = 0 if self.raw is None else json.loads(self.raw)["configVersion"]
        if body == self.raw:
            return Reply(200)
        if request.headers[b"if-match"] != b"%d" % current:
            return failure(412, Finding("", f"version {current} is in place"))
        self.raw = body
        return Reply(200)


@contextmanager
def serving(*controls: ControlStandIn):
    """Serves the stand-ins; yields their addresses, in order."""
    loop, started, addresses, servers = asyncio.new_event_loop(), threading.Event(), [], []

    async def start() -> None:
        for control in controls:
            server = HttpServer(loop, ("127.0.0.1", 0), control.handle, FailingLogger())
            await server.start()
            servers.append(server)
            addresses.append(f"127.0.0.1:{server.port}")
        started.set()

    def stop() -> None:
        for server in servers:
            server.close()
        loop.call_soon(loop.stop)

    def run_loop() -> None:
        loop.run_until_complete(start())
        loop.run_forever()
        loop.close()

    thread = threading.Thread(target=run_loop)
    thread.start()
    assert started.wait(20)
    try:
        yield addresses
    finally:
        loop.call_soon_threadsafe(stop)
        thread.join(20)


class FakeClock:
    """A clock that advances only in `sleep`."""

    def __init__(self) -> None:
        self.now, self.sleeps = 0.0, []

    def time(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.sleeps.append(seconds)
        self.now += seconds


def new_client(addresses, deadline_s=10.0, clock=None, answer_timeout_s=20.0) -> ControlClient:
    """`answer_timeout_s` is long, so that a slow test machine causes no time-out."""
    clock = clock or FakeClock()
    return ControlClient(
        addresses,
        deadline_s,
        random=Random(1),
        clock=clock.time,
        sleep=clock.sleep,
        answer_timeout_s=answer_timeout_s,
    )


def run(*arguments: str, client=None) -> tuple[int, str]:
    """Runs a command; returns its exit code and what it printed on stdout."""
    out = io.StringIO()
    code = main(list(arguments), out, None if client is None else lambda: client)
    return code, out.getvalue()
