"""Big messages go in chunks, a few at a time: heartbeats pass between them."""

from __future__ import annotations

from collections import deque

import msgspec

from shedgrade.replication import messages as m
from shedgrade.replication.messages import size

CHUNK_BYTES, MIN_WINDOW, TRANSFER_TIMEOUT_S, MAX_PARTIAL_TRANSFERS = 32_768, 4, 3.0, 3
MAX_WINDOW = 32  # chunks under way on a link that is long and wide
MAX_QUEUEING_S = 0.05  # over the shortest round trip known: what lies in queues holds up heartbeats
_encode = msgspec.msgpack.encode


def key(message) -> tuple:
    """What a message is about. One that is under way is not sent a second time."""
    if type(message) is m.Replicate:
        return m.Replicate, message.epoch, message.sequence
    if type(message) is m.Install:
        return m.Install, message.epoch_config.number
    return type(message), message.log_position, getattr(message, "number", 0)


class OutgoingTransfer:
    """One message on its way. `next`: the first chunk that the receiver lacks; `sent`: how many went."""

    __slots__ = (
        "message",
        "key",
        "id",
        "body",
        "count",
        "next",
        "sent",
        "resend_at",
        "progress_at",
        "resend_after_s",
        "window",
        "sent_at",
        "highest_sent",
    )

    def __init__(self, message, id_: int):
        self.message, self.key, self.id = message, key(message), id_
        self.body: memoryview | None = None
        self.count = self.next = self.sent = 0
        self.resend_at = self.progress_at = self.resend_after_s = 0.0
        self.window, self.highest_sent = MIN_WINDOW, 0  # `highest_sent`: how many chunks went at least once
        self.sent_at: dict[int, float] = {}  # of chunks that went once and are not acknowledged


