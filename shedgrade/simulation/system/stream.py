"""One direction of a simulated TCP connection.

Bytes wait at the sender, travel in segments through a window, lie unread in the receiver's buffer and are
read by its process, which may be stopped meanwhile. Ends of a direction (FIN, RST) travel and wait in line
with the bytes, as what was received before a reset can still be read.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from shedgrade.simulation.system.segment import SEGMENT, Segment

if TYPE_CHECKING:
    from shedgrade.simulation.system.tcp import Connection, Endpoint


class Stream:
    """One direction of a connection."""

    def __init__(self, connection: Connection, sender: Endpoint, receiver: Endpoint) -> None:
        self.connection, self.sender, self.receiver = connection, sender, receiver
        self.network, self.time = connection.network, connection.network.time
        self.queue: deque = deque()  # not yet sent
        self.queued = 0  # bytes of it
        self.flight: deque[Segment] = deque()  # sent and not known to have come, in order
        self.in_flight = 0
        self.held: list[Segment] = []  # arrived at a cut
        self.last_arrival = 0.0
        self.unread: deque = deque()  # at the receiver
        self.unread_bytes = 0
        self.ended = False  # a FIN or RESET is queued: nothing follows
        self.push_due = False
        self.end_came = False  # the receiver's kernel knows that nothing follows

    # --- the sender's side

    def put(self, data) -> None:
        if self.ended:
            return
        self.queue.append(data)
        if type(data) is bytes:
            self.queued += len(data)
        else:
            self.ended = True
        self.push()

    def outstanding(self) -> int:
        """Bytes that the sender's kernel or process still holds."""
        self.settle()
        return self.queued + self.in_flight

    def settle(self) -> None:
        now, flight = self.time.now, self.flight
        while flight and flight[0].acknowledged_at <= now:
            self.in_flight -= flight.popleft().size

    def push(self) -> None:
        """Sends what the window lets through."""
        self.settle()
        while self.queue:
            data = self.queue[0]
            if type(data) is bytes:
                room = self.network.window - self.in_flight - self.unread_bytes
                if room <= 0:
                    break
                size = min(room, SEGMENT)
                if len(data) > size:
                    self.queue[0] = data[size:]
                    data = data[:size]
                else:
                    self.queue.popleft()
                self.queued -= len(data)
            else:
                self.queue.popleft()
            segment = Segment(data, self.time.now)
            self.flight.append(segment)
            self.in_flight += segment.size
            self.transmit(segment)
        if self.queue or self.sender.waits_for_room:
            self.push_later()
        self.sender.drained()

    def push_later(self) -> None:
        """Looks again when the next acknowledgement comes. Without one in sight there is nothing to do: an
        arrival, a read or the end of a cut will push."""
        at = self.flight[0].acknowledged_at if self.flight else float("inf")
        if at != float("inf") and not self.push_due:
            self.push_due = True
            self.time.at(at, self.pushed)

    def pushed(self) -> None:
        self.push_due = False
        if not self.connection.over:
            self.push()

    def transmit(self, segment: Segment, more_s: float = 0.0) -> None:
        sender, receiver = self.sender.host, self.receiver.host
        if self.held or self.network.blocked(sender, receiver):
            self.held.append(segment)
            return
        depart = self.time.now + more_s
        if sender.bandwidth:
            depart = max(depart, sender.busy_until) + (segment.size + 60) / sender.bandwidth
            sender.busy_until = depart
        arrival = depart + self.network.delay(sender, receiver, self.connection.random)
        self.last_arrival = max(arrival, self.last_arrival)
        self.time.at(self.last_arrival, self.arrive, segment)

    def drop(self) -> None:
        """What the sender's kernel holds is lost."""
        self.queue.clear()
        self.held.clear()
        self.queued = 0

    # --- the way

    def arrive(self, segment: Segment) -> None:
        sender, receiver = self.sender.host, self.receiver.host
        if self.held or self.network.blocked(sender, receiver):
            if not self.sender.dead_silent:
                self.held.append(segment)
            return
        if not receiver.powered or (self.receiver.dead_silent and not receiver.powered):
            return
        segment.delivered = True
        if not self.network.blocked(receiver, sender):
            back = self.network.delay(receiver, sender, self.connection.random)
            segment.acknowledged_at = self.time.now + back
            if self.queue or self.sender.waits_for_room:
                self.push_later()
        if self.network.on_segment is not None and type(segment.data) is bytes:
            self.network.on_segment(sender.ip, receiver.ip, segment.data)
        self.receiver.received(self, segment.data)

    def joined(self) -> None:
        """The way of this direction is open again."""
        held, self.held = self.held, []
        if held and not self.sender.dead_silent:
            again = self.connection.random.random() * 0.3
            for segment in held:
                self.transmit(segment, again)

    def way_back_joined(self) -> None:
        now = self.time.now
        for segment in self.flight:
            if segment.delivered and segment.acknowledged_at == float("inf"):
                segment.acknowledged_at = now + self.connection.random.random() * 0.3
        if self.queue or self.sender.waits_for_room:
            self.push_later()

    def unacknowledged_since(self) -> float | None:
        self.settle()
        return self.flight[0].sent_at if self.flight else None

    # --- the receiver's process

    def read(self) -> object | None:
        """The next bytes or end that lie unread."""
        if not self.unread:
            return None
        data = self.unread.popleft()
        if type(data) is bytes:
            self.unread_bytes -= len(data)
        return data

    def put_back(self, data: bytes) -> None:
        self.unread.appendleft(data)
        self.unread_bytes += len(data)
