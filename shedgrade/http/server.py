"""A small HTTP/1.1 server for calls with short bodies: control, directory, readiness. Both planes use it."""

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from shedgrade.http.listener import Listener
from shedgrade.http.server_connection import HttpConnection
from shedgrade.http.server_messages import Handler, Reply, Request, Respond, failure

__all__ = ["Handler", "HttpServer", "Reply", "Request", "Respond", "failure"]

MAX_CONNECTIONS = 256
CHECK_INTERVAL_S = 2.0  # between two checks of the time-outs


class ExceptionLogger(Protocol):
    """What the server logs to."""

    def exception(self, event: str, /, **fields: object) -> None:
        """Logs the event with the exception that is being handled."""


class HttpServer:
    """Listens on one address. `handler` is called once for each complete request, and is to respond exactly
    once, now or later; a response to a client that has left does nothing.

    Attributes:
        earliest: when what is read now can have come at the earliest, a clock in seconds.
        connections: those that are open, in the order in which they came.
        accepting: the listener's tasks for connections that are being taken up; they count as connections.
        listener: None before `start`.
        is_draining: set for good by `stop_accepting`: each connection ends with its next answer.
        timer: of the next check of the time-outs; set while there are connections.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        handler: Handler,
        logger: ExceptionLogger,
        max_connections: int = MAX_CONNECTIONS,
        earliest: Callable[[], float] | None = None,
    ) -> None:
        """`earliest`: of an `ArrivalClock`; the loop's time if None."""
        self.earliest = earliest or loop.time
        self.loop = loop
        self.address = address
        self.handler = handler
        self.logger = logger
        self.max_connections = max_connections
        self.connections: dict[HttpConnection, None] = {}
        self.accepting: set[asyncio.Task[Any]] = set()
        self.listener: Listener | None = None
        self.is_draining = False
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listens. OSError if the address can't be had."""
        self.listener = Listener(self.loop, self, self.address, HttpConnection)
        self.listener.resume()

    def check_invariants(self) -> None:
        """AssertionError if a connection breaks its invariants, or none of their time-outs would be
        checked.
        """
        assert self.timer is not None or not self.connections or self.is_draining
        for connection in self.connections:
            connection.check_invariants()

    @property
    def port(self) -> int:
        """On which it listens: the kernel's choice, where the address has 0."""
        return self.listener.socket.getsockname()[1]

    def make_room(self) -> bool:
        """Whether one more connection may be accepted.

        Guards against callers that connect and ask nothing: the one idle for longest is closed for one that
        waits in the kernel.
        """
        if len(self.connections) + len(self.accepting) < self.max_connections:
            return True
        poll = select.poll()
        poll.register(self.listener.socket, select.POLLIN)
        if not poll.poll(0):
            return True  # nobody needs the room: accepting will find that out too
        if self.accepting:
            return False  # these may be counted twice, until the loop's next pass
        idle = (connection for connection in self.connections if connection.is_idle())
        oldest = min(idle, key=lambda connection: connection.state_since, default=None)
        if oldest is None:
            return False
        del self.connections[oldest]
        oldest.transport.close()
        return True

    def schedule_check(self) -> None:
        """Sets the timer unless it is set."""
        if self.timer is None:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Checks the time-outs; again later if there are connections."""
        self.timer = None
        self.check_timeouts(self.loop.time())
        if self.connections:
            self.schedule_check()

    def check_timeouts(self, now: float) -> None:
        """Ends the connections on which something takes too long. `now`: of the loop's clock."""
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def stop_accepting(self) -> None:
        """New connections are refused; what has been asked is answered, and each connection ends then."""
        self.is_draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()

    def close(self) -> None:
        """Everything ends at once."""
        self.stop_accepting()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for connection in list(self.connections):
            connection.cut()
