"""An HTTP/1.1 server for calls with short bodies (control, directory, readiness), used by both planes."""

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from shedgrade.http.listener import Listener
from shedgrade.http.server_connection import HttpConnection
from shedgrade.http.server_messages import Handler, Reply, Request, Respond, failure

__all__ = ["Handler", "HttpServer", "Reply", "Request", "Respond", "failure"]

MAX_CONNECTIONS = 256
CHECK_INTERVAL_S = 2.0  # between two checks of the timeouts


class ExceptionLogger(Protocol):
    """The logger of the server."""

    def exception(self, event: str, /, **fields: object) -> None:
        """Logs the event with the exception that is being handled."""


class HttpServer:
    """Listens on one address.

    `handler` is called once for each complete request, and must respond exactly once, immediately or later. A
    response to a client that has disconnected is ignored.

    Attributes:
        open_session: creates what the handler remembers of a connection, from the earliest time at which that
            can have been opened.
        earliest_arrival: returns the earliest time, in seconds, at which a connection that is accepted at
            once can have been opened.
        connections: the open connections, in the order in which they were accepted.
        accepting: the listener's tasks for connections that are being set up; they count as connections.
        listener: None before `start`.
        is_draining: `stop_accepting` was called: each connection closes with its next response. Never unset.
        timer: timer of the next timeout check; set while there are connections.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        handler: Handler,
        logger: ExceptionLogger,
        max_connections: int = MAX_CONNECTIONS,
        earliest_arrival: Callable[[], float] | None = None,
        open_session: Callable[[float], object] | None = None,
    ) -> None:
        """`earliest_arrival`: that of an `ArrivalClock`; the loop's time if None.

        `open_session(opened_after)`: called for each accepted connection; its requests carry what it returns.
        `opened_after`: a time of `earliest_arrival` before which the client's end was not open, minus
        infinity if that is unknown."""
        self.earliest_arrival = earliest_arrival or loop.time
        self.open_session = open_session
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
        """Starts to listen. Raises OSError if the address is not available."""
        self.listener = Listener(self.loop, self, self.address, HttpConnection)
        self.listener.resume()

    def check_invariants(self) -> None:
        """Raises AssertionError if a connection breaks its invariants, or if no timeouts would be checked."""
        assert self.timer is not None or not self.connections or self.is_draining
        for connection in self.connections:
            connection.check_invariants()

    @property
    def port(self) -> int:
        """The port on which the server listens: chosen by the kernel if the address has port 0."""
        return self.listener.socket.getsockname()[1]

    def session_of_accepted_connection(self) -> object:
        """What the handler remembers of a connection that was just accepted; None if it remembers nothing."""
        if self.open_session is None:
            return None
        has_waited = self.listener is None or self.listener.has_backlog
        return self.open_session(float("-inf") if has_waited else self.earliest_arrival())

    def make_room(self) -> bool:
        """Returns whether one more connection may be accepted.

        Guards against clients that connect and send nothing: at the limit, the connection that is idle for
        longest is closed if another one waits in the kernel.
        """
        if len(self.connections) + len(self.accepting) < self.max_connections:
            return True
        poll = select.poll()
        poll.register(self.listener.socket, select.POLLIN)
        if not poll.poll(0):
            return True  # no connection waits, so accepting finds none
        if self.accepting:
            return False  # these may also be in `connections`, until the loop's next pass
        idle = (connection for connection in self.connections if connection.is_idle())
        oldest = min(idle, key=lambda connection: connection.state_since, default=None)
        if oldest is None:
            return False
        del self.connections[oldest]
        oldest.transport.close()
        return True

    def schedule_check(self) -> None:
        """Starts the timer unless it is running."""
        if self.timer is None:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Checks the timeouts, and restarts the timer if there are connections."""
        self.timer = None
        self.check_timeouts(self.loop.time())
        if self.connections:
            self.schedule_check()

    def check_timeouts(self, now: float) -> None:
        """Ends connections on which something takes too long. `now`: of the loop's clock."""
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones close once their pending requests are answered."""
        self.is_draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()

    def close(self) -> None:
        """Closes the listener and all connections at once."""
        self.stop_accepting()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for connection in list(self.connections):
            connection.cut()
