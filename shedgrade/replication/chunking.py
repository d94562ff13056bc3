"""Sends long messages in chunks, a few at a time, so that heartbeats can pass between them.

One message at a time is in transit to each address, with a window of unacknowledged chunks that grows and
shrinks as in TCP Vegas (Brakmo and Peterson, 1995). Round trips are measured by Karn's algorithm.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple, Protocol

import msgspec

from shedgrade.replication import messages as m
from shedgrade.replication.messages import value_bytes
from shedgrade.replication.timing import Timing

CHUNK_BYTES = 32_768
MIN_WINDOW = 4  # chunks in transit
MAX_WINDOW = 32  # chunks in transit, on a link of long delay and high bandwidth
MAX_QUEUEING_S = 0.05  # queueing delay above the shortest round trip; queued chunks delay heartbeats
TRANSFER_TIMEOUT_S = 3.0  # a transfer without progress for this long is abandoned
MAX_RESEND_INTERVAL_S = 2.0  # upper bound of the exponential backoff
MAX_PARTIAL_TRANSFERS = 3  # incomplete transfers kept per sender; a further one replaces the oldest
_encode = msgspec.msgpack.encode

LongMessage = m.Replicate | m.Install | m.CatchUp | m.Transfer
CHUNKED_KINDS = (m.Replicate, m.Install, m.CatchUp, m.Transfer)


class Subject(NamedTuple):
    """Identifies the content of a message. A message with the same subject as a queued one is not queued."""

    kind: type
    position: m.LogPosition
    number: int


class Sender(Protocol):
    """Sends single messages without chunking."""

    random: Random
    timing: Timing

    def emit(self, address: str, message: m.Message) -> None:
        """Sends a message to one link address."""


def subject(message: LongMessage) -> Subject:
    """Returns the subject of a message that may be sent in chunks."""
    if isinstance(message, m.Replicate):
        return Subject(m.Replicate, m.LogPosition(message.epoch, message.sequence), 0)
    if isinstance(message, m.Install):
        return Subject(m.Install, m.LogPosition(0, 0), message.epoch_config.number)
    number = message.number if isinstance(message, m.Transfer) else 0
    return Subject(type(message), message.log_position, number)


class OutgoingTransfer:
    """One message that is queued or in transit. Times are seconds of the steady clock.

    `message`: the message.
    `subject`: identifies the content of `message`, so that the same content is not queued twice.
    `id`: random number of the transfer.
    `body`: the encoded message, None until the transfer begins.
    `count`: number of chunks of `body`.
    `next`: index of the first chunk that the receiver lacks.
    `sent`: index of the next chunk to be sent; goes back to `next` when chunks are sent again.
    Invariant: `next` <= `sent` <= `count`.
    `first_unsent`: index of the first chunk that was never sent; above `sent` while chunks are sent again.
    `window`: maximum number of unacknowledged chunks.
    `sent_at`: when each chunk was sent, for chunks sent exactly once and not acknowledged.
    `resend_at`: when a chunk is sent again as a probe, if no ack arrives before.
    `resend_after_s`: current resend interval in seconds; doubles with each probe.
    `progress_at`: when an ack last acknowledged something new.
    """

    __slots__ = (
        "message",
        "subject",
        "id",
        "body",
        "count",
        "next",
        "sent",
        "first_unsent",
        "window",
        "sent_at",
        "resend_at",
        "resend_after_s",
        "progress_at",
    )

    def __init__(self, message: LongMessage, transfer_id: int) -> None:
        """Encodes and sends nothing yet."""
        self.message = message
        self.subject = subject(message)
        self.id = transfer_id
        self.body: memoryview | None = None
        self.count = 0
        self.next = 0
        self.sent = 0
        self.first_unsent = 0
        self.window = MIN_WINDOW
        self.sent_at: dict[int, float] = {}
        self.resend_at = 0.0
        self.resend_after_s = 0.0
        self.progress_at = 0.0

    def begin(self, now: float, resend_after_s: float) -> None:
        """Encodes the message. Called when the transfer is the first in its queue.

        `resend_after_s`: the resend interval in seconds until the first probe.
        """
        self.body = memoryview(_encode(self.message))
        self.count = -(-len(self.body) // CHUNK_BYTES)
        self.progress_at = now
        self.resend_after_s = resend_after_s

    def next_chunk(self, now: float) -> m.Chunk:
        """Returns the next chunk to be sent."""
        assert self.body is not None
        index, start = self.sent, self.sent * CHUNK_BYTES
        if index < self.first_unsent:  # sent again: its ack may be of either copy, so it is not measured
            self.sent_at.pop(index, None)
        else:
            self.sent_at[index] = now
            self.first_unsent = index + 1
        self.sent += 1
        return m.Chunk(self.id, index, self.count, bytes(self.body[start : start + CHUNK_BYTES]))

    def note_progress(self, now: float, acknowledged: int, resend_after_s: float) -> None:
        """Records that the receiver has all chunks before `acknowledged`; 0 if it restarted and has none."""
        self.sent = max(self.sent, acknowledged) if acknowledged > self.next else acknowledged
        self.next = acknowledged
        self.progress_at = now
        self.resend_after_s = resend_after_s


class ChunkedTransfers:
    """Chunked transfers of one member, in both directions.

    `queues`: by address, the message in transit and those queued behind it, in order; none is empty.
    `incoming`: by sender and transfer, the chunks received by index; their bodies are empty once the message
    is complete.
    `round_trips`: by address, the shortest round trip of a chunk in seconds.
    """

    def __init__(self, sender: Sender) -> None:
        """`sender`: sends each chunk."""
        self.sender = sender
        self.queues: dict[str, deque[OutgoingTransfer]] = {}
        self.incoming: dict[str, dict[int, dict[int, bytes]]] = {}
        self.round_trips: dict[str, float] = {}
        self.decoder: msgspec.msgpack.Decoder[m.Message] | None = None

    # --- outgoing

    def needs_chunking(self, address: str, message: m.Message) -> bool:
        """Whether the message is long, or a write that must not overtake a long message."""
        if isinstance(message, m.Replicate) and address in self.queues:
            return True
        return isinstance(message, CHUNKED_KINDS) and value_bytes(message.changes) > CHUNK_BYTES

    def send(self, now: float, address: str, message: m.Message) -> None:
        """Queues a message for which `needs_chunking` is true."""
        assert isinstance(message, CHUNKED_KINDS)
        queue = self.queues.setdefault(address, deque())
        message_subject = subject(message)
        if any(each.subject == message_subject for each in queue):
            return
        if message_subject.kind is m.CatchUp:  # keep the one in transit, and only the newest one behind it
            self.remove_catch_ups(queue, first=1)
        if message_subject.kind is m.Install:  # contains all that the queued transfers would bring
            queue.clear()
        queue.append(OutgoingTransfer(message, self.sender.random.getrandbits(62)))
        if len(queue) == 1:
            self.begin(now, address, queue[0])

    def cancel_catch_ups(self, now: float, address: str) -> None:
        """Removes committed state from the queue: the receiver restarted and cannot use it."""
        queue = self.queues.get(address)
        if queue is None:
            return
        current = queue[0]
        self.remove_catch_ups(queue)
        if not queue:
            del self.queues[address]
        elif queue[0] is not current:
            self.begin(now, address, queue[0])

    def remove_catch_ups(self, queue: deque[OutgoingTransfer], first: int = 0) -> None:
        """Removes committed state from a queue, from the entry with index `first` on."""
        kept = [
            each for index, each in enumerate(queue) if index < first or each.subject.kind is not m.CatchUp
        ]
        queue.clear()
        queue.extend(kept)

    def begin(self, now: float, address: str, transfer: OutgoingTransfer) -> None:
        """Begins a transfer and sends its first chunks."""
        transfer.begin(now, self.sender.timing.resend_interval_s)
        self.send_window(now, address, transfer)

    def send_window(self, now: float, address: str, transfer: OutgoingTransfer) -> None:
        """Sends as many chunks as the window allows."""
        transfer.resend_at = now + transfer.resend_after_s
        while transfer.sent < min(transfer.count, transfer.next + transfer.window):
            self.sender.emit(address, transfer.next_chunk(now))

    def on_chunk_ack(self, now: float, sender: str, ack: m.ChunkAck) -> None:
        """Sends the chunks that the ack makes room for, or begins the next transfer."""
        queue = self.queues.get(sender)
        if not queue or queue[0].id != ack.id:
            return
        transfer = queue[0]
        if ack.next >= transfer.count:
            self.end(now, sender)
        elif ack.next > transfer.next or ack.next == 0 < transfer.next:
            self.update_window(now, sender, transfer, ack.next)
            transfer.note_progress(now, ack.next, self.sender.timing.resend_interval_s)
            self.send_window(now, sender, transfer)

    def update_window(self, now: float, address: str, transfer: OutgoingTransfer, acknowledged: int) -> None:
        """Grows the window by the chunks acknowledged while round trips are short, else shrinks it by one."""
        sent_at = transfer.sent_at.get(acknowledged - 1)
        if sent_at is None:
            return
        round_trip = now - sent_at
        shortest = self.round_trips[address] = min(round_trip, self.round_trips.get(address, round_trip))
        if round_trip <= shortest + MAX_QUEUEING_S:
            transfer.window = min(MAX_WINDOW, transfer.window + acknowledged - transfer.next)
        else:
            transfer.window = max(MIN_WINDOW, transfer.window - 1)
        for index in range(transfer.next, acknowledged):
            transfer.sent_at.pop(index, None)

    def end(self, now: float, address: str) -> None:
        """Ends a transfer that the receiver has completely, and begins the next one."""
        queue = self.queues[address]
        queue.popleft()
        if queue:
            self.begin(now, address, queue[0])
        else:
            del self.queues[address]

    # --- incoming

    def on_chunk(self, now: float, sender: str, chunk: m.Chunk) -> m.Message | None:
        """Acknowledges a chunk. Returns the whole message if this chunk completes it, else None."""
        chunks = self.received_chunks(sender, chunk.id)
        if len(chunks) < chunk.count:
            chunks[chunk.index] = chunk.body
        missing = next((index for index in range(chunk.count) if index not in chunks), chunk.count)
        self.sender.emit(sender, m.ChunkAck(chunk.id, missing))
        if missing < chunk.count or not any(chunks.values()):
            return None
        body = b"".join(chunks[index] for index in range(chunk.count))
        chunks.update(dict.fromkeys(chunks, b""))  # acknowledge duplicates, but return the message only once
        if self.decoder is None:
            self.decoder = msgspec.msgpack.Decoder(m.Message)
        return self.decoder.decode(body)

    def received_chunks(self, sender: str, transfer_id: int) -> dict[int, bytes]:
        """Returns the chunks received of a transfer, by index."""
        transfers = self.incoming.setdefault(sender, {})
        chunks = transfers.get(transfer_id)
        if chunks is None:
            # several transfers are kept, so that late chunks of an older one don't drop the current one
            if len(transfers) >= MAX_PARTIAL_TRANSFERS:
                del transfers[next(iter(transfers))]
            chunks = transfers[transfer_id] = {}
        return chunks

    # --- time

    def tick(self, now: float) -> None:
        """Abandons transfers without progress, and sends a probe chunk for those without an ack."""
        for address, queue in list(self.queues.items()):
            transfer = queue[0]
            if now - transfer.progress_at >= TRANSFER_TIMEOUT_S:
                del self.queues[address]  # the message is sent again if the receiver still lacks it
            elif now >= transfer.resend_at:
                transfer.window = MIN_WINDOW
                transfer.sent = transfer.next
                transfer.resend_after_s = min(2 * transfer.resend_after_s, MAX_RESEND_INTERVAL_S)
                transfer.resend_at = now + transfer.resend_after_s
                # a probe; the rest follows once it is acknowledged
                self.sender.emit(address, transfer.next_chunk(now))

    def wake_at(self) -> float:
        """Returns when `tick` has something to do."""
        return min((queue[0].resend_at for queue in self.queues.values()), default=float("inf"))
