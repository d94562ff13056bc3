"""Accepting of clients' connections, bounded by the room that there is."""

import select
import socket

from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.runtime.log import logger

BACKLOG = 1024  # connections that the kernel holds while the loop is busy
AT_ONCE = 32  # connections accepted in one pass of the loop: what is open gets its turn too
LOG_INTERVAL = 10.0  # s between two log lines about the same trouble
PAUSE = 0.005  # s until there may be room again: what was closed is gone by then


class Listener:
    """Accepts the application's connections, as many as there is room for; the rest wait in the kernel."""

    def __init__(
        self,
        loop,
        front,
        address: tuple[str, int],
        connection=RpcConnection,
        shared: bool = False,
        given: socket.socket | None = None,
    ) -> None:
        """`connection`: the class of what is accepted for this front; `shared`: an upgrade's other process
        may listen there too; `given`: its listening socket, which is then used by both."""
        self.loop, self.front, self.connection = loop, front, connection
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = given or socket.create_server(
            address, family=family, backlog=BACKLOG, reuse_port=shared
        )
        self.socket.setblocking(False)
        self.tasks = front.accepting
        self.accepting = self.handed_over = False
        self.told = -LOG_INTERVAL

    def hand_over(self, other: bool) -> None:
        """Another process accepts from the same socket, whatever waits there included; or no more."""
        self.handed_over = other
        (self.pause if other else self.resume)()

    def resume(self) -> None:
        """Accepts connections from now on."""
        if not self.accepting and not self.handed_over and self.socket.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def pause(self) -> None:
        """Accepts no connections until `resume`; the kernel holds those that come."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket)

    def waiting(self) -> bool:
        """A connection waits to be accepted, or is being taken up."""
        if self.tasks or self.handed_over:
            return bool(self.tasks)
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def accept(self) -> None:
        """Accepts what waits, as far as there is room."""
        for _ in range(AT_ONCE):
            # Guards against a crowd: out of descriptors, the kernel's queue would be thrown away.
            if not self.front.make_room():
                self.pause()
                self.loop.call_later(PAUSE, self.resume)
                return
            try:
                connection, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failure:
                # Guards against a loop that spins: what waits stays there, so it is asked again in a while.
                if self.loop.time() >= self.told + LOG_INTERVAL:
                    self.told = self.loop.time()
                    logger.warning("accepting failed", error=failure.strerror)
                self.pause()
                self.loop.call_later(PAUSE, self.resume)
                return
            task = self.loop.create_task(self.take(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def take(self, connection: socket.socket) -> None:
        """Hands an accepted connection to the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: self.connection(self.front), connection)
        except (OSError, RuntimeError):  # it was gone before it was taken up
            connection.close()

    def close(self) -> None:
        """Stops listening."""
        self.pause()
        self.socket.close()
