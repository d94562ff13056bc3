"""The network between simulated machines: delays, bandwidth, blocked paths and lost datagrams.

Packets on a blocked path are dropped without notice. TCP data in flight is held and retransmitted once the
path is unblocked; it is lost if its sender resets the connection or loses power. Datagrams on a blocked path
are lost.
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

SYN_RETRIES_S = (1.0, 2.0, 4.0, 8.0)  # delays before each retransmission of an unanswered SYN
SWEEP_INTERVAL_S = 0.25  # interval between two checks of the connections' timeouts
MAX_UNREAD_DATAGRAMS = 64  # unread datagrams that a socket holds
PACKET_DELAY_S = 0.00005  # processing time of a packet in the hosts
FIRST_DESCRIPTOR = 1001
FIRST_PORT, LAST_PORT = 32769, 60999  # range of local ports of connecting sockets


class Network:
    """All hosts, and the sockets and connections between them.

    Attributes:
        time: the virtual clock.
        random: source of the random choices.
        inter_region_delay_s: one-way delay between two regions, seconds.
        intra_region_delay_s: one-way delay within a region, seconds.
        jitter: greatest share of the delay that is added at random.
        datagram_loss: probability that a datagram is lost.
        window: bytes that may be unread or in flight in one direction of a connection.
        hosts: hosts by IP address.
        blocked_paths: number of faults that block a path now, by (sender's IP, receiver's IP).
        connections: established connections, oldest first.
        on_change: called when a path or a process has changed its state.
        last_port: local port assigned last.
        last_descriptor: descriptor assigned last.
        sockets: open sockets by descriptor.
        listeners: listening sockets by address.
        datagram_sockets: transports of bound UDP sockets by address.
    """

    def __init__(
        self,
        time: VirtualTime,
        random: Random,
        *,
        inter_region_delay_s: float,
        intra_region_delay_s: float = 0.0003,
        jitter: float = 0.1,
        datagram_loss: float = 0.02,
        window: int = 128 * 1024,
    ) -> None:
        self.time = time
        self.random = random
        self.inter_region_delay_s = inter_region_delay_s
        self.intra_region_delay_s = intra_region_delay_s
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
        time.after(SWEEP_INTERVAL_S, self.sweep)

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        assert all(count > 0 for count in self.blocked_paths.values()), "a path is kept although unblocked"
        assert all(handle.open for handle in self.sockets.values()), "a closed socket is kept"
        for connection in self.connections:
            assert not connection.closed, "a closed connection is kept"
            connection.check_invariants()

    def add(self, host: Host) -> Host:
        """Adds a host, and returns it."""
        self.hosts[host.ip] = host
        return host

    # --- paths

    def delay(self, sender: Host, receiver: Host, random: Random) -> float:
        """Returns the one-way delay of a packet, in seconds."""
        delay = self.intra_region_delay_s if sender.region == receiver.region else self.inter_region_delay_s
        jitter = 1 + self.jitter * random.random()
        return delay * jitter + sender.extra_delay_s + receiver.extra_delay_s + PACKET_DELAY_S

    def blocked(self, sender: Host, receiver: Host) -> bool:
        """Whether a fault blocks this path."""
        return (sender.ip, receiver.ip) in self.blocked_paths

    def block(self, sender: str, receiver: str) -> None:
        """Blocks the path from one IP to another. A path may be blocked more than once."""
        self.blocked_paths[sender, receiver] = self.blocked_paths.get((sender, receiver), 0) + 1
        self.on_change()

    def unblock(self, sender: str, receiver: str) -> None:
        """Removes one block of a path. After the last one, TCP retransmits the data that it held."""
        cuts = self.blocked_paths.get((sender, receiver), 0) - 1
        if cuts > 0:
            self.blocked_paths[sender, receiver] = cuts
        elif self.blocked_paths.pop((sender, receiver), None):
            for connection in list(self.connections):
                connection.path_unblocked(sender, receiver)
        self.on_change()

    def sweep(self) -> None:
        """Checks the timeouts of all connections, and schedules the next check."""
        for connection in list(self.connections):
            connection.check_timeouts(self.time.now)
        self.time.after(SWEEP_INTERVAL_S, self.sweep)

    # --- sockets

    def socket(self, loop: ProcessLoop) -> SimulatedSocket:
        """Returns a new socket of a process."""
        self.last_descriptor += 1
        handle = SimulatedSocket(self, loop, self.last_descriptor)
        self.sockets[handle.descriptor] = handle
        loop.sockets.append(handle)
        return handle

    def next_port(self) -> int:
        """Returns a local port for a connecting socket."""
        self.last_port = self.last_port + 1 if self.last_port < LAST_PORT else FIRST_PORT - 1
        return self.last_port

    def start_listening(self, handle: SimulatedSocket) -> None:
        """Accepts connections to the address of a bound socket."""
        self.listeners[self.socket_address(handle)] = handle

    def forget(self, handle: SimulatedSocket) -> None:
        """Removes a socket that was closed, or whose machine lost power."""
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
        """Returns the address at which others reach a bound socket."""
        assert handle.address is not None, "not bound"
        return handle.host.ip, handle.address[1]

    def add_connection(self, connection: Connection) -> None:
        """Adds an established connection."""
        self.connections[connection] = None

    def remove_connection(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)

    async def connect(self, handle: SimulatedSocket, address: Address) -> None:
        """Opens a TCP connection from a socket to `address`, and returns when it is established.

        Raises ConnectionRefusedError if nothing listens there. Doesn't return while the path is blocked, or
        if there is no such host.
        """
        if handle.address is None:
            handle.bind((handle.host.ip, 0))
        connected = handle.loop.create_future()
        handshake = Handshake(self, handle, address, connected)
        handshake.send_syn(0)
        await connected
        handshake.connection.established()

    # --- datagrams

    def open_datagrams(self, handle: SimulatedSocket, protocol: Any) -> tuple[DatagramTransport, Any]:
        """Returns the transport of a bound UDP socket, and its protocol."""
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
        """Delivers a datagram to its address, unless the path was blocked in the meantime."""
        transport = self.datagram_sockets.get(address)
        if transport is not None and receiver.powered and not self.blocked(sender, receiver):
            transport.arrived(data, origin)


class Handshake:
    """The handshake of one TCP connection. `connected` is done when the process learns the result."""

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
        """Sends a SYN, and schedules its retransmission in case it gets no response."""
        if not self.handle.open or self.connected.done():
            return
        network, sender = self.network, self.handle.host
        if self.is_known_host and not network.blocked(sender, self.host):
            delay = network.delay(sender, self.host, self.connection.random)
            network.time.after(delay, self.syn_arrives)
        if retries < len(SYN_RETRIES_S):
            network.time.after(SYN_RETRIES_S[retries], self.send_syn, retries + 1)

    def syn_arrives(self) -> None:
        """Handles the SYN's arrival: accepts or refuses the connection, if the path back isn't blocked."""
        network, client = self.network, self.handle.host
        if not self.host.powered or self.connection.accepted or network.blocked(self.host, client):
            return
        return_delay = network.delay(self.host, client, self.connection.random)
        listener = network.listeners.get(self.address)
        if listener is None:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
            network.time.after(return_delay, self.handle.loop.io_soon, self.set_result, refused)
            return
        self.connection.accept(listener)
        network.time.after(return_delay, self.syn_ack_arrives)

    def syn_ack_arrives(self) -> None:
        """Handles the SYN-ACK's arrival: the process learns the result when it next runs."""
        if self.handle.open and self.handle.host.powered:
            self.handle.loop.io_soon(self.set_result, None)

    def set_result(self, failure: OSError | None) -> None:
        """Sets the result in the process: established if `failure` is None."""
        if self.connected.done():
            return
        if failure is None:
            self.connected.set_result(None)
        else:
            self.connected.set_exception(failure)


