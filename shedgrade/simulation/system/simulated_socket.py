"""The replacement for `socket.socket` in a simulated process."""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from shedgrade.simulation.system.host import Address, Host
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.simulation.system.stream_transport import StreamTransport
from shedgrade.simulation.system.tcp_endpoint import Endpoint


class SocketNetwork(Protocol):
    """The network, as a socket uses it."""

    def next_port(self) -> int:
        """A free local port."""

    def start_listening(self, handle: SimulatedSocket) -> None:
        """Directs connections to the socket's address to this socket."""

    def forget(self, handle: SimulatedSocket) -> None:
        """Removes a socket that is closed, or whose machine lost power."""


class SimulatedSocket:
    """A socket: listening, connected, or bound for datagrams.

    Attributes:
        descriptor: its file descriptor while it is open.
        address, peer_address: None until they are known.
        backlog: connections accepted by the kernel and not by the process; only of a listening socket.
        on_backlog: called when the backlog grows.
        endpoint: the socket's side of a connection; None if it has none.
        user_timeout: TCP_USER_TIMEOUT, s; 0: none.
        keepalive: SO_KEEPALIVE.
    """

    def __init__(self, network: SocketNetwork, loop: ProcessLoop, descriptor: int) -> None:
        self.network = network
        self.loop = loop
        self.descriptor = descriptor
        self.open = True
        self.address: Address | None = None
        self.peer_address: Address | None = None
        self.backlog: deque[SimulatedSocket] = deque()
        self.on_backlog: Callable[[], None] | None = None
        self.endpoint: Endpoint | None = None
        self.user_timeout = 0.0
        self.keepalive = False

    @property
    def host(self) -> Host:
        """The machine of the socket's process."""
        return self.loop.host

    def setblocking(self, flag: bool) -> None:
        """Does nothing: simulated sockets never block."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Sets an option that the simulation supports; ignores all others."""
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self.user_timeout = value / 1000
        elif level == socket.SOL_SOCKET and option == socket.SO_KEEPALIVE:
            self.keepalive = bool(value)

    def bind(self, address: Address) -> None:
        """Binds the socket to a local address; port 0 selects a free port."""
        self.address = address[0], address[1] or self.network.next_port()

    def listen(self, backlog: int = 0) -> None:
        """Starts to accept connections."""
        self.network.start_listening(self)

    def add_to_backlog(self, handle: SimulatedSocket) -> None:
        """Adds a connection, which the process accepts when it runs."""
        self.backlog.append(handle)
        if self.on_backlog is not None:
            self.loop.io_soon(self.notify_reader)

    def notify_reader(self) -> None:
        """Calls the process's reader if connections still wait to be accepted."""
        if self.open and self.backlog and self.on_backlog is not None:
            self.on_backlog()

    def accept(self) -> tuple[SimulatedSocket, Address]:
        """Takes the next connection and its peer's address. BlockingIOError if there is none."""
        if not self.backlog:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        handle = self.backlog.popleft()
        assert handle.peer_address is not None, "an accepted connection has no peer address"
        return handle, handle.peer_address

    def attach(self, protocol: Any) -> tuple[StreamTransport, Any]:
        """Makes the transport of a connected socket, and returns it with its protocol."""
        endpoint = self.endpoint
        assert endpoint is not None, "not connected"
        transport = StreamTransport(self, endpoint, protocol)
        endpoint.transport = transport
        protocol.connection_made(transport)
        if endpoint.incoming.unread:
            endpoint.notify()
        return transport, protocol

    def other_side_ended(self) -> bool:
        """Whether a FIN, a reset or a failure has arrived, read by the process or not."""
        endpoint = self.endpoint
        return endpoint is not None and (not endpoint.open or endpoint.incoming.end_arrived)

    def fileno(self) -> int:
        """The file descriptor; -1 once the socket is closed."""
        return self.descriptor if self.open else -1

    def getsockname(self) -> Address | None:
        """The local address."""
        return self.address

    def shutdown(self, how: int) -> None:
        """Does nothing. OSError if the socket is not connected."""
        if self.endpoint is None or not self.endpoint.open:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

    def close(self) -> None:
        """Closes the socket, and the connections that the process has not accepted."""
        if not self.open:
            return
        self.network.forget(self)
        self.open = False
        if self in self.loop.sockets:
            self.loop.sockets.remove(self)
        for waiting in self.backlog:
            waiting.close()
        if self.endpoint is not None:
            self.endpoint.close()

    def lose_power(self) -> None:
        """Drops the socket without a packet to the other side, as the machine loses power."""
        self.network.forget(self)
        self.open = False
        if self.endpoint is not None:
            self.endpoint.lose_power()
