"""The key-value memory of a stand-in engine, shared by running requests and cached prompt parts.

Source: PROTOCOL, "Requests": memory is shared by running requests and cached parts; the parts unused longest
are evicted first.
"""

from collections import OrderedDict
from collections.abc import Sequence

PartKey = tuple[str, int, str]  # model, version of its weights, id of the part


class KeyValueMemory:
    """Counts the tokens that requests own and that cached parts hold.

    Attributes:
        total: capacity, tokens.
        request_tokens: tokens that belong to single requests.
        cached_tokens: tokens of cached parts.
        pinned_tokens: those of the cached parts that are in use and can't be evicted.
        parts: tokens of each cached part; the least recently used comes first.
        user_counts: how many requests use a part; parts that are not in use are absent.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.request_tokens = self.cached_tokens = self.pinned_tokens = 0
        self.parts: OrderedDict[PartKey, int] = OrderedDict()
        self.user_counts: dict[PartKey, int] = {}

    @property
    def used(self) -> int:
        """Tokens that can't be evicted."""
        return self.request_tokens + self.pinned_tokens

    def run(self, keys: Sequence[PartKey]) -> int:
        """How many of the leading parts are cached: a part after a missing one can't be used."""
        for count, key in enumerate(keys):
            if key not in self.parts:
                return count
        return len(keys)

    def fits(self, tokens: int) -> bool:
        """Whether this many tokens can be allocated, if necessary by evicting parts."""
        return self.used + tokens <= self.total

    def allocate(self, tokens: int) -> bool:
        """Allocates tokens for a request, evicting unused parts. Returns False, with nothing changed, if they
        do not fit.
        """
        if not self.fits(tokens):
            return False
        self.request_tokens += tokens
        self.evict()
        return True

    def free(self, tokens: int) -> None:
        """Frees tokens of a request."""
        self.request_tokens -= tokens

    def pin(self, key: PartKey) -> None:
        """Notes that one more request uses a cached part."""
        users = self.user_counts.get(key, 0)
        if not users:
            self.pinned_tokens += self.parts[key]
        self.user_counts[key] = users + 1
        self.parts.move_to_end(key)

    def unpin(self, key: PartKey) -> None:
        """Notes that a request no longer uses a cached part."""
        users = self.user_counts.pop(key) - 1
        if users:
            self.user_counts[key] = users
        else:
            self.pinned_tokens -= self.parts[key]
            self.parts.move_to_end(key)

    def cache_part(self, key: PartKey, tokens: int) -> None:
        """Turns tokens of a request into a cached part that the request uses. If the part is cached already,
        that one is used and the tokens are freed.
        """
        self.request_tokens -= tokens
        if key not in self.parts:
            self.parts[key] = tokens
            self.cached_tokens += tokens
        self.pin(key)
        self.evict()

    def evict(self) -> None:
        """Evicts unused parts, the least recently used first, until the memory is within its capacity."""
        while self.request_tokens + self.cached_tokens > self.total:
            key = next(key for key in self.parts if key not in self.user_counts)
            self.cached_tokens -= self.parts.pop(key)
