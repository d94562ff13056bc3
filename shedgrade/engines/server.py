"""The HTTP server of one stand-in upstream. Source: PROTOCOL, "Requests", "Answers", "Upstreams"."""

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
    DeadlineExceeded,
    Done,
    Event,
    Rejected,
    Started,
)

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s: closing sends a reset
BACKLOG = 1024


@dataclass(slots=True)
class Upstream:
    """Identity and behaviour of a stand-in upstream.

    Attributes:
        instance: id of the incarnation.
        service: name of the service that it belongs to.
        address: host and port.
        key: key of the seals in its responses.
        work_s: duration of a request that is not streamed, s.
        answer_bytes: body size of a response that is not streamed.
        max_connections: limit of open connections; half of it while the queue is long.
        keep_alive_s: after how long an idle connection is closed, s; 0: never.
        close_chance: probability that a response closes its connection.
        troubles: probability by fault: the response breaks off ("cut"), is not HTTP ("noise"), is followed
            by other bytes ("more"), is sent twice ("surplus"), is a 500 after the request ran ("error"), or
            is a 429 before it ran ("busy").
    """

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
    """Serves one engine over HTTP.

    Attributes:
        record_run: called with the `Run` of each request when it arrives; the record is completed later.
        on_crash: called once the engine has crashed.
        in_flight: connection of each request at the engine, by request number.
        draining: whether responses announce the end of their connection.
        is_unresponsive: whether nothing is received or sent any more.
        is_unhealthy: whether health checks fail.
        timer: calls the engine when it is due.
        refused, accepted: numbers of connections.
    """

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
        """Listens at `upstream.address`; port 0 is replaced by the port that the kernel chose. OSError if the
        address can't be used.
        """
        host, port = self.upstream.address
        self.server = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=BACKLOG
        )
        self.upstream.address = self.server.sockets[0].getsockname()[:2]

    # --- lifecycle

    def drain(self) -> None:
        """Starts to drain: requests are served on, and each response closes its connection."""
        self.draining = True

    def stop_responding(self) -> None:
        """Neither receives nor sends anything any more; connections stay open."""
        self.is_unresponsive = True

    def close(self) -> None:
        """Stops at once, also with requests in flight: all connections are reset."""
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
        """How many connections may be open: half as many while the queue is more than half full."""
        queue_is_long = len(self.engine.waiting) > self.engine.settings.queue // 2
        return self.upstream.max_connections // 2 if queue_is_long else self.upstream.max_connections

    def connection_opened(self, connection: ServerConnection) -> None:
        """A client connected; beyond the limit the connection is reset."""
        if len(self.connections) >= self.connection_limit() or self.is_unresponsive:
            self.refused += 1
            reset_connection(connection.transport)
            return
        self.accepted += 1
        self.connections[connection] = None
        self.engine.connected(self.loop.time())

    def connection_closed(self, connection: ServerConnection) -> None:
        """A connection was closed; its running request is cancelled."""
        self.connections.pop(connection, None)
        number = connection.request_number
        if number and self.in_flight.pop(number, None) is not None:
            connection.set_outcome("left")
            self.engine.cancel(self.loop.time(), number)
            self.process_effects()

    # --- work

    def submit(self, connection: ServerConnection, work) -> None:
        """Submits a request of a connection to the engine."""
        now = self.loop.time()
        number = self.engine.submit(now, work)
        connection.request_number = number
        self.in_flight[number] = connection
        self.process_effects()

    def process_effects(self) -> None:
        """Passes the engine's effects to the connections, and sets the timer for the next ones."""
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
        """Passes an effect to the connection of its request."""
        if isinstance(effect, Crashed):
            self.close()
            self.on_crash()
            return
        connection = self.in_flight.get(effect.number)
        if connection is None or self.is_unresponsive:
            return
        if isinstance(effect, (Done, Rejected, DeadlineExceeded)):
            del self.in_flight[effect.number]
        match effect:
            case Started():
                connection.on_started(self.loop.time())
            case Event(_, id, tokens, version):
                connection.on_event(id, tokens, version)
            case Done():
                connection.on_done()
            case Rejected(_, reason):
                connection.reject(503, reason)
            case DeadlineExceeded():
                connection.on_late()


def reset_connection(transport) -> None:
    """Closes a connection with a TCP reset."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None and connection_socket.fileno() >= 0:
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()
