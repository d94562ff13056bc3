"""One direction of a simulated TCP connection.

Bytes wait at the sender, travel in segments through a window, lie unread in the receiver's buffer and are
read by its process, which may be stopped meanwhile. Ends of a direction (FIN, RST) travel and wait in line
with the bytes, as what was received before a reset can still be read.

A stream knows its two ends and its connection by the protocols of this module only.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Protocol

from shedgrade.simulation.system.host import Host
from shedgrade.simulation.system.tcp_segment import (
    NEVER,
    SEGMENT,
    Payload,
    Received,
    Segment,
)
from shedgrade.simulation.system.virtual_time import VirtualTime

HEADER_BYTES = 60  # of each segment on its link
RESEND_WITHIN_S = 0.3  # of the end of a cut: what it held has been sent again


class Paths(Protocol):
    """The network, as streams see it. `window`: bytes that may be unread or under way in one direction."""

    window: int

    @property
    def time(self) -> VirtualTime:
        """Virtual time."""

    def delay(self, sender: Host, receiver: Host, random: Random) -> float:
        """Seconds that a packet is under way."""

    def blocked(self, sender: Host, receiver: Host) -> bool:
        """Whether a cut lies on this path."""


class StreamConnection(Protocol):
    """The connection of a stream. `closed`: both sides have closed, and nothing is under way."""

    closed: bool

    @property
    def random(self) -> Random:
        """Draws the delays of this connection."""


class StreamEnd(Protocol):
    """One side of a connection, as its streams see it. `power_lost`: its kernel has forgotten it."""

    power_lost: bool

    @property
    def host(self) -> Host:
        """Its machine."""

    @property
    def waits_for_room(self) -> bool:
        """Its process has written more than the kernel takes."""

    def drained(self) -> None:
        """Some of what was written has left the process."""

    def received(self, stream: Stream, payload: Payload) -> None:
        """A segment has arrived."""


class Stream:
    """One direction of a connection.

    Attributes:
        queue: what the sender has written and not sent yet, in order.
        queued_bytes: bytes of it.
        flight: segments that were sent and not acknowledged, in order.
        in_flight_bytes: bytes of them.
        held: segments that wait for the end of a cut; nothing is sent past them.
        last_arrival: when the last segment that was sent arrives; later ones keep the order.
        unread: what the receiver's process has not read.
        unread_bytes: bytes of it.
        ended: a FIN or RESET was written: nothing follows.
        push_scheduled: `push` will be called when the next acknowledgement comes.
        end_arrived: the receiver's kernel knows that nothing follows.
    """

    def __init__(
        self, network: Paths, connection: StreamConnection, sender: StreamEnd, receiver: StreamEnd
    ) -> None:
        self.network = network
        self.connection = connection
        self.sender = sender
        self.receiver = receiver
        self.time = network.time
        self.queue: deque[Payload] = deque()
        self.queued_bytes = 0
        self.flight: deque[Segment] = deque()
        self.in_flight_bytes = 0
        self.held: list[Segment] = []
        self.last_arrival = 0.0
        self.unread: deque[Received] = deque()
        self.unread_bytes = 0
        self.ended = False
        self.push_scheduled = False
        self.end_arrived = False

    def check_invariants(self) -> None:
        """AssertionError if the counts of bytes are wrong."""
        assert self.queued_bytes == sum(len(item) for item in self.queue if isinstance(item, bytes))
        assert self.in_flight_bytes == sum(segment.size for segment in self.flight)
        assert self.unread_bytes == sum(len(item) for item in self.unread if isinstance(item, bytes))

    # --- the sender's side

    def write(self, payload: Payload) -> None:
        """Sends bytes or an end after what was written before; nothing after an end."""
        if self.ended:
            return
        self.queue.append(payload)
        if isinstance(payload, bytes):
            self.queued_bytes += len(payload)
        else:
            self.ended = True
        self.push()

    def outstanding(self) -> int:
        """Bytes that the sender's kernel or process still holds."""
        self.take_acknowledgements()
        return self.queued_bytes + self.in_flight_bytes

    def take_acknowledgements(self) -> None:
        """Forgets segments that are acknowledged by now."""
        now, flight = self.time.now, self.flight
        while flight and flight[0].acknowledged_at <= now:
            self.in_flight_bytes -= flight.popleft().size

    def push(self) -> None:
        """Sends what the window lets through."""
        self.take_acknowledgements()
        while self.queue:
            payload = self.next_payload()
            if payload is None:
                break
            segment = Segment(payload, self.time.now)
            self.flight.append(segment)
            self.in_flight_bytes += segment.size
            self.transmit(segment)
        if self.queue or self.sender.waits_for_room:
            self.schedule_push()
        self.sender.drained()

    def next_payload(self) -> Payload | None:
        """Takes what the next segment holds off the queue; None if the window is full."""
        payload = self.queue[0]
        if not isinstance(payload, bytes):
            return self.queue.popleft()
        room = self.network.window - self.in_flight_bytes - self.unread_bytes
        if room <= 0:
            return None
        size = min(room, SEGMENT)
        if len(payload) > size:
            self.queue[0] = payload[size:]
            payload = payload[:size]
        else:
            self.queue.popleft()
        self.queued_bytes -= len(payload)
        return payload

    def schedule_push(self) -> None:
        """Pushes again when the next acknowledgement comes. Without one in sight there is nothing to do: an
        arrival, a read or the end of a cut will push."""
        at = self.flight[0].acknowledged_at if self.flight else NEVER
        if at != NEVER and not self.push_scheduled:
            self.push_scheduled = True
            self.time.at(at, self.push_again)

    def push_again(self) -> None:
        """An acknowledgement is due."""
        self.push_scheduled = False
        if not self.connection.closed:
            self.push()

    def transmit(self, segment: Segment, delay_s: float = 0.0) -> None:
        """Sends a segment, in `delay_s`; a cut holds it."""
        sender, receiver = self.sender.host, self.receiver.host
        if self.held or self.network.blocked(sender, receiver):
            self.held.append(segment)
            return
        departure = self.time.now + delay_s
        if sender.bandwidth:
            departure = max(departure, sender.busy_until) + (segment.size + HEADER_BYTES) / sender.bandwidth
            sender.busy_until = departure
        arrival = departure + self.network.delay(sender, receiver, self.connection.random)
        self.last_arrival = max(arrival, self.last_arrival)
        self.time.at(self.last_arrival, self.arrive, segment)

    def drop(self) -> None:
        """What the sender's kernel holds is lost."""
        self.queue.clear()
        self.held.clear()
        self.queued_bytes = 0

    def truncate(self, surplus: int) -> None:
        """The last `surplus` bytes of the queue, or some more, are lost."""
        while surplus > 0 and self.queue:
            payload = self.queue[-1]
            if not isinstance(payload, bytes):
                return
            self.queue.pop()
            self.queued_bytes -= len(payload)
            surplus -= len(payload)

    # --- the way

    def arrive(self, segment: Segment) -> None:
        """A segment reaches the receiver's machine, unless a cut holds it on its way."""
        sender, receiver = self.sender.host, self.receiver.host
        if self.held or self.network.blocked(sender, receiver):
            if not self.sender.power_lost:
                self.held.append(segment)
            return
        if not receiver.powered:
            return
        segment.delivered = True
        if not self.network.blocked(receiver, sender):
            back = self.network.delay(receiver, sender, self.connection.random)
            segment.acknowledged_at = self.time.now + back
            if self.queue or self.sender.waits_for_room:
                self.schedule_push()
        self.receiver.received(self, segment.payload)

    def path_unblocked(self) -> None:
        """The way of this direction is open again: what was held is sent again."""
        held, self.held = self.held, []
        if held and not self.sender.power_lost:
            delay = self.connection.random.random() * RESEND_WITHIN_S
            for segment in held:
                self.transmit(segment, delay)

    def return_path_unblocked(self) -> None:
        """Acknowledgements of what was delivered arrive after all."""
        now = self.time.now
        for segment in self.flight:
            if segment.delivered and segment.acknowledged_at == NEVER:
                segment.acknowledged_at = now + self.connection.random.random() * RESEND_WITHIN_S
        if self.queue or self.sender.waits_for_room:
            self.schedule_push()

    def unacknowledged_since(self) -> float | None:
        """When the oldest segment that is not acknowledged was sent; None if there is none."""
        self.take_acknowledgements()
        return self.flight[0].sent_at if self.flight else None

    # --- the receiver's side

    def add_unread(self, item: Received) -> None:
        """Bytes or an end have reached the receiver's kernel."""
        self.unread.append(item)
        if isinstance(item, bytes):
            self.unread_bytes += len(item)
        else:
            self.end_arrived = True

    def read(self) -> Received | None:
        """The next bytes or end that lie unread."""
        if not self.unread:
            return None
        item = self.unread.popleft()
        if isinstance(item, bytes):
            self.unread_bytes -= len(item)
        return item

    def put_back(self, data: bytes) -> None:
        """Bytes that were read, and for which the process has no room."""
        self.unread.appendleft(data)
        self.unread_bytes += len(data)

    def discard_unread(self) -> None:
        """The receiver's process reads nothing more."""
        self.unread.clear()
        self.unread_bytes = 0
