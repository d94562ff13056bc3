"""Big messages go in chunks, a few at a time: heartbeats pass between them.

One message at a time is under way to each address, with a window of unacknowledged chunks that grows and
shrinks as in TCP Vegas (Brakmo and Peterson, 1995); round trips are measured by Karn's algorithm.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple, Protocol

import msgspec

from shedgrade.replication import messages as m
from shedgrade.replication.messages import size
from shedgrade.replication.timing import Timing

CHUNK_BYTES = 32_768
MIN_WINDOW = 4  # chunks under way
MAX_WINDOW = 32  # on a link that is long and wide
MAX_QUEUEING_S = 0.05  # over the shortest round trip known: what lies in queues holds up heartbeats
TRANSFER_TIMEOUT_S = 3.0  # without progress the transfer is given up
MAX_RESEND_INTERVAL_S = 2.0  # the interval doubles up to it
MAX_PARTIAL_TRANSFERS = 3  # from one sender; the oldest is forgotten for a further one
_encode = msgspec.msgpack.encode

LongMessage = m.Replicate | m.Install | m.CatchUp | m.Transfer
CHUNKED_KINDS = (m.Replicate, m.Install, m.CatchUp, m.Transfer)


class Subject(NamedTuple):
    """What a message is about. One with the same subject that is under way is not sent a second time."""

    kind: type
    position: m.LogPosition
    number: int


class Sender(Protocol):
    """Sends single messages, unchunked."""

    random: Random
    timing: Timing

    def emit(self, address: str, message: m.Message) -> None:
        """To one link address."""


def subject(message: LongMessage) -> Subject:
    """Of a message that may go in chunks."""
    if isinstance(message, m.Replicate):
        return Subject(m.Replicate, m.LogPosition(message.epoch, message.sequence), 0)
    if isinstance(message, m.Install):
        return Subject(m.Install, m.LogPosition(0, 0), message.epoch_config.number)
    number = message.number if isinstance(message, m.Transfer) else 0
    return Subject(type(message), message.log_position, number)


class OutgoingTransfer:
    """One message on its way. Times are seconds of the steady clock.

    `message`, `subject`, `id`: what is sent. `body`: encoded, empty before its turn; `count`: of its chunks.
    `next`: the first chunk that the receiver lacks; `sent`: the next one to be sent, at least `next`;
    `highest_sent`: how many went at least once. Invariant: `next` <= `sent` <= `count`.
    `window`: how many may be unacknowledged. `sent_at`: of chunks that went once and are not acknowledged.
    `resend_at`: without an ack a chunk goes again then, and after `resend_after_s` again.
    `progress_at`: when an ack last said something new.
    """

    __slots__ = (
        "message",
        "subject",
        "id",
        "body",
        "count",
        "next",
        "sent",
        "highest_sent",
        "window",
        "sent_at",
        "resend_at",
        "resend_after_s",
        "progress_at",
    )

    def __init__(self, message: LongMessage, transfer_id: int) -> None:
        """Nothing is encoded or sent yet."""
        self.message = message
        self.subject = subject(message)
        self.id = transfer_id
        self.body: memoryview | None = None
        self.count = 0
        self.next = 0
        self.sent = 0
        self.highest_sent = 0
        self.window = MIN_WINDOW
        self.sent_at: dict[int, float] = {}
        self.resend_at = 0.0
        self.resend_after_s = 0.0
        self.progress_at = 0.0

    def begin(self, now: float, resend_after_s: float) -> None:
        """It is this message's turn."""
        self.body = memoryview(_encode(self.message))
        self.count = -(-len(self.body) // CHUNK_BYTES)
        self.progress_at = now
        self.resend_after_s = resend_after_s

    def take_chunk(self, now: float) -> m.Chunk:
        """The next chunk to be sent."""
        assert self.body is not None
        index, start = self.sent, self.sent * CHUNK_BYTES
        if index < self.highest_sent:  # sent again: its ack may be of either, and measures nothing
            self.sent_at.pop(index, None)
        else:
            self.sent_at[index] = now
            self.highest_sent = index + 1
        self.sent += 1
        return m.Chunk(self.id, index, self.count, bytes(self.body[start : start + CHUNK_BYTES]))

    def note_progress(self, now: float, acknowledged: int, resend_after_s: float) -> None:
        """The receiver has all chunks before `acknowledged`; 0: it was started anew, and has none."""
        self.sent = max(self.sent, acknowledged) if acknowledged > self.next else acknowledged
        self.next = acknowledged
        self.progress_at = now
        self.resend_after_s = resend_after_s


class ChunkedTransfers:
    """Long messages of one member, both ways.

    `queues`: by address, the message under way first, the others behind it in order; none is empty.
    `incoming`: by sender and transfer, the chunks that are here by index; empty bodies once it is complete.
    `round_trips`: by address, the shortest of a chunk in seconds.
    """

    def __init__(self, sender: Sender) -> None:
        """`sender` takes each chunk."""
        self.sender = sender
        self.queues: dict[str, deque[OutgoingTransfer]] = {}
        self.incoming: dict[str, dict[int, dict[int, bytes]]] = {}
        self.round_trips: dict[str, float] = {}
        self.decoder: msgspec.msgpack.Decoder[m.Message] | None = None

    # --- out

    def needs_chunking(self, to: str, message: m.Message) -> bool:
        """Whether it is long; or a write behind a long one, which must not overtake."""
        if isinstance(message, m.Replicate) and to in self.queues:
            return True
        return isinstance(message, CHUNKED_KINDS) and size(message.changes) > CHUNK_BYTES

    def send(self, now: float, to: str, message: m.Message) -> None:
        """Queue a message for which `needs_chunking` is true."""
        assert isinstance(message, CHUNKED_KINDS)
        queue = self.queues.setdefault(to, deque())
        about = subject(message)
        if any(each.subject == about for each in queue):
            return
        if about.kind is m.CatchUp:  # one under way, and the newest one behind it
            self.remove_catch_ups(queue, first=1)
        if about.kind is m.Install:  # it has all that the transfers before it were to bring
            queue.clear()
        queue.append(OutgoingTransfer(message, self.sender.random.getrandbits(62)))
        if len(queue) == 1:
            self.begin(now, to, queue[0])

    def cancel_state(self, now: float, to: str) -> None:
        """Committed state on its way there is of no use: the receiver was started anew."""
        queue = self.queues.get(to)
        if queue is None:
            return
        under_way = queue[0]
        self.remove_catch_ups(queue)
        if not queue:
            del self.queues[to]
        elif queue[0] is not under_way:
            self.begin(now, to, queue[0])

    def remove_catch_ups(self, queue: deque[OutgoingTransfer], first: int = 0) -> None:
        """Committed state out of a queue, from the entry with this index on."""
        kept = [each for at, each in enumerate(queue) if at < first or each.subject.kind is not m.CatchUp]
        queue.clear()
        queue.extend(kept)

    def begin(self, now: float, to: str, transfer: OutgoingTransfer) -> None:
        """The first chunks of the message whose turn it is."""
        transfer.begin(now, self.sender.timing.resend_interval_s)
        self.push(now, to, transfer)

    def push(self, now: float, to: str, transfer: OutgoingTransfer) -> None:
        """As many chunks as the window lets through."""
        transfer.resend_at = now + transfer.resend_after_s
        while transfer.sent < min(transfer.count, transfer.next + transfer.window):
            self.sender.emit(to, transfer.take_chunk(now))

    def on_chunk_ack(self, now: float, sender: str, ack: m.ChunkAck) -> None:
        """The receiver tells what it lacks."""
        queue = self.queues.get(sender)
        if not queue or queue[0].id != ack.id:
            return
        transfer = queue[0]
        if ack.next >= transfer.count:
            self.end(now, sender)
        elif ack.next > transfer.next or ack.next == 0 < transfer.next:
            self.measure(now, sender, transfer, ack.next)
            transfer.note_progress(now, ack.next, self.sender.timing.resend_interval_s)
            self.push(now, sender, transfer)

    def measure(self, now: float, to: str, transfer: OutgoingTransfer, acknowledged: int) -> None:
        """The window grows by what is acknowledged while round trips stay short."""
        sent_at = transfer.sent_at.get(acknowledged - 1)
        if sent_at is None:
            return
        round_trip = now - sent_at
        shortest = self.round_trips[to] = min(round_trip, self.round_trips.get(to, round_trip))
        if round_trip <= shortest + MAX_QUEUEING_S:
            transfer.window = min(MAX_WINDOW, transfer.window + acknowledged - transfer.next)
        else:
            transfer.window = max(MIN_WINDOW, transfer.window - 1)
        for index in range(transfer.next, acknowledged):
            transfer.sent_at.pop(index, None)

    def end(self, now: float, to: str) -> None:
        """The receiver has the message: the next one begins."""
        queue = self.queues[to]
        queue.popleft()
        if queue:
            self.begin(now, to, queue[0])
        else:
            del self.queues[to]

    # --- in

    def on_chunk(self, now: float, sender: str, chunk: m.Chunk) -> m.Message | None:
        """The whole message when this was the last chunk of it, else None."""
        parts = self.parts_of(sender, chunk.id)
        if len(parts) < chunk.count:
            parts[chunk.index] = chunk.body
        missing = next((index for index in range(chunk.count) if index not in parts), chunk.count)
        self.sender.emit(sender, m.ChunkAck(chunk.id, missing))
        if missing < chunk.count or not any(parts.values()):
            return None
        body = b"".join(parts[index] for index in range(chunk.count))
        parts.update(dict.fromkeys(parts, b""))  # a chunk that comes twice is acked, and handled once
        if self.decoder is None:
            self.decoder = msgspec.msgpack.Decoder(m.Message)
        return self.decoder.decode(body)

    def parts_of(self, sender: str, transfer_id: int) -> dict[int, bytes]:
        """The chunks of a transfer that are here."""
        known = self.incoming.setdefault(sender, {})
        parts = known.get(transfer_id)
        if parts is None:
            # several are kept: late chunks of an older transfer must not drop the one under way
            if len(known) >= MAX_PARTIAL_TRANSFERS:
                del known[next(iter(known))]
            parts = known[transfer_id] = {}
        return parts

    # --- time

    def tick(self, now: float) -> None:
        """Give up what makes no progress, probe what was not acknowledged."""
        for to, queue in list(self.queues.items()):
            transfer = queue[0]
            if now - transfer.progress_at >= TRANSFER_TIMEOUT_S:
                del self.queues[to]  # whoever wants it there sends it again
            elif now >= transfer.resend_at:
                transfer.window = MIN_WINDOW
                transfer.sent = transfer.next
                transfer.resend_after_s = min(2 * transfer.resend_after_s, MAX_RESEND_INTERVAL_S)
                transfer.resend_at = now + transfer.resend_after_s
                self.sender.emit(to, transfer.take_chunk(now))  # a probe: the rest follows its ack

    def wake_at(self) -> float:
        """When `tick` has something to do."""
        return min((queue[0].resend_at for queue in self.queues.values()), default=float("inf"))