class DatagramTransport(asyncio.DatagramTransport):
    """A bound UDP socket. `unread` holds received datagrams with their senders' addresses."""

    def __init__(self, network: Network, handle: SimulatedSocket, protocol: Any) -> None:
        super().__init__()
        self.network = network
        self.handle = handle
        self.protocol = protocol
        self.unread: deque[tuple[bytes, Address]] = deque()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """As asyncio's; a datagram without an address is ignored."""
        if self.handle.open and addr is not None and self.handle.address is not None:
            self.network.send_datagram(self.handle.host, self.handle.address, addr, bytes(data))

    def arrived(self, data: bytes, origin: Address) -> None:
        """Queues a received datagram; drops it if MAX_UNREAD_DATAGRAMS are unread."""
        if len(self.unread) < MAX_UNREAD_DATAGRAMS:
            self.unread.append((data, origin))
            if len(self.unread) == 1:
                self.handle.loop.io_soon(self.read)

    def read(self) -> None:
        """Passes the unread datagrams to the protocol."""
        while self.unread and self.handle.open:
            self.protocol.datagram_received(*self.unread.popleft())

    def is_closing(self) -> bool:
        """As asyncio's."""
        return not self.handle.open

    def close(self) -> None:
        """As asyncio's."""
        self.handle.close()

    abort = close
