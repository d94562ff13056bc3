"""One side of a simulated TCP connection, as its machine's kernel holds it."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any, Protocol

from shedgrade.simulation.system.host import Host
from shedgrade.simulation.system.tcp_segment import FIN, RESET, Payload
from shedgrade.simulation.system.tcp_stream import Stream, StreamConnection


class EndpointConnection(StreamConnection, Protocol):
    """The connection of an endpoint."""

    def reset(self, by: Endpoint) -> None:
        """Sends RST from an endpoint, in answer to bytes for a connection that is not open there."""

    def remove_if_finished(self) -> bool:
        """Removes the connection once both sides have closed and nothing is left to send."""


class EndpointTransport(Protocol):
    """The transport by which a process uses an endpoint."""

    @property
    def awaits_drain(self) -> bool:
        """Whether the process has written more than the kernel takes."""

    def drained(self) -> None:
        """Called when written bytes have left the process."""

    def process_ended(self) -> bool:
        """Whether the process has ended."""

    def io_soon(self, callback: Callable[..., Any]) -> None:
        """Schedules a callback in the process, as its loop does when a socket is ready."""

    def deliver_unread(self) -> None:
        """Passes the unread bytes and ends to the process."""


class EndpointSocket(Protocol):
    """The options of an endpoint's socket. `user_timeout`: seconds, 0 for none."""

    keepalive: bool
    user_timeout: float


class Endpoint:
    """One side of a connection in its machine's kernel.

    Attributes:
        transport: the process's transport; None until it is made.
        handle: the socket; None until there is one.
        open: whether the process has not closed the connection.
        power_lost: whether the machine lost power, so that its kernel no longer has the connection; `open`
            is False then.
        notified: whether the process is already scheduled to read.
        contact_at: virtual time of the last contact with the other side, s.
        out, incoming: the streams of the two directions.
    """

    out: Stream
    incoming: Stream

    def __init__(self, connection: EndpointConnection, host: Host, now: float) -> None:
        self.connection = connection
        self.host = host
        self.transport: EndpointTransport | None = None
        self.handle: EndpointSocket | None = None
        self.open = True
        self.power_lost = False
        self.notified = False
        self.contact_at = now

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        assert not (self.open and self.power_lost), "open without power"
        self.out.check_invariants()
        self.incoming.check_invariants()

    @property
    def awaits_drain(self) -> bool:
        """Whether the process has written more than the kernel takes."""
        return self.transport is not None and self.transport.awaits_drain

    def drained(self) -> None:
        """Called when written bytes have left the process."""
        if self.transport is not None and self.transport.awaits_drain:
            self.transport.drained()

    def received(self, stream: Stream, payload: Payload) -> None:
        """Called when a segment arrives. Bytes for a connection that is not open are answered with RST."""
        if not self.open or self.power_lost:
            if isinstance(payload, bytes):
                self.connection.reset(self)
            return
        stream.add_unread(payload)
        if payload is RESET:
            self.out.drop()
        self.notify()

    def reset_arrived(self) -> None:
        """Called when the other side's RST arrives: nothing more is sent, and the process reads the reset."""
        if self.open and self.host.powered:
            self.out.ended = True
            self.out.drop()
            self.incoming.add_unread(RESET)
            self.notify()

    def notify(self) -> None:
        """Schedules the process to read."""
        if self.transport is not None and not self.notified and not self.transport.process_ended():
            self.notified = True
            self.transport.io_soon(self.readable)

    def readable(self) -> None:
        """Called in the process, which reads."""
        self.notified = False
        if self.transport is not None:
            self.transport.deliver_unread()

    def fail(self, number: int) -> None:
        """Ends the connection with the error `number` (an errno), which the process reads."""
        if not self.open:
            return
        self.out.drop()
        self.out.ended = True
        self.incoming.add_unread(OSError(number, os.strerror(number)))
        self.notify()

    def close(self) -> None:
        """Closes this side: sends FIN after the bytes that the kernel holds, RST if bytes are unread."""
        if not self.open:
            return
        self.open = False
        if self.incoming.unread_bytes:
            self.out.drop()
            self.out.write(RESET)
        else:
            self.out.write(FIN)
        self.incoming.discard_unread()
        if self.incoming.queue:
            self.incoming.push()  # the window has room again; the bytes will be answered with RST
        self.connection.remove_if_finished()

    def lose_power(self) -> None:
        """Drops the connection without a packet to the other side, as the machine loses power."""
        self.open = False
        self.power_lost = True
        self.out.drop()
        self.out.ended = True
        self.connection.remove_if_finished()
