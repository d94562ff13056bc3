"""Big messages go in pieces, a few at a time: heartbeats pass between them."""

from __future__ import annotations

from collections import deque

import msgspec

from shedgrade.replication import messages as m
from shedgrade.replication.messages import size

PIECE, WINDOW, PATIENCE, PARTIAL = 32_768, 4, 3.0, 3
MOST_WINDOW = 32  # pieces under way on a link that is long and wide
QUEUEING_SECONDS = 0.05  # over the shortest round trip known: what lies in queues holds up heartbeats
_encode = msgspec.msgpack.encode


def key(message) -> tuple:
    """What a message is about. One that is under way is not sent a second time."""
    if type(message) is m.Replicate:
        return m.Replicate, message.epoch, message.sequence
    if type(message) is m.Install:
        return m.Install, message.record.number
    return type(message), message.mark, getattr(message, "number", 0)


class Outgoing:
    """One message on its way. `next`: the first piece that the receiver lacks; `sent`: how many went."""

    __slots__ = (
        "message",
        "key",
        "id",
        "body",
        "count",
        "next",
        "sent",
        "resend_at",
        "moved_at",
        "wait",
        "window",
        "sent_at",
        "reached",
    )

    def __init__(self, message, id_: int):
        self.message, self.key, self.id = message, key(message), id_
        self.body: memoryview | None = None
        self.count = self.next = self.sent = 0
        self.resend_at = self.moved_at = self.wait = 0.0
        self.window, self.reached = WINDOW, 0  # `reached`: how many pieces went at least once
        self.sent_at: dict[int, float] = {}  # of pieces that went once and are not acknowledged


class Pieces:
    """For each address one transfer at a time, the others behind it in order."""

    def __init__(self, member):
        self.member = member
        self.queues: dict[str, deque[Outgoing]] = {}
        self.incoming: dict[str, dict[int, dict[int, bytes]]] = {}
        self.round_trips: dict[str, float] = {}  # address -> seconds, the shortest of a piece
        self.decoder: msgspec.msgpack.Decoder | None = None

    def wants(self, to: str, message) -> bool:
        """Big ones; and a write behind them, which must not overtake."""
        kind = type(message)
        if kind is m.Replicate and to in self.queues:
            return True
        return kind in (m.Replicate, m.Install, m.Learn, m.Transfer) and size(message.changes) > PIECE

    def send(self, now: float, to: str, message) -> None:
        queue = self.queues.setdefault(to, deque())
        about = key(message)
        if any(each.key == about for each in queue):
            return
        if about[0] is m.Learn:  # one under way, and the newest one behind it
            self.remove(queue, first=1)
        if about[0] is m.Install:  # it has all that the transfers before it were to bring
            queue.clear()
        queue.append(Outgoing(message, self.member.random.getrandbits(62)))
        if len(queue) == 1:
            self.begin(now, to, queue[0])

    def cancel_state(self, now: float, to: str) -> None:
        """Finished state on its way there is of no use: the receiver was started anew."""
        queue = self.queues.get(to)
        if queue is None:
            return
        under_way = queue[0]
        self.remove(queue)
        if not queue:
            del self.queues[to]
        elif queue[0] is not under_way:
            self.begin(now, to, queue[0])

    def remove(self, queue: deque[Outgoing], first: int = 0) -> None:
        """Finished state out of a queue, from the entry with this index on."""
        kept = [each for at, each in enumerate(queue) if at < first or each.key[0] is not m.Learn]
        queue.clear()
        queue.extend(kept)

    def begin(self, now: float, to: str, out: Outgoing) -> None:
        out.body = memoryview(_encode(out.message))
        out.count = -(-len(out.body) // PIECE)
        out.moved_at, out.wait = now, self.member.timing.resend
        self.push(now, to, out)

    def push(self, now: float, to: str, out: Outgoing) -> None:
        out.resend_at = now + out.wait
        while out.sent < min(out.count, out.next + out.window):
            at = out.sent * PIECE
            self.note_sent(now, out)
            self.member.emit(to, m.Piece(out.id, out.sent, out.count, bytes(out.body[at : at + PIECE])))
            out.sent += 1

    def ack(self, now: float, sender: str, ack: m.PieceAck) -> None:
        queue = self.queues.get(sender)
        if not queue or queue[0].id != ack.id:
            return
        out = queue[0]
        if ack.next >= out.count:
            self.end(now, sender)
        elif ack.next > out.next or ack.next == 0 < out.next:  # none: the receiver was started anew
            self.measure(now, sender, out, ack.next)
            out.sent = max(out.sent, ack.next) if ack.next > out.next else ack.next
            out.next, out.moved_at, out.wait = ack.next, now, self.member.timing.resend
            self.push(now, sender, out)

    def note_sent(self, now: float, out: Outgoing) -> None:
        """A piece that goes a second time measures nothing: its ack may be of either (Karn's algorithm)."""
        if out.sent < out.reached:
            out.sent_at.pop(out.sent, None)
        else:
            out.sent_at[out.sent], out.reached = now, out.sent + 1

    def measure(self, now: float, sender: str, out: Outgoing, acknowledged: int) -> None:
        """The window grows by what is acknowledged while round trips stay short, as TCP Vegas reckons."""
        sent_at = out.sent_at.get(acknowledged - 1)
        if sent_at is None:
            return
        round_trip = now - sent_at
        shortest = self.round_trips[sender] = min(round_trip, self.round_trips.get(sender, round_trip))
        if round_trip <= shortest + QUEUEING_SECONDS:
            out.window = min(MOST_WINDOW, out.window + acknowledged - out.next)
        else:
            out.window = max(WINDOW, out.window - 1)
        for index in range(out.next, acknowledged):
            out.sent_at.pop(index, None)

    def end(self, now: float, to: str) -> None:
        queue = self.queues[to]
        queue.popleft()
        if queue:
            self.begin(now, to, queue[0])
        else:
            del self.queues[to]

    def piece(self, now: float, sender: str, piece: m.Piece):
        """The whole message when this was the last piece of it, else None."""
        known = self.incoming.setdefault(sender, {})
        parts = known.get(piece.id)
        if parts is None:
            if len(known) >= PARTIAL:  # late pieces of an older transfer must not drop the one under way
                del known[next(iter(known))]
            parts = known[piece.id] = {}
        if len(parts) < piece.count:
            parts[piece.index] = piece.body
        lacks = next((at for at in range(piece.count) if at not in parts), piece.count)
        self.member.emit(sender, m.PieceAck(piece.id, lacks))
        if lacks < piece.count or not any(parts.values()):
            return None
        body = b"".join(parts[at] for at in range(piece.count))
        parts.update(dict.fromkeys(parts, b""))  # a piece that comes twice is acked, and handled once
        if self.decoder is None:
            self.decoder = msgspec.msgpack.Decoder(m.Message)
        return self.decoder.decode(body)

    def tick(self, now: float) -> None:
        for to, queue in list(self.queues.items()):
            out = queue[0]
            if now - out.moved_at >= PATIENCE:
                del self.queues[to]  # whoever wants it there sends it again
            elif now >= out.resend_at:
                out.window = WINDOW
                out.sent, out.wait = out.next, min(2 * out.wait, 2.0)
                out.resend_at = now + out.wait
                at = out.sent * PIECE  # a probe: the rest follows its ack
                self.member.emit(to, m.Piece(out.id, out.sent, out.count, bytes(out.body[at : at + PIECE])))
                self.note_sent(now, out)
                out.sent += 1

    def wake_at(self) -> float:
        return min((queue[0].resend_at for queue in self.queues.values()), default=float("inf"))
