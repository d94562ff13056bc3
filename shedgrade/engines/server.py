"""The HTTP end of one stand-in upstream. Source: PROTOCOL, "Requests", "Answers", "Upstreams"."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from shedgrade.engines.connection import ServerConnection
from shedgrade.engines.engine import Engine
from shedgrade.engines.records import Run
from shedgrade.engines.work import (
    Crashed,
    Done,
    Event,
    Late,
    Rejected,
    Started,
)

LINGER_RESET = struct.pack("ii", 1, 0)
BACKLOG = 1024


@dataclass(slots=True)
class Upstream:
    """What an upstream is and how it behaves; spans in s. `close_chance`: of an answer that ends its
    connection. `troubles`: chances, by name, that an answer is broken off ("cut"), is no answer ("noise"),
    has more behind it ("more"), is followed by itself once more ("surplus"), is a 500 that has run ("error"),
    or a 429 that has not ("busy")."""

    instance: str
    service: str
    zone: str
    address: tuple[str, int]
    key: bytes
    health_path: str = "/health"
    work_s: float = 0.02
    answer_bytes: int = 800
    max_connections: int = 360
    keep_alive_s: int = 10
    close_chance: float = 0.002
    troubles: dict[str, float] = field(default_factory=dict)


class EngineServer:
    """Listens while it is open; `record` is handed each `Run` as it comes, and the run is filled in later.
    `fell()` is called once it has fallen over."""

    def __init__(
        self,
        loop,
        upstream: Upstream,
        engine: Engine,
        random: Random,
        record_run: Callable[[Run], None],
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self.loop, self.upstream, self.engine, self.random = loop, upstream, engine, random
        self.record_run, self.on_crash = record_run, on_crash
        self.connections: dict[ServerConnection, None] = {}
        self.in_flight: dict[int, ServerConnection] = {}
        self.draining = self.is_unresponsive = self.is_unhealthy = False
        self.timer = None
        self.server = None
        self.refused = self.accepted = 0

    async def start(self) -> None:
        """OSError if the address can't be had. Port 0: the kernel's choice, told in `upstream.address`."""
        host, port = self.upstream.address
        self.server = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=BACKLOG
        )
        self.upstream.address = self.server.sockets[0].getsockname()[:2]

    # --- its life

    def drain(self) -> None:
        """It is leaving: it says so in its answers, and goes on."""
        self.draining = True

    def stop_responding(self) -> None:
        """Says nothing any more; connections stay."""
        self.is_unresponsive = True

    def close(self) -> None:
        """Gone, whatever it runs: all connections are reset."""
        if self.server is not None:
            self.server.close()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.is_unresponsive = True
        for connection in list(self.connections):
            connection.set_outcome("cut")
            reset_connection(connection.transport)

    # --- connections

    def connection_limit(self) -> int:
        """Connections that it accepts: fewer while its queue is long."""
        queue_is_long = len(self.engine.waiting) > self.engine.settings.queue // 2
        return self.upstream.max_connections // 2 if queue_is_long else self.upstream.max_connections

    def connection_opened(self, connection: ServerConnection) -> None:
        if len(self.connections) >= self.connection_limit() or self.is_unresponsive:
            self.refused += 1
            reset_connection(connection.transport)
            return
        self.accepted += 1
        self.connections[connection] = None
        self.engine.connected(self.loop.time())

    def connection_closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        number = connection.request_number
        if number and self.in_flight.pop(number, None) is not None:
            connection.set_outcome("left")
            self.engine.cancel(self.loop.time(), number)
            self.process_effects()

    # --- work

    def submit(self, connection: ServerConnection, work) -> None:
        now = self.loop.time()
        number = self.engine.submit(now, work)
        connection.request_number = number
        self.in_flight[number] = connection
        self.process_effects()

    def process_effects(self) -> None:
        """Passes on what the engine tells, and sets the timer."""
        engine = self.engine
        while engine.effects:
            effects, engine.effects = engine.effects, []
            for effect in effects:
                self.handle_effect(effect)
        at = engine.wake_at()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if at != float("inf") and not self.is_unresponsive:
            self.timer = self.loop.call_at(at, self.on_timer)

    def on_timer(self) -> None:
        self.timer = None
        self.engine.advance(self.loop.time())
        self.process_effects()

    def handle_effect(self, effect) -> None:
        if isinstance(effect, Crashed):
            self.close()
            self.on_crash()
            return
        connection = self.in_flight.get(effect.number)
        if connection is None or self.is_unresponsive:
            return
        if isinstance(effect, (Done, Rejected, Late)):
            del self.in_flight[effect.number]
        match effect:
            case Started():
                connection.on_started(self.loop.time())
            case Event(_, id, tokens, version):
                connection.on_event(id, tokens, version)
            case Done():
                connection.on_done()
            case Rejected(_, why):
                connection.reject(503, why)
            case Late():
                connection.on_late()


def reset_connection(transport) -> None:
    handle = transport.get_extra_info("socket")
    if handle is not None and handle.fileno() >= 0:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()
