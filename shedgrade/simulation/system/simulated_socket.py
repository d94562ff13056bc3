"""What stands for `socket.socket` in a simulated process."""

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
        """Connections to the address of a socket go to it."""

    def forget(self, handle: SimulatedSocket) -> None:
        """A socket is closed."""


class SimulatedSocket:
    """A socket: listening, connected, or bound for datagrams.

    Attributes:
        descriptor: its number while it is open.
        address, peer_address: None until they are known.
        backlog: accepted by the kernel, and not by the process; only of a listening socket.
        on_backlog: called when the backlog grows.
        endpoint: its side of a connection, None if it has none.
        user_timeout: TCP_USER_TIMEOUT in seconds, 0 for none.
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
        """The machine of its process."""
        return self.loop.host

    def setblocking(self, flag: bool) -> None:
        """They never block."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Takes the options that the simulation knows; others do nothing."""
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self.user_timeout = value / 1000
        elif level == socket.SOL_SOCKET and option == socket.SO_KEEPALIVE:
            self.keepalive = bool(value)

    def bind(self, address: Address) -> None:
        """Takes a local address; port 0 is any free one."""
        self.address = address[0], address[1] or self.network.next_port()

    def listen(self, backlog: int = 0) -> None:
        """Accepts connections from now on."""
        self.network.start_listening(self)

    def add_to_backlog(self, handle: SimulatedSocket) -> None:
        """A connection has come; the process accepts it when it runs."""
        self.backlog.append(handle)
        if self.on_backlog is not None:
            self.loop.io_soon(self.take_backlog)

    def take_backlog(self) -> None:
        """Calls the process's reader, if there are still connections."""
        if self.open and self.backlog and self.on_backlog is not None:
            self.on_backlog()

    def accept(self) -> tuple[SimulatedSocket, Address]:
        """The next connection and its peer's address. BlockingIOError if there is none."""
        if not self.backlog:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        handle = self.backlog.popleft()
        assert handle.peer_address is not None, "a connection without a peer"
        return handle, handle.peer_address

    def attach(self, protocol: Any) -> tuple[StreamTransport, Any]:
        """Makes the transport of a connected socket."""
        endpoint = self.endpoint
        assert endpoint is not None, "not connected"
        transport = StreamTransport(self, endpoint, protocol)
        endpoint.transport = transport
        protocol.connection_made(transport)
        if endpoint.incoming.unread:
            endpoint.notify()
        return transport, protocol

    def other_side_ended(self) -> bool:
        """A FIN, a reset or a failure has come, whether its process has read it or not."""
        endpoint = self.endpoint
        return endpoint is not None and (not endpoint.open or endpoint.incoming.end_arrived)

    def fileno(self) -> int:
        """Its descriptor; -1 once it is closed."""
        return self.descriptor if self.open else -1

    def getsockname(self) -> Address | None:
        """Its local address."""
        return self.address

    def shutdown(self, how: int) -> None:
        """Does nothing. OSError if it isn't connected."""
        if self.endpoint is None or not self.endpoint.open:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

    def close(self) -> None:
        """Closes it, and connections that the process has not accepted."""
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
        """The machine forgets it without a word."""
        self.network.forget(self)
        self.open = False
        if self.endpoint is not None:
            self.endpoint.lose_power()
