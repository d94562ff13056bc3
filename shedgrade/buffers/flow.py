"""Bytes of a long message on their way from one connection to another, bounded."""

from collections import deque
from collections.abc import Callable

SMALL = 64 * 1024  # bytes up to which a message is kept whole, and can be sent again
KEPT = 2 * SMALL  # bytes of a long one that are kept until it is certain that none are needed again
ROOM = 64 * 1024  # bytes that wait here at most: a read of the loop's, and a write of as much
PRESSED = 8 * 1024  # the same when bytes are short: slow, but it moves
PIECE = 32 * 1024  # bytes written at once


def nothing() -> None:
    pass


class Flow:
    """A queue of bytes. The source puts, and stops while it is `full`; the sink takes. Each is woken by the
    other.

    Until more than KEPT have come and some were taken, all bytes are still here: `rewind` begins anew.
    """

    def __init__(self, budget, pieces: list[bytes]) -> None:
        self.budget = budget
        self.pieces: deque[bytes] = deque()
        self.taken: list[bytes] | None = []  # what may be needed again, while all is here
        self.size = self.total = self.counted = 0
        self.ended = self.broken = self.discarding = False
        self.room: Callable[[], None] = nothing  # wakes the source
        self.news: Callable[[], None] = nothing  # wakes the sink
        self.lost: Callable[[], None] = nothing  # told once: not all bytes are here any more
        for piece in pieces:
            self.put(piece)

    def put(self, piece: bytes) -> None:
        self.total += len(piece)
        if self.discarding or self.broken:
            return
        self.pieces.append(piece)
        self.size += len(piece)
        self.count(len(piece))
        if self.taken is not None and self.taken and self.total > KEPT:
            self.let_go()
        self.news()

    def count(self, more: int) -> None:
        self.counted += more
        self.budget.bytes += more

    def let_go(self) -> None:
        """Bytes that were taken are not kept any longer."""
        if self.taken is not None:
            self.count(-sum(map(len, self.taken)))
            self.taken = None
            self.lost()

    def full(self) -> bool:
        return self.size >= (PRESSED if self.budget.pressed() else ROOM) and not (
            self.discarding or self.broken
        )

    def take(self) -> bytes:
        """Some bytes, b"" if there are none."""
        if not self.pieces:
            return b""
        piece = self.pieces.popleft()
        if len(piece) > PIECE:
            self.pieces.appendleft(piece[PIECE:])
            piece = piece[:PIECE]
        self.size -= len(piece)
        if self.taken is not None:
            self.taken.append(piece)
            if self.total > KEPT:
                self.let_go()
        else:
            self.count(-len(piece))
        self.room()
        return piece

    def rewind(self) -> bool:
        """Begins anew for another sink; False if not all bytes are here."""
        if self.taken is None:
            return False
        self.size += sum(map(len, self.taken))
        self.pieces.extendleft(reversed(self.taken))
        self.taken = []
        return True

    def end(self) -> None:
        """The last byte has come."""
        self.ended = True
        self.news()

    def break_off(self) -> None:
        """The source can't go on: the sink is to show that."""
        self.broken = True
        self.free()
        self.news()

    def discard(self) -> None:
        """Nobody takes any longer: what comes is thrown away, so that the source comes to its end."""
        self.discarding = True
        self.free()
        self.room()

    def free(self) -> None:
        self.pieces.clear()
        self.size = 0
        self.taken = None
        self.count(-self.counted)
