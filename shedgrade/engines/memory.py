"""The memory of an engine: what requests hold themselves, and the parts of prompts that are kept.

Source: PROTOCOL, "Requests": memory is shared by running requests and cached parts; the parts unused longest
give way.
"""

from collections import OrderedDict
from collections.abc import Sequence

PartKey = tuple[str, int, str]  # model, version of its weights, id of the part


class KeyValueMemory:
    """All counts are tokens. `own`: of requests; `kept`: of parts; `pinned`: of parts that some request uses,
    which can't give way."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.request_tokens = self.cached_tokens = self.pinned_tokens = 0
        self.parts: OrderedDict[PartKey, int] = OrderedDict()  # the one unused longest first
        self.user_counts: dict[PartKey, int] = {}

    @property
    def used(self) -> int:
        """What can't give way."""
        return self.request_tokens + self.pinned_tokens

    def run(self, keys: Sequence[PartKey]) -> int:
        """How many of the first parts are kept: one behind a gap is of no use."""
        for count, key in enumerate(keys):
            if key not in self.parts:
                return count
        return len(keys)

    def fits(self, tokens: int) -> bool:
        return self.used + tokens <= self.total

    def allocate(self, tokens: int) -> bool:
        """For a request; parts that nobody uses give way. False, with nothing changed, if it does not fit."""
        if not self.fits(tokens):
            return False
        self.request_tokens += tokens
        self.evict()
        return True

    def free(self, tokens: int) -> None:
        self.request_tokens -= tokens

    def pin(self, key: PartKey) -> None:
        """A request uses a part that is kept."""
        users = self.user_counts.get(key, 0)
        if not users:
            self.pinned_tokens += self.parts[key]
        self.user_counts[key] = users + 1
        self.parts.move_to_end(key)

    def unpin(self, key: PartKey) -> None:
        users = self.user_counts.pop(key) - 1
        if users:
            self.user_counts[key] = users
        else:
            self.pinned_tokens -= self.parts[key]
            self.parts.move_to_end(key)

    def cache_part(self, key: PartKey, tokens: int) -> None:
        """What a request held becomes a part that it uses; where another has read the same, that one is
        used, and the memory is free."""
        self.request_tokens -= tokens
        if key not in self.parts:
            self.parts[key] = tokens
            self.cached_tokens += tokens
        self.pin(key)
        self.evict()

    def evict(self) -> None:
        while self.request_tokens + self.cached_tokens > self.total:
            key = next(key for key in self.parts if key not in self.user_counts)
            self.cached_tokens -= self.parts.pop(key)
