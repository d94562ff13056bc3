"""The network between simulated machines: delays, bandwidth, cuts, datagrams that are lost.

A cut is silent. What TCP has under way behind it is held and sent again when the cut has ended; it is lost if
its sender resets the connection or loses power. Datagrams in a cut are lost.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from collections.abc import Callable
from random import Random

from shedgrade.simulation.system.scheduler import ProcessLoop, VirtualTime
from shedgrade.simulation.system.tcp import Connection, SimulatedSocket

Address = tuple[str, int]  # (ip, port)

SYN_AGAIN = (1.0, 2.0, 4.0, 8.0)  # s until an opening packet that got no answer is sent again
SWEEP = 0.25  # s between two looks for connections whose time has run out
MOST_DATAGRAMS = 64  # that a socket holds unread
RETRANSMITTED = 0.3  # s after the end of a cut until what it held has been sent again, at the most


class Host:
    """A machine's place in the network. `region`: links between regions are longer."""

    def __init__(self, ip: str, region: str, bandwidth: float = 0.0) -> None:
        """`bandwidth`: bytes a second that leave, 0: endless."""
        self.ip, self.region, self.bandwidth = ip, region, bandwidth
        self.powered = True
        self.busy_until = 0.0  # when its link has sent all that it was given
        self.slow_s = 0.0  # added to the delay of all its links
        self.listening: dict[int, SimulatedSocket] = {}
        self.datagrams: dict[int, DatagramTransport] = {}


class Network:
    """All hosts by IP, and what is under way between them."""

    def __init__(
        self,
        time: VirtualTime,
        random: Random,
        *,
        between_s: float,
        within_s: float = 0.0003,
        jitter: float = 0.1,
        datagram_loss: float = 0.02,
        window: int = 128 * 1024,
    ) -> None:
        self.time, self.random = time, random
        self.between_s, self.within_s, self.jitter = between_s, within_s, jitter
        self.datagram_loss, self.window = datagram_loss, window
        self.hosts: dict[str, Host] = {}
        self.cuts: dict[tuple[str, str], int] = {}
        self.connections: dict[Connection, None] = {}
        self.on_change: Callable[[], None] = lambda: None  # a path or a process came or went
        self.on_segment: Callable[[str, str, bytes], None] | None = None  # looks at what arrives
        self.ports = 32768
        self.made = 0  # sockets
        self.sockets: dict[int, SimulatedSocket] = {}  # open ones by descriptor
        time.after(SWEEP, self.sweep)

    def add(self, host: Host) -> Host:
        self.hosts[host.ip] = host
        return host

    # --- paths

    def delay(self, sender: Host, receiver: Host, random: Random) -> float:
        """s that a packet is under way."""
        delay = self.within_s if sender.region == receiver.region else self.between_s
        return delay * (1 + self.jitter * random.random()) + sender.slow_s + receiver.slow_s + 0.00005

    def blocked(self, sender: Host, receiver: Host) -> bool:
        return (sender.ip, receiver.ip) in self.cuts

    def cut(self, sender: str, receiver: str) -> None:
        """One direction, by IP. Cuts of one direction add up."""
        self.cuts[sender, receiver] = self.cuts.get((sender, receiver), 0) + 1
        self.on_change()

    def join(self, sender: str, receiver: str) -> None:
        left = self.cuts.get((sender, receiver), 0) - 1
        if left > 0:
            self.cuts[sender, receiver] = left
        elif self.cuts.pop((sender, receiver), None):
            for connection in list(self.connections):
                connection.path_joined(sender, receiver)
        self.on_change()

    def sweep(self) -> None:
        for connection in list(self.connections):
            connection.look_after(self.time.now)
        self.time.after(SWEEP, self.sweep)

    # --- sockets

    def socket(self, loop: ProcessLoop) -> SimulatedSocket:
        self.made += 1
        made = SimulatedSocket(self, loop, self.made + 1000)
        self.sockets[made.fileno()] = made
        loop.sockets.append(made)
        return made

    def next_port(self) -> int:
        self.ports = self.ports + 1 if self.ports < 60999 else 32768
        return self.ports

    async def connect(self, handle: SimulatedSocket, address: Address) -> None:
        """Returns when the connection is up. ConnectionRefusedError, or it hangs for as long as there is no
        path."""
        host = self.hosts.get(address[0])
        if handle.address is None:
            handle.bind((handle.loop.host.ip, 0))
        connected = handle.loop.create_future()
        connection = Connection(self, handle, address)

        def answer(failure: OSError | None) -> None:
            if not connected.done():
                if failure is None:
                    connected.set_result(None)
                else:
                    connected.set_exception(failure)

        def syn(tries: int) -> None:
            if not handle.open or connected.done():
                return
            sender = handle.loop.host
            if host is not None and not self.blocked(sender, host):
                self.time.after(self.delay(sender, host, connection.random), arrives)
            if tries < len(SYN_AGAIN):
                self.time.after(SYN_AGAIN[tries], syn, tries + 1)

        def arrives() -> None:
            if not host.powered or connection.accepted:
                return
            listener = host.listening.get(address[1])
            if self.blocked(host, handle.loop.host):
                return  # the answer is lost
            back = self.delay(host, handle.loop.host, connection.random)
            if listener is None:
                refused = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
                self.time.after(back, handle.loop.io_soon, answer, refused)
                return
            connection.accept(listener)
            self.time.after(back, established)

        def established() -> None:
            if handle.open and handle.loop.host.powered:
                handle.loop.io_soon(answer, None)

        syn(0)
        await connected
        connection.established()

    # --- datagrams

    def open_datagrams(
        self, handle: SimulatedSocket, protocol: asyncio.DatagramProtocol
    ) -> tuple[DatagramTransport, asyncio.DatagramProtocol]:
        transport = DatagramTransport(self, handle, protocol)
        handle.loop.host.datagrams[handle.address[1]] = transport
        handle.datagrams = transport
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, sender: Host, origin: Address, address: Address, data: bytes) -> None:
        host = self.hosts.get(address[0])
        if host is None or self.blocked(sender, host) or self.random.random() < self.datagram_loss:
            return
        self.time.after(
            self.delay(sender, host, self.random), self.datagram_arrives, sender, origin, host, address, data
        )

    def datagram_arrives(
        self, sender: Host, origin: Address, host: Host, address: Address, data: bytes
    ) -> None:
        transport = host.datagrams.get(address[1])
        if transport is not None and host.powered and not self.blocked(sender, host):
            transport.arrived(data, origin)


class DatagramTransport(asyncio.DatagramTransport):
    """A bound UDP socket."""

    def __init__(self, network: Network, handle: SimulatedSocket, protocol) -> None:
        super().__init__()
        self.network, self.handle, self.protocol = network, handle, protocol
        self.unread: deque[tuple[bytes, Address]] = deque()

    def sendto(self, data, addr=None) -> None:
        if self.handle.open:
            self.network.send_datagram(self.handle.loop.host, self.handle.address, addr, bytes(data))

    def arrived(self, data: bytes, origin: Address) -> None:
        if len(self.unread) < MOST_DATAGRAMS:
            self.unread.append((data, origin))
            if len(self.unread) == 1:
                self.handle.loop.io_soon(self.read)

    def read(self) -> None:
        while self.unread and self.handle.open:
            self.protocol.datagram_received(*self.unread.popleft())

    def is_closing(self) -> bool:
        return not self.handle.open

    def close(self) -> None:
        self.handle.close()

    abort = close
