"""One direction of a simulated TCP connection.

Bytes are queued at the sender, sent in segments within a window, buffered unread at the receiver, and read by
the receiver's process, which may be stopped meanwhile. The end of a direction (FIN or RST) is queued and sent
in order with the bytes, because bytes that were received before a reset can still be read.

A stream uses its two endpoints and its connection only through the protocols of this module.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Protocol

from shedgrade.simulation.system.host import Host
from shedgrade.simulation.system.tcp_segment import (
    MAX_SEGMENT_BYTES,
    NEVER,
    Payload,
    Received,
    Segment,
)
from shedgrade.simulation.system.virtual_time import VirtualTime

HEADER_BYTES = 60  # added to each segment on its link
MAX_RESEND_DELAY_S = 0.3  # from the end of a cut until a segment that it held is sent again


class StreamNetwork(Protocol):
    """The network, as streams use it. `window`: most bytes unread or in flight in one direction."""

    window: int

    @property
    def time(self) -> VirtualTime:
        """Virtual time."""

    def delay(self, sender: Host, receiver: Host, random: Random) -> float:
        """One-way delay of a packet, s."""

    def blocked(self, sender: Host, receiver: Host) -> bool:
        """Whether a cut blocks this path."""


class StreamConnection(Protocol):
    """The connection of a stream. `closed`: both sides have closed, and nothing is left to send."""

    closed: bool

    @property
    def random(self) -> Random:
        """Generator of this connection's delays."""


class StreamEndpoint(Protocol):
    """One side of a connection, as its streams use it. `power_lost`: its machine has lost power since."""

    power_lost: bool

    @property
    def host(self) -> Host:
        """The machine of this side."""

    @property
    def awaits_drain(self) -> bool:
        """Whether the process has written more than the kernel takes."""

    def drained(self) -> None:
        """Called when written bytes have left the process."""

    def received(self, stream: Stream, payload: Payload) -> None:
        """Called when a segment arrives."""


