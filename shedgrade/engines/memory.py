"""The memory of an engine: what requests hold themselves, and the parts of prompts that are kept.

Source: PROTOCOL, "Requests": memory is shared by running requests and cached parts; the parts unused longest
give way.
"""

from collections import OrderedDict
from collections.abc import Sequence

Key = tuple[str, int, str]  # model, version of its weights, id of the part


class KeyValueMemory:
    """All counts are tokens. `own`: of requests; `kept`: of parts; `pinned`: of parts that some request uses,
    which can't give way."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.own = self.kept = self.pinned = 0
        self.parts: OrderedDict[Key, int] = OrderedDict()  # the one unused longest first
        self.users: dict[Key, int] = {}

    @property
    def used(self) -> int:
        """What can't give way."""
        return self.own + self.pinned

    def run(self, keys: Sequence[Key]) -> int:
        """How many of the first parts are kept: one behind a gap is of no use."""
        for count, key in enumerate(keys):
            if key not in self.parts:
                return count
        return len(keys)

    def fits(self, tokens: int) -> bool:
        return self.used + tokens <= self.total

    def take(self, tokens: int) -> bool:
        """For a request; parts that nobody uses give way. False, with nothing changed, if it does not fit."""
        if not self.fits(tokens):
            return False
        self.own += tokens
        self.shrink()
        return True

    def give_back(self, tokens: int) -> None:
        self.own -= tokens

    def pin(self, key: Key) -> None:
        """A request uses a part that is kept."""
        users = self.users.get(key, 0)
        if not users:
            self.pinned += self.parts[key]
        self.users[key] = users + 1
        self.parts.move_to_end(key)

    def unpin(self, key: Key) -> None:
        users = self.users.pop(key) - 1
        if users:
            self.users[key] = users
        else:
            self.pinned -= self.parts[key]
            self.parts.move_to_end(key)

    def keep(self, key: Key, tokens: int) -> None:
        """What a request held becomes a part that it uses; where another has read the same, that one is
        used, and the memory is free."""
        self.own -= tokens
        if key not in self.parts:
            self.parts[key] = tokens
            self.kept += tokens
        self.pin(key)
        self.shrink()

    def shrink(self) -> None:
        while self.own + self.kept > self.total:
            key = next(key for key in self.parts if key not in self.users)
            self.kept -= self.parts.pop(key)
