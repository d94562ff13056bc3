"""The record as a core member keeps it: numbered, bounded, merged from edges and other members."""

from collections import OrderedDict
from hashlib import blake2b

import msgspec

MOST = 16_384  # pairs that are kept; the one confirmed longest ago is the first to go
STALE = 60.0  # s without a word after which an upstream is held to have let a prompt's parts go
ONCE_MORE = 10.0  # s before a pair that is known is told again
LONGEST = 2_048  # pairs in one message
Pair = tuple[int, int]  # (key of a prompt's shared parts, mark of an upstream's incarnation)


class PrefixIndexUpdate(msgspec.Struct, array_like=True, frozen=True, tag="record_moved"):
    """Pairs that were read since `base`, or all if `base` is -1. `source`: of the numbers, a life of one core
    member; `number`: of the last of them. `gone`: marks of upstreams that hold nothing any more."""

    source: int
    number: int
    base: int
    pairs: tuple[Pair, ...] = ()
    gone: tuple[int, ...] = ()


class PrefixIndexAdditions(msgspec.Struct, array_like=True, frozen=True, tag="record_read"):
    """What the edges of one core member have seen read, for the others."""

    pairs: tuple[Pair, ...]


class PrefixIndexRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask_record"):
    """A core member that was cut off, or has started, asks another for all that it holds."""


def key_of(parts: bytes) -> int:
    """A prompt's shared parts, as one number of 63 bits."""
    return int.from_bytes(blake2b(parts, digest_size=8).digest(), "little") >> 1


class PrefixIndex:
    """`source`: a number drawn at the start of the process, above 0. `true` is False from a cut until another
    member has told all that it holds, or nobody has anything to tell: nothing is said by it meanwhile."""

    def __init__(self, source: int, true: bool = True) -> None:
        self.source, self.number, self.true = source, 0, true
        self.pairs: OrderedDict[Pair, tuple[int, float]] = OrderedDict()  # by number, and when it was read
        self.gone: OrderedDict[int, int] = OrderedDict()  # by mark: its number
        self.alive: set[int] | None = None  # marks on the platform's list; None: it is not known yet

    def read(self, now: float, pairs) -> tuple[Pair, ...]:
        """What an edge, or another member, has seen read. Returns those that are news, for the others."""
        news = []
        for key, mark in pairs:
            known = self.pairs.get((key, mark))
            # Guards against a word that was long under way: who is not on the list holds nothing.
            if (self.alive is not None and mark not in self.alive) or (
                known is not None and now - known[1] < ONCE_MORE
            ):
                continue
            self.number += 1
            self.pairs[key, mark] = self.number, now
            self.pairs.move_to_end((key, mark))
            news.append((key, mark))
        while len(self.pairs) > MOST or (self.pairs and now - next(iter(self.pairs.values()))[1] > STALE):
            self.pairs.popitem(last=False)
        return tuple(news)

    def listed(self, marks: set[int]) -> None:
        """The incarnations that exist: what any other held is lost with it."""
        self.alive = marks
        for mark in {mark for _, mark in self.pairs} - marks:
            for pair in [pair for pair in self.pairs if pair[1] == mark]:
                del self.pairs[pair]
            self.number += 1
            self.gone[mark] = self.number
            if len(self.gone) > MOST:
                self.gone.popitem(last=False)
        for mark in marks & self.gone.keys():
            del self.gone[mark]  # guards against a list that lacked an entry for a moment

    def cut(self) -> None:
        """This member was cut off: what it holds may be old."""
        self.true = False

    def since(self, source: int, number: int) -> PrefixIndexUpdate | None:
        """What one that holds (source, number) lacks; None if that is nothing, or this record is not true."""
        if not self.true or source < 0:
            return None
        if source != self.source or not 0 <= number <= self.number:
            number = -1
        elif number == self.number:
            return None
        pairs = []
        for pair, (at, _) in reversed(self.pairs.items()):
            if at <= number or len(pairs) >= LONGEST:
                break
            pairs.append(pair)
        gone = tuple(mark for mark, at in self.gone.items() if at > number >= 0)
        return PrefixIndexUpdate(self.source, self.number, number, tuple(reversed(pairs)), gone)

    def take(self, now: float, told: PrefixIndexUpdate) -> None:
        """All that another member holds, asked for after a cut: from then on this record is true."""
        if told.base < 0 and not self.true:
            self.pairs.clear()
            self.source += 1  # edges that hold what was numbered before are told all of it
            self.read(now, told.pairs)
            self.true = True

    def nobody(self) -> None:
        """No member has anything to tell: all have just started, so nothing is held to be kept anywhere."""
        self.pairs.clear()
        self.source += 1
        self.true = True
