"""Conversion of the balancer's learned state to its stored form and back. No I/O.

`load_balancing.learned_state.export` returns the learned state (request durations, successes and failures,
concurrency limits) by the index of upstreams, zones and machine types. These indices are valid in one process
only; the stored form has names in their place, which are valid after a restart too. A stored state is checked
as a whole: one with invalid values, or of other zones or machine types, is refused.
"""

from collections.abc import Iterator
from math import isfinite
from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1
SUM_COUNT = 5  # of the regression of duration on load: two weights and three moments
MIN_SUM = 0.01  # minimum of the sums that the regression divides by


class StoredLearnedState(Struct, forbid_unknown_fields=True):
    """The learned state as stored, version 1: upstreams by id, and the names of zones and machine types.

    The names of the encoded fields are those of stored files.

    version: version of the format.
    sums: sums of the regression of duration on load.
    memory: decay time of the statistics, tenths of a ms.
    kinds: by machine type: its index, observed duration and expected duration.
    windows: concurrency limit of each zone; None for no limit.
    upstreams: observed and foreseen duration, successes, failures and their age in seconds, by id.
    zones: names of the zones.
    machine_types: names of the machine types.
    last_used: when operators reinstated an upstream, and when it was last sent a request, by id.
    late: written by older versions and not used.
    """

    version: int = msgspec.field(name="v")
    sums: list[float]
    memory: float
    kinds: list[tuple[int, float, float]]
    windows: list[float | None]
    upstreams: list[tuple[str, float, float, float, float, float]] = msgspec.field(name="ups")
    zones: list[str]
    machine_types: list[str] = msgspec.field(name="shapes")
    last_used: list[tuple[str, int, int]] = msgspec.field(name="used", default_factory=list)
    late: float = 0.0

    def values(self) -> Iterator[float]:
        """Yields all values that must be finite and not negative."""
        yield from self.sums
        yield self.memory
        yield self.late
        yield from (window for window in self.windows if window is not None)
        for kind in self.kinds:
            yield from kind
        for _, *values in self.upstreams:
            yield from values

    def is_valid(self) -> bool:
        """Returns whether the balancer can work with these values."""
        return (
            len(self.sums) == SUM_COUNT
            and all(isfinite(value) and value >= 0 for value in self.values())
            and self.sums[0] >= MIN_SUM
            and self.sums[1] >= MIN_SUM
            and self.sums[2] > 0
            and self.memory >= 1
            and self.late <= 1
            and all(window is None or window > 0 for window in self.windows)
        )


def to_disk(
    state: dict[str, Any], ids: list[str], zones: list[str], machine_types: list[str]
) -> dict[str, Any]:
    """Returns the stored form of what `learned_state.export` returned. `ids`: upstream ids by index."""
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
    """Returns a stored state in the form that `learned_state.restore` takes.

    Returns None if the state is invalid, or is of other zones or machine types. `known`: indices of the
    upstreams by id; the state of other upstreams is left out.
    """
    try:
        stored = msgspec.convert(state, StoredLearnedState)
    except msgspec.ValidationError:
        return None
    if stored.version != VERSION or stored.zones != zones or stored.machine_types != machine_types:
        return None
    if len(stored.windows) != len(zones) or not stored.is_valid():
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
