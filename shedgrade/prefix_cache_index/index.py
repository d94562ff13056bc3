"""The index as a core member keeps it: numbered, bounded, merged from edges and other members."""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

import msgspec

MAX_PAIRS = 16_384  # that are kept; the one confirmed longest ago is evicted first
PAIR_TTL_S = 60.0  # without confirmation after which an endpoint is believed to have evicted a prefix
CONFIRM_AFTER_S = 10.0  # before a pair that is known is sent again
MAX_PAIRS_PER_MESSAGE = 2_048

Pair = tuple[int, int]
"""(key of a prompt's prefix, hash of an endpoint's incarnation): that endpoint has cached that prefix."""


class PrefixIndexUpdate(msgspec.Struct, array_like=True, frozen=True, tag="record_moved"):
    """What a receiver's index lacks: from a core member to an edge within `WatchResponse`, and to another
    member that asked with `PrefixIndexRequest`.

    source: whose numbers these are, drawn anew by a core member at its start and after a reset. number: of
    the newest pair. base: the number that this is a delta to; -1: it is the full index. pairs: oldest first.
    removed: hashes of endpoints that are gone since, with all that they cached.
    """

    source: int
    number: int
    base: int
    pairs: tuple[Pair, ...] = ()
    removed: tuple[int, ...] = ()


class PrefixIndexAdditions(msgspec.Struct, array_like=True, frozen=True, tag="record_read"):
    """Pairs that the edges of one core member have seen; from that member to all others."""

    pairs: tuple[Pair, ...]


class PrefixIndexRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask_record"):
    """A core member that was cut off, or has started, asks the others for their full index."""


def prefix_key(prefix: bytes) -> int:
    """A prompt's shared prefix, as one number of 63 bits."""
    return int.from_bytes(blake2b(prefix, digest_size=8).digest(), "little") >> 1


class PrefixIndex:
    """The index of one core member.

    source: a number above 0, drawn at the start of the process; one more after each reset, since numbers then
    mean something else. number: of the newest addition or removal. is_valid: False from a cut until another
    member sent its full index, or no member has one; nothing is said by it meanwhile. pairs: oldest first,
    each with its number and when it was last confirmed. removed: by endpoint that is gone, the number of its
    removal. known_endpoints: on the platform's list; None: not known yet.
    """

    def __init__(self, source: int, is_valid: bool = True) -> None:
        self.source = source
        self.number = 0
        self.is_valid = is_valid
        self.pairs: OrderedDict[Pair, tuple[int, float]] = OrderedDict()
        self.removed: OrderedDict[int, int] = OrderedDict()
        self.known_endpoints: set[int] | None = None

    def add(self, now: float, pairs: Iterable[Pair]) -> tuple[Pair, ...]:
        """Adds what an edge, or another member, has seen. Returns those that are news, for the others."""
        added: list[Pair] = []
        for pair in pairs:
            known = self.pairs.get(pair)
            # Guards against a message that was long under way: an endpoint that is gone has cached nothing.
            is_removed = self.known_endpoints is not None and pair[1] not in self.known_endpoints
            if is_removed or (known is not None and now - known[1] < CONFIRM_AFTER_S):
                continue
            self.number += 1
            self.pairs[pair] = self.number, now
            self.pairs.move_to_end(pair)
            added.append(pair)
        self.evict(now)
        return tuple(added)

    def evict(self, now: float) -> None:
        """Drops pairs that are too old or too many."""
        while len(self.pairs) > MAX_PAIRS or (
            self.pairs and now - next(iter(self.pairs.values()))[1] > PAIR_TTL_S
        ):
            self.pairs.popitem(last=False)

    def retain_endpoints(self, endpoints: set[int]) -> None:
        """The endpoints that exist: what any other had cached is lost with it."""
        self.known_endpoints = endpoints
        for endpoint in {endpoint for _, endpoint in self.pairs} - endpoints:
            for pair in [pair for pair in self.pairs if pair[1] == endpoint]:
                del self.pairs[pair]
            self.number += 1
            self.removed[endpoint] = self.number
            if len(self.removed) > MAX_PAIRS:
                self.removed.popitem(last=False)
        for endpoint in endpoints & self.removed.keys():
            del self.removed[endpoint]  # guards against a list that lacked an entry for a moment

    def invalidate(self) -> None:
        """This member was cut off: its index may be old."""
        self.is_valid = False

    def update_since(self, source: int, number: int) -> PrefixIndexUpdate | None:
        """What a receiver at (source, number) lacks; None if that is nothing, or this index isn't valid."""
        if not self.is_valid or source < 0:
            return None
        if source != self.source or not 0 <= number <= self.number:
            number = -1
        elif number == self.number:
            return None
        pairs: list[Pair] = []
        for pair, (added_as, _) in reversed(self.pairs.items()):
            if added_as <= number or len(pairs) >= MAX_PAIRS_PER_MESSAGE:
                break
            pairs.append(pair)
        removed = tuple(endpoint for endpoint, gone_as in self.removed.items() if gone_as > number >= 0)
        return PrefixIndexUpdate(self.source, self.number, number, tuple(reversed(pairs)), removed)

    def restore(self, now: float, update: PrefixIndexUpdate) -> None:
        """Takes the full index of another member, asked for after a cut: from then on this one is valid."""
        if update.base < 0 and not self.is_valid:
            self.reset()
            self.add(now, update.pairs)

    def reset(self) -> None:
        """Starts with an empty index that is valid; receivers are sent all of it.

        Also where no member has one: all have just started, so no prefix is known to be cached anywhere.
        """
        self.pairs.clear()
        self.source += 1  # receivers that have what was numbered before are sent the full index
        self.is_valid = True
