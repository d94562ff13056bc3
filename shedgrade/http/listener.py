"""Accepts client connections, limited by the connection budget."""

import select
import socket

from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.runtime.log import logger

BACKLOG = 1024  # connections that the kernel queues while the loop is busy
# Limits the connections accepted in one pass of the loop, so that open connections get their turn.
MAX_ACCEPTS_PER_PASS = 32
LOG_INTERVAL_S = 10.0  # between two log lines about the same problem
PAUSE_S = 0.005  # after which there may be room again: closed connections are gone by then


class Listener:
    """Accepts connections while there is room for them; the rest wait in the kernel's queue.

    Attributes:
        has_backlog: accepting was paused, so a connection that is accepted now may have waited for any time.
        is_drained: no connection was left in the queue when accepting ended last.
    """

    def __init__(
        self,
        loop,
        front,
        address: tuple[str, int],
        connection=RpcConnection,
        shared: bool = False,
        given: socket.socket | None = None,
    ) -> None:
        """Listens on `address`. Raises OSError if that fails.

        `connection`: the class of accepted connections; `shared`: during an upgrade, the other process may
        listen there too; `given`: the listening socket of that process, which both then use.
        """
        self.loop, self.front, self.connection = loop, front, connection
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = given or socket.create_server(
            address, family=family, backlog=BACKLOG, reuse_port=shared
        )
        self.socket.setblocking(False)
        self.tasks = front.accepting
        self.accepting = self.handed_over = False
        self.has_backlog = False
        self.is_drained = True
        self.last_logged_at = -LOG_INTERVAL_S

    def hand_over(self, other: bool) -> None:
        """Stops accepting as another process accepts from the same socket; starts again if not `other`."""
        self.handed_over = other
        (self.pause if other else self.resume)()

    def resume(self) -> None:
        """Starts to accept connections."""
        if not self.accepting and not self.handed_over and self.socket.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def pause(self) -> None:
        """Stops accepting connections until `resume`; the kernel queues them."""
        if self.accepting:
            self.accepting = self.is_drained = False
            self.loop.remove_reader(self.socket)

    def waiting(self) -> bool:
        """Whether a connection waits to be accepted, or is being set up."""
        if self.tasks or self.handed_over:
            return bool(self.tasks)
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def accept(self) -> None:
        """Accepts the waiting connections, as far as there is room."""
        self.has_backlog = not self.is_drained
        for _ in range(MAX_ACCEPTS_PER_PASS):
            # Guards against a burst: with no descriptors left, queued connections would be lost.
            if not self.front.make_room():
                self.pause()
                self.loop.call_later(PAUSE_S, self.resume)
                return
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                self.is_drained = True
                return
            except ConnectionAbortedError:
                return
            except OSError as failure:
                # Guards against a busy loop: the connections stay in the queue, so accepting waits.
                if self.loop.time() >= self.last_logged_at + LOG_INTERVAL_S:
                    self.last_logged_at = self.loop.time()
                    logger.warning("accepting failed", error=failure.strerror)
                self.pause()
                self.loop.call_later(PAUSE_S, self.resume)
                return
            task = self.loop.create_task(self.take(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def take(self, connection: socket.socket) -> None:
        """Hands an accepted connection to the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: self.connection(self.front), connection)
        except (OSError, RuntimeError):  # it was closed before it was set up
            connection.close()

    def close(self) -> None:
        """Stops listening."""
        self.pause()
        self.socket.close()
