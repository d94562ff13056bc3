"""One side of a simulated TCP connection, as its machine's kernel has it."""

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
        """An endpoint answers with RST what it doesn't know."""

    def close_if_over(self) -> bool:
        """Forgets the connection if nothing is left of it."""


class EndpointTransport(Protocol):
    """The process's hold of an endpoint."""

    @property
    def waits_for_room(self) -> bool:
        """The process has written more than the kernel takes."""

    def drained(self) -> None:
        """Some of what was written has left the process."""

    def loop_ended(self) -> bool:
        """The process is gone."""

    def io_soon(self, callback: Callable[..., Any]) -> None:
        """Calls back in the process, as its loop does when a socket is ready."""

    def read_all(self) -> None:
        """Hands to the process what lies unread."""


class EndpointSocket(Protocol):
    """The options of an endpoint's socket. `user_timeout`: seconds, 0 for none."""

    keepalive: bool
    user_timeout: float


class Endpoint:
    """One side of a connection in its machine's kernel.

    Attributes:
        transport: the process's hold, once there is one.
        handle: the socket, once there is one.
        open: the process has not closed it.
        power_lost: the machine lost power, and the kernel knows nothing of the connection any more; it is
            not open then.
        notified: the process will be told that there is something to read.
        contact_at: virtual time of the last sign of the other side.
        out, incoming: the two directions.
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
    def waits_for_room(self) -> bool:
        """The process has written more than the kernel takes."""
        return self.transport is not None and self.transport.waits_for_room

    def drained(self) -> None:
        """Some of what was written has left the process."""
        if self.transport is not None and self.transport.waits_for_room:
            self.transport.drained()

    def received(self, stream: Stream, payload: Payload) -> None:
        """A segment has arrived. Bytes for a connection that is closed here are answered with RST."""
        if not self.open or self.power_lost:
            if isinstance(payload, bytes):
                self.connection.reset(self)
            return
        stream.add_unread(payload)
        if payload is RESET:
            self.out.drop()
        self.notify()

    def reset_arrived(self) -> None:
        """The other side has answered with RST: nothing is sent any more."""
        if self.open and self.host.powered:
            self.out.ended = True
            self.out.drop()
            self.incoming.add_unread(RESET)
            self.notify()

    def notify(self) -> None:
        """Tells the process that there is something to read."""
        if self.transport is not None and not self.notified and not self.transport.loop_ended():
            self.notified = True
            self.transport.io_soon(self.readable)

    def readable(self) -> None:
        """The process reads."""
        self.notified = False
        if self.transport is not None:
            self.transport.read_all()

    def fail(self, number: int) -> None:
        """The kernel gives the connection up; `number`: the errno that the process reads."""
        if not self.open:
            return
        self.out.drop()
        self.out.ended = True
        self.incoming.add_unread(OSError(number, os.strerror(number)))
        self.notify()

    def close(self) -> None:
        """The process lets go of it: FIN after what the kernel holds, RST if bytes lie unread."""
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
            self.incoming.push()  # there is room for what is answered by a reset
        self.connection.close_if_over()

    def lose_power(self) -> None:
        """The machine forgets the connection without a word."""
        self.open = False
        self.power_lost = True
        self.out.drop()
        self.out.ended = True
        self.connection.close_if_over()
