"""What the balancer learned, between its own indices and names that hold across restarts. No I/O.

`load_balancing.learned_state.export` gives it by index; indices, zones and machine types are this process's
own. On disk stand names. What comes back is checked as a whole: a state that is not sound, or of other zones
or machine types, is left out, never half taken.
"""

from collections.abc import Iterator
from math import isfinite
from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1
SUMS = 5  # of the line fitted through times by load: two weights and three moments
LEAST_SUM = 0.01  # of what the fitted line divides by


class StoredLearnedState(Struct, forbid_unknown_fields=True):
    """The balancer's form, version 1, with ids in place of indices, and the names its numbers stand for.
    Keys are those of the files."""

    version: int = msgspec.field(name="v")
    sums: list[float]
    memory: float
    kinds: list[tuple[int, float, float]]
    windows: list[float | None]  # by zone
    upstreams: list[tuple[str, float, float, float, float, float]] = msgspec.field(name="ups")
    zones: list[str]
    machine_types: list[str] = msgspec.field(name="shapes")
    # By upstream: when operators put it back, when it was last sent to.
    last_used: list[tuple[str, int, int]] = msgspec.field(name="used", default_factory=list)
    late: float = 0.0  # of older files: no longer used

    def numbers(self) -> Iterator[float]:
        """All that have to be finite and not negative."""
        yield from self.sums
        yield self.memory
        yield self.late
        yield from (window for window in self.windows if window is not None)
        for kind in self.kinds:
            yield from kind
        for _, *figures in self.upstreams:
            yield from figures

    def is_sound(self) -> bool:
        """Whether the balancer can go on with these numbers."""
        return (
            len(self.sums) == SUMS
            and all(isfinite(number) and number >= 0 for number in self.numbers())
            and self.sums[0] >= LEAST_SUM
            and self.sums[1] >= LEAST_SUM
            and self.sums[2] > 0
            and self.memory >= 1
            and self.late <= 1
            and all(window is None or window > 0 for window in self.windows)
        )


def to_disk(
    state: dict[str, Any], ids: list[str], zones: list[str], machine_types: list[str]
) -> dict[str, Any]:
    """The balancer's export as it is stored. `ids`: by index of the upstream."""
    return {
        **state,
        "ups": [[ids[index], *rest] for index, *rest in state["ups"]],
        "used": [[ids[index], *rest] for index, *rest in state["used"]],
        "zones": zones,
        "shapes": machine_types,
    }


def from_disk(
    state: dict[str, Any], known: dict[str, int], zones: list[str], machine_types: list[str]
) -> dict[str, Any] | None:
    """The state for `learned_state.restore`, or None if it is of no use. `known`: indices by id, of the
    upstreams in the list."""
    try:
        stored = msgspec.convert(state, StoredLearnedState)
    except msgspec.ValidationError:
        return None
    if stored.version != VERSION or stored.zones != zones or stored.machine_types != machine_types:
        return None
    if len(stored.windows) != len(zones) or not stored.is_sound():
        return None
    return {
        "v": VERSION,
        "sums": stored.sums,
        "memory": stored.memory,
        "kinds": stored.kinds,
        "windows": stored.windows,
        "ups": [(known[name], *rest) for name, *rest in stored.upstreams if name in known],
        "used": [(known[name], *rest) for name, *rest in stored.last_used if name in known],
    }