class ChunkedTransfers:
    """For each address one transfer at a time, the others behind it in order."""

    def __init__(self, member):
        self.member = member
        self.queues: dict[str, deque[OutgoingTransfer]] = {}
        self.incoming: dict[str, dict[int, dict[int, bytes]]] = {}
        self.round_trips: dict[str, float] = {}  # address -> seconds, the shortest of a chunk
        self.decoder: msgspec.msgpack.Decoder | None = None

    def needs_chunking(self, to: str, message) -> bool:
        """Big ones; and a write behind them, which must not overtake."""
        kind = type(message)
        if kind is m.Replicate and to in self.queues:
            return True
        return kind in (m.Replicate, m.Install, m.CatchUp, m.Transfer) and size(message.changes) > CHUNK_BYTES

    def send(self, now: float, to: str, message) -> None:
        queue = self.queues.setdefault(to, deque())
        about = key(message)
        if any(each.key == about for each in queue):
            return
        if about[0] is m.CatchUp:  # one under way, and the newest one behind it
            self.remove(queue, first=1)
        if about[0] is m.Install:  # it has all that the transfers before it were to bring
            queue.clear()
        queue.append(OutgoingTransfer(message, self.member.random.getrandbits(62)))
        if len(queue) == 1:
            self.begin(now, to, queue[0])

    def cancel_state(self, now: float, to: str) -> None:
        """Committed state on its way there is of no use: the receiver was started anew."""
        queue = self.queues.get(to)
        if queue is None:
            return
        under_way = queue[0]
        self.remove(queue)
        if not queue:
            del self.queues[to]
        elif queue[0] is not under_way:
            self.begin(now, to, queue[0])

    def remove(self, queue: deque[OutgoingTransfer], first: int = 0) -> None:
        """Committed state out of a queue, from the entry with this index on."""
        kept = [each for at, each in enumerate(queue) if at < first or each.key[0] is not m.CatchUp]
        queue.clear()
        queue.extend(kept)

    def begin(self, now: float, to: str, out: OutgoingTransfer) -> None:
        out.body = memoryview(_encode(out.message))
        out.count = -(-len(out.body) // CHUNK_BYTES)
        out.progress_at, out.resend_after_s = now, self.member.timing.resend_interval_s
        self.push(now, to, out)

    def push(self, now: float, to: str, out: OutgoingTransfer) -> None:
        out.resend_at = now + out.resend_after_s
        while out.sent < min(out.count, out.next + out.window):
            at = out.sent * CHUNK_BYTES
            self.note_sent(now, out)
            self.member.emit(to, m.Chunk(out.id, out.sent, out.count, bytes(out.body[at : at + CHUNK_BYTES])))
            out.sent += 1

    def on_chunk_ack(self, now: float, sender: str, ack: m.ChunkAck) -> None:
        queue = self.queues.get(sender)
        if not queue or queue[0].id != ack.id:
            return
        out = queue[0]
        if ack.next >= out.count:
            self.end(now, sender)
        elif ack.next > out.next or ack.next == 0 < out.next:  # none: the receiver was started anew
            self.measure(now, sender, out, ack.next)
            out.sent = max(out.sent, ack.next) if ack.next > out.next else ack.next
            out.next, out.progress_at, out.resend_after_s = (
                ack.next,
                now,
                self.member.timing.resend_interval_s,
            )
            self.push(now, sender, out)

    def note_sent(self, now: float, out: OutgoingTransfer) -> None:
        """A chunk that goes a second time measures nothing: its ack may be of either (Karn's algorithm)."""
        if out.sent < out.highest_sent:
            out.sent_at.pop(out.sent, None)
        else:
            out.sent_at[out.sent], out.highest_sent = now, out.sent + 1

    def measure(self, now: float, sender: str, out: OutgoingTransfer, acknowledged: int) -> None:
        """The window grows by what is acknowledged while round trips stay short, as TCP Vegas reckons."""
        sent_at = out.sent_at.get(acknowledged - 1)
        if sent_at is None:
            return
        round_trip = now - sent_at
        shortest = self.round_trips[sender] = min(round_trip, self.round_trips.get(sender, round_trip))
        if round_trip <= shortest + MAX_QUEUEING_S:
            out.window = min(MAX_WINDOW, out.window + acknowledged - out.next)
        else:
            out.window = max(MIN_WINDOW, out.window - 1)
        for index in range(out.next, acknowledged):
            out.sent_at.pop(index, None)

    def end(self, now: float, to: str) -> None:
        queue = self.queues[to]
        queue.popleft()
        if queue:
            self.begin(now, to, queue[0])
        else:
            del self.queues[to]

    def on_chunk(self, now: float, sender: str, chunk: m.Chunk):
        """The whole message when this was the last chunk of it, else None."""
        known = self.incoming.setdefault(sender, {})
        parts = known.get(chunk.id)
        if parts is None:
            if (
                len(known) >= MAX_PARTIAL_TRANSFERS
            ):  # late chunks of an older transfer must not drop the one under way
                del known[next(iter(known))]
            parts = known[chunk.id] = {}
        if len(parts) < chunk.count:
            parts[chunk.index] = chunk.body
        lacks = next((at for at in range(chunk.count) if at not in parts), chunk.count)
        self.member.emit(sender, m.ChunkAck(chunk.id, lacks))
        if lacks < chunk.count or not any(parts.values()):
            return None
        body = b"".join(parts[at] for at in range(chunk.count))
        parts.update(dict.fromkeys(parts, b""))  # a chunk that comes twice is acked, and handled once
        if self.decoder is None:
            self.decoder = msgspec.msgpack.Decoder(m.Message)
        return self.decoder.decode(body)

    def tick(self, now: float) -> None:
        for to, queue in list(self.queues.items()):
            out = queue[0]
            if now - out.progress_at >= TRANSFER_TIMEOUT_S:
                del self.queues[to]  # whoever wants it there sends it again
            elif now >= out.resend_at:
                out.window = MIN_WINDOW
                out.sent, out.resend_after_s = out.next, min(2 * out.resend_after_s, 2.0)
                out.resend_at = now + out.resend_after_s
                at = out.sent * CHUNK_BYTES  # a probe: the rest follows its ack
                self.member.emit(
                    to, m.Chunk(out.id, out.sent, out.count, bytes(out.body[at : at + CHUNK_BYTES]))
                )
                self.note_sent(now, out)
                out.sent += 1

    def wake_at(self) -> float:
        return min((queue[0].resend_at for queue in self.queues.values()), default=float("inf"))
