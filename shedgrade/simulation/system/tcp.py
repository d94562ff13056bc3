"""TCP connections of the simulated network, as their two kernels and processes see them."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import deque
from random import Random

from shedgrade.simulation.system.segment import FIN, RESET
from shedgrade.simulation.system.stream import Stream
from shedgrade.simulation.system.transport import StreamTransport

KEEPALIVE_S = 3.0  # s without contact after which probes have found a connection dead


class Endpoint:
    """One side of a connection in its machine's kernel, and its process's transport once there is one."""

    def __init__(self, connection: Connection, host) -> None:
        self.connection, self.host = connection, host
        self.transport: StreamTransport | None = None
        self.handle: SimulatedSocket | None = None
        self.open = True  # its process has not closed it
        self.dead_silent = False  # its machine lost power: the kernel knows nothing of it any more
        self.notified = False
        self.contact_at = connection.network.time.now
        self.out: Stream
        self.incoming: Stream

    @property
    def waits_for_room(self) -> bool:
        return self.transport is not None and self.transport.waits_for_room

    def drained(self) -> None:
        if self.transport is not None and self.transport.waits_for_room:
            self.transport.drained()

    def received(self, stream: Stream, data) -> None:
        if not self.open or self.dead_silent:
            if type(data) is bytes:  # nobody here knows this connection
                self.connection.reset(self)
            return
        stream.unread.append(data)
        if type(data) is bytes:
            stream.unread_bytes += len(data)
        else:
            stream.end_came = True
        if data is RESET:
            self.out.drop()
        self.notify()

    def notify(self) -> None:
        """Tells the process that there is something to read."""
        if self.transport is not None and not self.notified and not self.transport.loop_ended():
            self.notified = True
            self.transport.loop.io_soon(self.readable)

    def readable(self) -> None:
        self.notified = False
        if self.transport is not None:
            self.transport.read_all()

    def fail(self, number: int) -> None:
        """The kernel gives the connection up."""
        if not self.open:
            return
        self.out.drop()
        self.out.ended = True
        self.incoming.unread.append(OSError(number, os.strerror(number)))
        self.incoming.end_came = True
        self.notify()

    def close(self) -> None:
        """The process lets go of it: FIN after what the kernel holds, RST if bytes lie unread."""
        if not self.open:
            return
        self.open = False
        if self.incoming.unread_bytes:
            self.out.drop()
            self.out.put(RESET)
        else:
            self.out.put(FIN)
        self.incoming.unread.clear()
        self.incoming.unread_bytes = 0
        if self.incoming.queue:
            self.incoming.push()  # there is room for what is answered by a reset
        self.connection.look_over()

    def lose_power(self) -> None:
        self.open, self.dead_silent = False, True
        self.out.drop()
        self.out.ended = True
        self.connection.look_over()


class Connection:
    """Both sides and both directions. `connecting`: the socket that dialled `address`."""

    def __init__(self, network, connecting: SimulatedSocket, address: tuple[str, int]) -> None:
        self.network = network
        self.random = Random(network.random.getrandbits(48))
        self.address = address
        self.handle = connecting
        self.accepted = self.over = False
        self.near = Endpoint(self, connecting.loop.host)
        self.far = Endpoint(self, network.hosts.get(address[0]))
        self.near.out = self.far.incoming = Stream(self, self.near, self.far)
        self.far.out = self.near.incoming = Stream(self, self.far, self.near)
        self.near.handle, connecting.endpoint = connecting, self.near

    def accept(self, listener: SimulatedSocket) -> None:
        """The opening packet reached a listening socket."""
        self.accepted = True
        self.network.connections[self] = None
        self.near.contact_at = self.far.contact_at = self.network.time.now
        handle = self.network.socket(listener.loop)
        handle.address, handle.peer_address = listener.address, self.handle.address
        handle.endpoint, self.far.handle = self.far, handle
        listener.backlog.append(handle)
        if listener.on_backlog is not None:
            listener.loop.io_soon(listener.take_backlog)

    def established(self) -> None:
        self.handle.peer_address = self.address

    def path_joined(self, sender: str, receiver: str) -> None:
        for endpoint in (self.near, self.far):
            if (endpoint.host.ip, endpoint.incoming.sender.host.ip) == (sender, receiver):
                endpoint.out.joined()
                endpoint.incoming.way_back_joined()

    def reset(self, by: Endpoint) -> None:
        """`by` answers with RST what it doesn't know."""
        other = self.far if by is self.near else self.near
        network = self.network
        if not network.blocked(by.host, other.host):
            network.time.after(network.delay(by.host, other.host, self.random), self.reset_arrives, other)

    def reset_arrives(self, at: Endpoint) -> None:
        if at.open and at.host.powered:
            at.out.ended = True
            at.out.drop()
            at.incoming.unread.append(RESET)
            at.incoming.end_came = True
            at.notify()

    def look_after(self, now: float) -> None:
        """Ends a side whose bytes stay unacknowledged, or that keep-alive probes find dead."""
        if self.over or self.look_over():
            return
        network, near, far = self.network, self.near, self.far
        reachable = not (network.blocked(near.host, far.host) or network.blocked(far.host, near.host))
        for endpoint, other in ((near, far), (far, near)):
            handle = endpoint.handle
            if not endpoint.open or handle is None or not endpoint.host.powered:
                continue
            if reachable and other.host.powered:
                endpoint.contact_at = now
                if other.dead_silent and (handle.keepalive or endpoint.out.flight):
                    self.reset_arrives(endpoint)  # its probe found a machine that knows nothing of it
                    continue
            since = endpoint.out.unacknowledged_since()
            overdue = since is not None and handle.user_timeout and now - since > handle.user_timeout
            if overdue or (handle.keepalive and now - endpoint.contact_at > KEEPALIVE_S):
                endpoint.fail(errno.ETIMEDOUT)

    def look_over(self) -> bool:
        """Forgotten once both sides have closed and nothing is under way."""
        near, far = self.near, self.far
        if (
            not near.open
            and not far.open
            and not (near.out.queue or far.out.queue or near.out.held or far.out.held)
        ):
            self.over = True
            self.network.connections.pop(self, None)
        return self.over


