"""What the decisions learnt, between their own indices and names that hold across restarts. No I/O.

`lasting.export` gives it by index; indices, zones and kinds are this process's own. On disk stand names. What
comes back is checked as a whole: a state that is not sound, or of other zones or kinds, is left out, never
half taken.
"""

from math import isfinite

import msgspec
from msgspec import Struct


class Export(Struct, forbid_unknown_fields=True):
    """The module's form, version 1, with ids in place of indices; and the names its numbers stand for."""

    v: int
    sums: list[float]
    memory: float
    kinds: list[tuple[int, float, float]]
    windows: list[float | None]
    ups: list[tuple[str, float, float, float, float, float]]
    zones: list[str]
    shapes: list[str]
    used: list[tuple[str, int, int]] = []  # when operators put it back, when it was last sent to
    late: float = 0.0  # of older files: no longer used


def to_disk(state: dict, ids: list[str], zones: list[str], shapes: list[str]) -> dict:
    return {
        **state,
        "ups": [[ids[index], *rest] for index, *rest in state["ups"]],
        "used": [[ids[index], *rest] for index, *rest in state["used"]],
        "zones": zones,
        "shapes": shapes,
    }


def from_disk(state: dict, known: dict[str, int], zones: list[str], shapes: list[str]) -> dict | None:
    """The state for `restore`, or None if it is of no use. `known`: indices by id, of the rows in the
    list."""
    try:
        told = msgspec.convert(state, Export)
    except msgspec.ValidationError:
        return None
    if told.v != 1 or told.zones != zones or told.shapes != shapes or len(told.windows) != len(zones):
        return None
    numbers = [
        *told.sums,
        told.memory,
        told.late,
        *(window for window in told.windows if window is not None),
        *(figure for kind in told.kinds for figure in kind),
        *(figure for up in told.ups for figure in up[1:]),
    ]
    if len(told.sums) != 5 or not all(isfinite(figure) and figure >= 0 for figure in numbers):
        return None
    # What the fitted line divides by.
    if (
        told.sums[0] < 0.01
        or told.sums[1] < 0.01
        or told.sums[2] <= 0
        or told.memory < 1
        or told.late > 1
        or any(window is not None and window <= 0 for window in told.windows)
    ):
        return None
    return {
        "v": 1,
        "sums": told.sums,
        "memory": told.memory,
        "kinds": told.kinds,
        "windows": told.windows,
        "ups": [(known[name], *rest) for name, *rest in told.ups if name in known],
        "used": [(known[name], *rest) for name, *rest in told.used if name in known],
    }