class Stream:
    """One direction of a connection.

    Attributes:
        queue: bytes and ends that were written and not sent yet, in order.
        queued_bytes: number of bytes in `queue`.
        in_flight: segments that were sent and not acknowledged, in order.
        in_flight_bytes: number of bytes in `in_flight`.
        held: segments that wait for the end of a cut; nothing is sent past them.
        last_arrival: arrival time of the segment that was sent last, s; later segments don't overtake it.
        unread: bytes and ends that the receiver's process has not read.
        unread_bytes: number of bytes in `unread`.
        ended: whether a FIN or RESET was written; nothing follows it.
        push_scheduled: whether `push` will be called when the next acknowledgement arrives.
        end_arrived: whether the receiver's kernel knows that nothing follows.
    """

    def __init__(
        self,
        network: StreamNetwork,
        connection: StreamConnection,
        sender: StreamEndpoint,
        receiver: StreamEndpoint,
    ) -> None:
        self.network = network
        self.connection = connection
        self.sender = sender
        self.receiver = receiver
        self.time = network.time
        self.queue: deque[Payload] = deque()
        self.queued_bytes = 0
        self.in_flight: deque[Segment] = deque()
        self.in_flight_bytes = 0
        self.held: list[Segment] = []
        self.last_arrival = 0.0
        self.unread: deque[Received] = deque()
        self.unread_bytes = 0
        self.ended = False
        self.push_scheduled = False
        self.end_arrived = False

    def check_invariants(self) -> None:
        """AssertionError if the byte counts are wrong."""
        assert self.queued_bytes == sum(len(item) for item in self.queue if isinstance(item, bytes))
        assert self.in_flight_bytes == sum(segment.size for segment in self.in_flight)
        assert self.unread_bytes == sum(len(item) for item in self.unread if isinstance(item, bytes))

    # --- the sender's side

    def write(self, payload: Payload) -> None:
        """Queues bytes or an end, and sends what the window allows. Ignored after an end."""
        if self.ended:
            return
        self.queue.append(payload)
        if isinstance(payload, bytes):
            self.queued_bytes += len(payload)
        else:
            self.ended = True
        self.push()

    def outstanding(self) -> int:
        """Number of bytes that the sender's process or kernel still holds, sent or not."""
        self.take_acknowledgements()
        return self.queued_bytes + self.in_flight_bytes

    def take_acknowledgements(self) -> None:
        """Removes the segments that are acknowledged by now."""
        now, in_flight = self.time.now, self.in_flight
        while in_flight and in_flight[0].acknowledged_at <= now:
            self.in_flight_bytes -= in_flight.popleft().size

    def push(self) -> None:
        """Sends queued bytes as far as the window allows."""
        self.take_acknowledgements()
        while self.queue:
            payload = self.next_payload()
            if payload is None:
                break
            segment = Segment(payload, self.time.now)
            self.in_flight.append(segment)
            self.in_flight_bytes += segment.size
            self.transmit(segment)
        if self.queue or self.sender.awaits_drain:
            self.schedule_push()
        self.sender.drained()

    def next_payload(self) -> Payload | None:
        """Takes the payload of the next segment off the queue. None if the window is full."""
        payload = self.queue[0]
        if not isinstance(payload, bytes):
            return self.queue.popleft()
        room = self.network.window - self.in_flight_bytes - self.unread_bytes
        if room <= 0:
            return None
        size = min(room, MAX_SEGMENT_BYTES)
        if len(payload) > size:
            self.queue[0] = payload[size:]
            payload = payload[:size]
        else:
            self.queue.popleft()
        self.queued_bytes -= len(payload)
        return payload

    def schedule_push(self) -> None:
        """Schedules a push at the next acknowledgement. None is needed if no acknowledgement is expected: an
        arrival, a read or the end of a cut will push."""
        at = self.in_flight[0].acknowledged_at if self.in_flight else NEVER
        if at != NEVER and not self.push_scheduled:
            self.push_scheduled = True
            self.time.at(at, self.push_due)

    def push_due(self) -> None:
        """Called when an acknowledgement is due."""
        self.push_scheduled = False
        if not self.connection.closed:
            self.push()

    def transmit(self, segment: Segment, delay_s: float = 0.0) -> None:
        """Sends a segment after `delay_s`; a cut holds it."""
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
        """Drops what the sender's kernel has not sent."""
        self.queue.clear()
        self.held.clear()
        self.queued_bytes = 0

    def truncate(self, surplus: int) -> None:
        """Drops at least the last `surplus` bytes of the queue, in whole payloads and up to a FIN or RST."""
        while surplus > 0 and self.queue:
            payload = self.queue[-1]
            if not isinstance(payload, bytes):
                return
            self.queue.pop()
            self.queued_bytes -= len(payload)
            surplus -= len(payload)

    # --- transit

    def arrive(self, segment: Segment) -> None:
        """Delivers a segment to the receiver's machine, or holds it if a cut blocks its path."""
        sender, receiver = self.sender.host, self.receiver.host
        if self.held or self.network.blocked(sender, receiver):
            if not self.sender.power_lost:
                self.held.append(segment)
            return
        if not receiver.powered:
            return
        segment.delivered = True
        if not self.network.blocked(receiver, sender):
            return_delay_s = self.network.delay(receiver, sender, self.connection.random)
            segment.acknowledged_at = self.time.now + return_delay_s
            if self.queue or self.sender.awaits_drain:
                self.schedule_push()
        self.receiver.received(self, segment.payload)

    def path_unblocked(self) -> None:
        """Called when the path of this direction is open again: the held segments are sent again."""
        held, self.held = self.held, []
        if held and not self.sender.power_lost:
            delay = self.connection.random.random() * MAX_RESEND_DELAY_S
            for segment in held:
                self.transmit(segment, delay)

    def return_path_unblocked(self) -> None:
        """Called when the return path is open again: schedules acknowledgements that were blocked."""
        now = self.time.now
        for segment in self.in_flight:
            if segment.delivered and segment.acknowledged_at == NEVER:
                segment.acknowledged_at = now + self.connection.random.random() * MAX_RESEND_DELAY_S
        if self.queue or self.sender.awaits_drain:
            self.schedule_push()

    def unacknowledged_since(self) -> float | None:
        """Time at which the oldest unacknowledged segment was sent, s. None if there is none."""
        self.take_acknowledgements()
        return self.in_flight[0].sent_at if self.in_flight else None

    # --- the receiver's side

    def add_unread(self, item: Received) -> None:
        """Adds bytes or an end that have reached the receiver's kernel."""
        self.unread.append(item)
        if isinstance(item, bytes):
            self.unread_bytes += len(item)
        else:
            self.end_arrived = True

    def read(self) -> Received | None:
        """Takes the next unread bytes or end. None if there are none."""
        if not self.unread:
            return None
        item = self.unread.popleft()
        if isinstance(item, bytes):
            self.unread_bytes -= len(item)
        return item

    def put_back(self, data: bytes) -> None:
        """Makes bytes unread again for which the process has no room."""
        self.unread.appendleft(data)
        self.unread_bytes += len(data)

    def discard_unread(self) -> None:
        """Drops unread bytes: the receiver's process reads nothing more."""
        self.unread.clear()
        self.unread_bytes = 0