class SimulatedSocket:
    """What stands for `socket.socket` in a simulated process."""

    def __init__(self, network, loop, number: int) -> None:
        self.network, self.loop, self.number = network, loop, number
        self.open = True
        self.address: tuple[str, int] | None = None
        self.peer_address: tuple[str, int] | None = None
        self.listens = False
        self.backlog: deque[SimulatedSocket] = deque()
        self.on_backlog = None
        self.endpoint: Endpoint | None = None
        self.datagrams = None
        self.user_timeout = 0.0  # s
        self.keepalive = False

    def setblocking(self, flag: bool) -> None:
        """They never block."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self.user_timeout = value / 1000
        elif level == socket.SOL_SOCKET and option == socket.SO_KEEPALIVE:
            self.keepalive = bool(value)

    def bind(self, address: tuple[str, int]) -> None:
        self.address = address[0], address[1] or self.network.next_port()

    def listen(self, backlog: int = 0) -> None:
        self.listens = True
        self.loop.host.listening[self.address[1]] = self

    def take_backlog(self) -> None:
        if self.open and self.backlog and self.on_backlog is not None:
            self.on_backlog()

    def accept(self) -> tuple[SimulatedSocket, tuple[str, int]]:
        if not self.backlog:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        handle = self.backlog.popleft()
        return handle, handle.peer_address

    def attach(self, protocol) -> tuple[StreamTransport, asyncio.BaseProtocol]:
        """Makes the transport of a connected socket."""
        transport = StreamTransport(self, protocol)
        self.endpoint.transport = transport
        protocol.connection_made(transport)
        if self.endpoint.incoming.unread:
            self.endpoint.notify()
        return transport, protocol

    def other_side_ended(self) -> bool:
        """A FIN, a reset or a failure has come, whether its process has read it or not."""
        endpoint = self.endpoint
        return endpoint is not None and (not endpoint.open or endpoint.incoming.end_came)

    def fileno(self) -> int:
        return self.number if self.open else -1

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def shutdown(self, how: int) -> None:
        if self.endpoint is None or not self.endpoint.open:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.network.sockets.pop(self.number, None)
        if self in self.loop.sockets:
            self.loop.sockets.remove(self)
        host = self.loop.host
        if self.listens and host.listening.get(self.address[1]) is self:
            del host.listening[self.address[1]]
        for waiting in self.backlog:
            waiting.close()
        if self.datagrams is not None and host.datagrams.get(self.address[1]) is self.datagrams:
            del host.datagrams[self.address[1]]
        if self.endpoint is not None:
            self.endpoint.close()

    def lose_power(self) -> None:
        """The machine forgets it without a word."""
        self.open = False
        self.network.sockets.pop(self.number, None)
        if self.endpoint is not None:
            self.endpoint.lose_power()
