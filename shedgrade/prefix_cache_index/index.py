"""The core member's side: numbered, bounded, and merged from the reports of edges and other members."""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

import msgspec

MAX_PAIRS = 16_384  # pairs that are kept; the one confirmed longest ago is evicted first
PAIR_TTL_S = 60.0  # time without confirmation after which an endpoint is believed to have evicted a prefix
CONFIRM_AFTER_S = 10.0  # time after which a known pair is sent again
MAX_PAIRS_PER_MESSAGE = 2_048

Pair = tuple[int, int]
"""(key of a prompt's prefix, hash of an endpoint's incarnation): that endpoint has cached that prefix."""


class PrefixIndexUpdate(msgspec.Struct, array_like=True, frozen=True, tag="record_moved"):
    """What a receiver's index lacks; sent by a core member to an edge within `WatchResponse`, and to another
    member that sent a `PrefixIndexRequest`.

    Attributes:
        source: identifies the numbering; a core member draws it when it starts and changes it at a reset.
        number: number of the newest addition or removal.
        base: the number that this is a delta to; -1 for a full index.
        pairs: oldest first.
        removed: hashes of endpoints that have gone since `base`, with all that they had cached.
    """

    source: int
    number: int
    base: int
    pairs: tuple[Pair, ...] = ()
    removed: tuple[int, ...] = ()


class PrefixIndexAdditions(msgspec.Struct, array_like=True, frozen=True, tag="record_read"):
    """Sends pairs that the edges of one core member observed to all other members."""

    pairs: tuple[Pair, ...]


class PrefixIndexRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask_record"):
    """Requests the full index of the other members; sent by a core member that was cut off or has started."""


def prefix_key(prefix: bytes) -> int:
    """The shared prefix of a prompt, hashed to 63 bits."""
    return int.from_bytes(blake2b(prefix, digest_size=8).digest(), "little") >> 1


class PrefixIndex:
    """The index of one core member.

    Attributes:
        source: identifies the numbering, above 0; drawn when the process starts, and increased by each reset,
            which makes earlier numbers meaningless.
        number: number of the newest addition or removal.
        is_valid: False from a cut until another member has sent its full index, or no member has one; an
            invalid index is not sent to anyone.
        pairs: (number, time of the last confirmation in s) of each pair, oldest first.
        removed: number of the removal of each endpoint that has gone.
        known_endpoints: endpoints on the platform's list; None: not known yet.
    """

    def __init__(self, source: int, is_valid: bool = True) -> None:
        self.source = source
        self.number = 0
        self.is_valid = is_valid
        self.pairs: OrderedDict[Pair, tuple[int, float]] = OrderedDict()
        self.removed: OrderedDict[int, int] = OrderedDict()
        self.known_endpoints: set[int] | None = None

    def add(self, now: float, pairs: Iterable[Pair]) -> tuple[Pair, ...]:
        """Adds pairs that an edge or another member observed. Returns those that the others lack."""
        added: list[Pair] = []
        for pair in pairs:
            known = self.pairs.get(pair)
            # Guards against a delayed message: an endpoint that has gone has cached nothing.
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
        """Removes all endpoints but these, which exist: what the others had cached is lost with them."""
        self.known_endpoints = endpoints
        for endpoint in {endpoint for _, endpoint in self.pairs} - endpoints:
            for pair in [pair for pair in self.pairs if pair[1] == endpoint]:
                del self.pairs[pair]
            self.number += 1
            self.removed[endpoint] = self.number
            if len(self.removed) > MAX_PAIRS:
                self.removed.popitem(last=False)
        for endpoint in endpoints & self.removed.keys():
            del self.removed[endpoint]  # guards against a list from which an entry was missing for a moment

    def invalidate(self) -> None:
        """Notes that this member was cut off, so that its index may be out of date."""
        self.is_valid = False

    def update_since(self, source: int, number: int) -> PrefixIndexUpdate | None:
        """The update for a receiver at (source, number); None if the receiver is up to date or this index is
        invalid.
        """
        if not self.is_valid or source < 0:
            return None
        if source != self.source or not 0 <= number <= self.number:
            number = -1
        elif number == self.number:
            return None
        pairs: list[Pair] = []
        for pair, (added_number, _) in reversed(self.pairs.items()):
            if added_number <= number or len(pairs) >= MAX_PAIRS_PER_MESSAGE:
                break
            pairs.append(pair)
        removed = tuple(
            endpoint for endpoint, removal_number in self.removed.items() if removal_number > number >= 0
        )
        return PrefixIndexUpdate(self.source, self.number, number, tuple(reversed(pairs)), removed)

    def restore(self, now: float, update: PrefixIndexUpdate) -> None:
        """Takes over the full index of another member, requested after a cut; this index is valid from then
        on.
        """
        if update.base < 0 and not self.is_valid:
            self.reset()
            self.add(now, update.pairs)

    def reset(self) -> None:
        """Starts anew with an empty, valid index, of which receivers are sent all.

        Also used if no member has a valid index: all have just started, so no prefix is known to be cached.
        """
        self.pairs.clear()
        self.source += 1  # receivers that have earlier numbers are sent the full index
        self.is_valid = True
