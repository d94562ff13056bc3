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
from typing import Any

from shedgrade.simulation.system.host import Address, Host
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.simulation.system.simulated_socket import SimulatedSocket
from shedgrade.simulation.system.tcp_connection import Connection
from shedgrade.simulation.system.virtual_time import VirtualTime

SYN_RETRIES_S = (1.0, 2.0, 4.0, 8.0)  # until an opening packet that got no answer is sent again
SWEEP_S = 0.25  # between two looks for connections whose time has run out
MOST_DATAGRAMS = 64  # that a socket holds unread
PACKET_DELAY_S = 0.00005  # of every packet, in the hosts
FIRST_DESCRIPTOR = 1001
FIRST_PORT, LAST_PORT = 32769, 60999  # of connecting sockets


class Network:
    """All hosts by IP, and what is under way between them.

    Attributes:
        between_s, within_s: one-way delay between regions and within one, seconds.
        jitter: share of the delay that is added at random, at most.
        datagram_loss: probability that a datagram is lost.
        window: bytes that may be unread or under way in one direction of a connection.
        blocked_paths: how many faults block a path (sender's IP, receiver's IP) now.
        connections: those that are up, in order of their beginnings.
        on_change: called when a path or a process came or went.
        sockets: open ones by descriptor.
        listeners, datagram_sockets: by their address.
    """

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
        self.time = time
        self.random = random
        self.between_s = between_s
        self.within_s = within_s
        self.jitter = jitter
        self.datagram_loss = datagram_loss
        self.window = window
        self.hosts: dict[str, Host] = {}
        self.blocked_paths: dict[tuple[str, str], int] = {}
        self.connections: dict[Connection, None] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.last_port = FIRST_PORT - 1
        self.last_descriptor = FIRST_DESCRIPTOR - 1
        self.sockets: dict[int, SimulatedSocket] = {}
        self.listeners: dict[Address, SimulatedSocket] = {}
        self.datagram_sockets: dict[Address, DatagramTransport] = {}
        time.after(SWEEP_S, self.sweep)

    def check_invariants(self) -> None:
        """AssertionError if something of the network contradicts itself."""
        assert all(count > 0 for count in self.blocked_paths.values()), "a path with no block"
        assert all(handle.open for handle in self.sockets.values()), "a closed socket is kept"
        for connection in self.connections:
            assert not connection.closed, "a connection that is over is kept"
            connection.check_invariants()

    def add(self, host: Host) -> Host:
        """Adds a host, and returns it."""
        self.hosts[host.ip] = host
        return host

    # --- paths

    def delay(self, sender: Host, receiver: Host, random: Random) -> float:
        """Seconds that a packet is under way."""
        delay = self.within_s if sender.region == receiver.region else self.between_s
        jitter = 1 + self.jitter * random.random()
        return delay * jitter + sender.extra_delay_s + receiver.extra_delay_s + PACKET_DELAY_S

    def blocked(self, sender: Host, receiver: Host) -> bool:
        """Whether a cut lies on this path."""
        return (sender.ip, receiver.ip) in self.blocked_paths

    def block(self, sender: str, receiver: str) -> None:
        """Cuts one direction, by IP. Cuts of one direction add up."""
        self.blocked_paths[sender, receiver] = self.blocked_paths.get((sender, receiver), 0) + 1
        self.on_change()

    def unblock(self, sender: str, receiver: str) -> None:
        """Ends one cut of a direction. After the last one what TCP held is sent again."""
        cuts = self.blocked_paths.get((sender, receiver), 0) - 1
        if cuts > 0:
            self.blocked_paths[sender, receiver] = cuts
        elif self.blocked_paths.pop((sender, receiver), None):
            for connection in list(self.connections):
                connection.path_unblocked(sender, receiver)
        self.on_change()

    def sweep(self) -> None:
        """Looks for connections whose time has run out, and schedules the next look."""
        for connection in list(self.connections):
            connection.check_timeouts(self.time.now)
        self.time.after(SWEEP_S, self.sweep)

    # --- sockets

    def socket(self, loop: ProcessLoop) -> SimulatedSocket:
        """A new socket of a process."""
        self.last_descriptor += 1
        handle = SimulatedSocket(self, loop, self.last_descriptor)
        self.sockets[handle.descriptor] = handle
        loop.sockets.append(handle)
        return handle

    def next_port(self) -> int:
        """A local port for a connecting socket."""
        self.last_port = self.last_port + 1 if self.last_port < LAST_PORT else FIRST_PORT - 1
        return self.last_port

    def start_listening(self, handle: SimulatedSocket) -> None:
        """Connections to the address of a socket go to it."""
        self.listeners[self.socket_address(handle)] = handle

    def forget(self, handle: SimulatedSocket) -> None:
        """A socket is closed, or its machine lost power."""
        self.sockets.pop(handle.descriptor, None)
        if handle.address is None:
            return
        address = self.socket_address(handle)
        if self.listeners.get(address) is handle:
            del self.listeners[address]
        datagrams = self.datagram_sockets.get(address)
        if datagrams is not None and datagrams.handle is handle:
            del self.datagram_sockets[address]

    @staticmethod
    def socket_address(handle: SimulatedSocket) -> Address:
        """Where others reach a bound socket."""
        assert handle.address is not None, "not bound"
        return handle.host.ip, handle.address[1]

    def add_connection(self, connection: Connection) -> None:
        """A connection is up."""
        self.connections[connection] = None

    def remove_connection(self, connection: Connection) -> None:
        """Nothing is left of a connection."""
        self.connections.pop(connection, None)

    async def connect(self, handle: SimulatedSocket, address: Address) -> None:
        """Returns when the connection is up. ConnectionRefusedError; it hangs for as long as there is no
        path, or no such host."""
        if handle.address is None:
            handle.bind((handle.host.ip, 0))
        connected = handle.loop.create_future()
        handshake = Handshake(self, handle, address, connected)
        handshake.send_syn(0)
        await connected
        handshake.connection.established()

    # --- datagrams

    def open_datagrams(self, handle: SimulatedSocket, protocol: Any) -> tuple[DatagramTransport, Any]:
        """Makes the transport of a bound UDP socket."""
        transport = DatagramTransport(self, handle, protocol)
        self.datagram_sockets[self.socket_address(handle)] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, sender: Host, origin: Address, address: Address, data: bytes) -> None:
        """Sends a datagram from `origin`; it may be lost."""
        receiver = self.hosts.get(address[0])
        if receiver is None or self.blocked(sender, receiver) or self.random.random() < self.datagram_loss:
            return
        delay = self.delay(sender, receiver, self.random)
        self.time.after(delay, self.datagram_arrives, sender, origin, receiver, address, data)

    def datagram_arrives(
        self, sender: Host, origin: Address, receiver: Host, address: Address, data: bytes
    ) -> None:
        """A datagram reaches its address, unless its path was cut meanwhile."""
        transport = self.datagram_sockets.get(address)
        if transport is not None and receiver.powered and not self.blocked(sender, receiver):
            transport.arrived(data, origin)


