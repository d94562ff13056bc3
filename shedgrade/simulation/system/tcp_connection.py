"""TCP connections of the simulated network: both sides and both directions."""

from __future__ import annotations

import errno
from random import Random
from typing import Protocol

from shedgrade.simulation.system.host import Address, Host
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.simulation.system.simulated_socket import SimulatedSocket
from shedgrade.simulation.system.tcp_endpoint import Endpoint
from shedgrade.simulation.system.tcp_stream import Stream, StreamNetwork

KEEPALIVE_S = 3.0  # time without contact after which keep-alive probes end a connection


class ConnectionNetwork(StreamNetwork, Protocol):
    """The network, as a connection uses it."""

    def socket(self, loop: ProcessLoop) -> SimulatedSocket:
        """A new socket of a process."""

    def add_connection(self, connection: Connection) -> None:
        """Adds a connection that is established."""

    def remove_connection(self, connection: Connection) -> None:
        """Removes a connection that has ended on both sides."""


class Connection:
    """Both sides and both directions of a connection.

    Attributes:
        client: the socket that connected to `address`.
        random: generator of this connection's delays.
        accepted: whether the SYN has reached a listening socket.
        closed: whether both sides have closed and nothing is left to send.
        near, far: the endpoints of the client and of the server.
    """

    def __init__(
        self,
        network: ConnectionNetwork,
        client: SimulatedSocket,
        server: Host,
        address: Address,
        random: Random,
    ) -> None:
        self.network = network
        self.client = client
        self.address = address
        self.random = random
        self.accepted = False
        self.closed = False
        now = network.time.now
        self.near = Endpoint(self, client.host, now)
        self.far = Endpoint(self, server, now)
        self.near.out = self.far.incoming = Stream(network, self, self.near, self.far)
        self.far.out = self.near.incoming = Stream(network, self, self.far, self.near)
        self.near.handle = client
        client.endpoint = self.near

    def check_invariants(self) -> None:
        """AssertionError if a side's attributes contradict each other."""
        self.near.check_invariants()
        self.far.check_invariants()

    def accept(self, listener: SimulatedSocket) -> None:
        """Called when the SYN reaches a listening socket: adds the server's socket to its backlog."""
        self.accepted = True
        self.network.add_connection(self)
        self.near.contact_at = self.far.contact_at = self.network.time.now
        handle = self.network.socket(listener.loop)
        handle.address = listener.address
        handle.peer_address = self.client.address
        handle.endpoint = self.far
        self.far.handle = handle
        listener.add_to_backlog(handle)

    def established(self) -> None:
        """Called when the client's process learns that the connection is established."""
        self.client.peer_address = self.address

    def path_unblocked(self, sender: str, receiver: str) -> None:
        """Called when the path from one IP to the other is open again."""
        for endpoint, other in ((self.near, self.far), (self.far, self.near)):
            if (endpoint.host.ip, other.host.ip) == (sender, receiver):
                endpoint.out.path_unblocked()
                endpoint.incoming.return_path_unblocked()

    def reset(self, by: Endpoint) -> None:
        """Sends RST from the endpoint `by`, in answer to bytes for a connection that is not open there."""
        other = self.far if by is self.near else self.near
        network = self.network
        if not network.blocked(by.host, other.host):
            network.time.after(network.delay(by.host, other.host, self.random), other.reset_arrived)

    def reset_both(self) -> None:
        """Resets the connection on both sides, as an injected fault."""
        self.near.reset_arrived()
        self.far.reset_arrived()

    def check_timeouts(self, now: float) -> None:
        """Fails each side whose bytes stay unacknowledged for too long or whose keep-alive probes fail."""
        if self.closed or self.remove_if_finished():
            return
        network, near, far = self.network, self.near, self.far
        reachable = not (network.blocked(near.host, far.host) or network.blocked(far.host, near.host))
        for endpoint, other in ((near, far), (far, near)):
            self.check_timeout(endpoint, other, reachable, now)

    def check_timeout(self, endpoint: Endpoint, other: Endpoint, reachable: bool, now: float) -> None:
        """Checks the timeouts of one side."""
        handle = endpoint.handle
        if not endpoint.open or handle is None or not endpoint.host.powered:
            return
        if reachable and other.host.powered:
            endpoint.contact_at = now
            if other.power_lost and (handle.keepalive or endpoint.out.in_flight):
                endpoint.reset_arrived()  # the other machine lost power and answers the probe with RST
                return
        since = endpoint.out.unacknowledged_since()
        overdue = since is not None and handle.user_timeout > 0 and now - since > handle.user_timeout
        if overdue or (handle.keepalive and now - endpoint.contact_at > KEEPALIVE_S):
            endpoint.fail(errno.ETIMEDOUT)

    def remove_if_finished(self) -> bool:
        """Removes the connection if both sides have closed and nothing is left to send. Returns `closed`."""
        near, far = self.near, self.far
        if near.open or far.open:
            return self.closed
        if not (near.out.queue or far.out.queue or near.out.held or far.out.held):
            self.closed = True
            self.network.remove_connection(self)
        return self.closed