class Handshake:
    """The opening of one connection. `connected` is set when the process may know the result."""

    def __init__(
        self,
        network: Network,
        handle: SimulatedSocket,
        address: Address,
        connected: asyncio.Future[None],
    ) -> None:
        self.network = network
        self.handle = handle
        self.address = address
        self.connected = connected
        self.is_known_host = address[0] in network.hosts
        self.host = network.hosts.get(address[0]) or Host(address[0], "")
        random = Random(network.random.getrandbits(48))
        self.connection = Connection(network, handle, self.host, address, random)

    def send_syn(self, retries: int) -> None:
        """Sends the opening packet, and again as long as there is no answer."""
        if not self.handle.open or self.connected.done():
            return
        network, sender = self.network, self.handle.host
        if self.is_known_host and not network.blocked(sender, self.host):
            delay = network.delay(sender, self.host, self.connection.random)
            network.time.after(delay, self.syn_arrives)
        if retries < len(SYN_RETRIES_S):
            network.time.after(SYN_RETRIES_S[retries], self.send_syn, retries + 1)

    def syn_arrives(self) -> None:
        """The opening packet has arrived: it is answered, if the way back is open."""
        network, client = self.network, self.handle.host
        if not self.host.powered or self.connection.accepted or network.blocked(self.host, client):
            return
        back = network.delay(self.host, client, self.connection.random)
        listener = network.listeners.get(self.address)
        if listener is None:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
            network.time.after(back, self.handle.loop.io_soon, self.answer, refused)
            return
        self.connection.accept(listener)
        network.time.after(back, self.answer_arrives)

    def answer_arrives(self) -> None:
        """The listener's answer has come; the process is told when it runs."""
        if self.handle.open and self.handle.host.powered:
            self.handle.loop.io_soon(self.answer, None)

    def answer(self, failure: OSError | None) -> None:
        """The process learns the result."""
        if self.connected.done():
            return
        if failure is None:
            self.connected.set_result(None)
        else:
            self.connected.set_exception(failure)


class DatagramTransport(asyncio.DatagramTransport):
    """A bound UDP socket. `unread`: datagrams and their senders."""

    def __init__(self, network: Network, handle: SimulatedSocket, protocol: Any) -> None:
        super().__init__()
        self.network = network
        self.handle = handle
        self.protocol = protocol
        self.unread: deque[tuple[bytes, Address]] = deque()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """As asyncio's, with an address."""
        if self.handle.open and addr is not None and self.handle.address is not None:
            self.network.send_datagram(self.handle.host, self.handle.address, addr, bytes(data))

    def arrived(self, data: bytes, origin: Address) -> None:
        """A datagram has come; it is dropped if too many are unread."""
        if len(self.unread) < MOST_DATAGRAMS:
            self.unread.append((data, origin))
            if len(self.unread) == 1:
                self.handle.loop.io_soon(self.read)

    def read(self) -> None:
        """Hands to the process what lies unread."""
        while self.unread and self.handle.open:
            self.protocol.datagram_received(*self.unread.popleft())

    def is_closing(self) -> bool:
        """As asyncio's."""
        return not self.handle.open

    def close(self) -> None:
        """As asyncio's."""
        self.handle.close()

    abort = close
