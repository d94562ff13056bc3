"""Deterministic assignment of upstreams to sidecars, balanced and stable: docs/design/fleet.md. No I/O.

Each sidecar computes its own subset alone, from what all of them know: the list, their count, its number.
"""

from bisect import bisect_left
from functools import lru_cache
from math import gcd
from operator import itemgetter

STRATA = 5  # groups of a zone's sidecars; at the usual coverage an upstream takes one sidecar of each


@lru_cache(1 << 12)  # the same upstreams are assigned again at each change
def mixed(mark: int, salt: int) -> int:
    """Returns a 64-bit hash; close marks or salts give unrelated values."""
    bits = (mark * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) % 2**64
    bits = (bits ^ bits >> 32) * 0xBF58476D1CE4E5B9 % 2**64
    return bits ^ bits >> 29


def dealt(ups: list, zones: int, place: int, count: int, near: float, far: float, least: int) -> set[tuple]:
    """Returns the subset of `ups` that the sidecar numbered `place` of `count` uses.

    `ups`: sorted rows (mark, size, zone, ...), those of its own zone (`far` 0) or those of all other zones.

    Each upstream takes `near` sidecars of its zone and `far` of the others, in proportion to its size: in
    each stratum the one with fewer upstreams of two that its hash selects. Then sidecars with fewer than
    `least` take one from a sidecar with more.
    """
    if not ups:
        return set()
    home, turn = place % zones, place // zones
    # Sidecars of its zone, by the count or its own number; numbers go round the zones.
    mine = max((count - home + zones - 1) // zones, turn + 1)
    strata = min(STRATA, mine)
    stratum, size = turn % strata, (mine - turn % strata + strata - 1) // strata
    cells = strata * (zones - 1 if far else 1)
    step = next(step for step in range(max(1, cells * 5 // 8), cells + 1) if gcd(step, cells) == 1)
    back, half = pow(step, -1, cells) if cells > 1 else 0, (1 << (size - 1).bit_length()) - 1
    kept, mean, todo = [set[int]() for _ in range(size)], sum(up[1] for up in ups) / len(ups), []
    near, far = near / mean, far / mean
    most = max(up[1] for up in ups) * (far or near) + 1
    cell, base = stratum, stratum * (zones - 1) - 1
    for index, up in enumerate(ups):
        bits = mixed(up[0], up[2])
        if far:
            cell = base + (home - up[2]) % zones
        first = (cell - (bits >> 16)) * back % cells  # the first pick that falls into this stratum
        if first < most:
            own, luck = near * up[1], bits % 65536 / 65536  # near and far are rounded together
            picks = int((far * up[1] + (own + luck) % 1 if far else own + luck) + 1e-9)
            levels = range(min((picks - first + cells - 1) // cells, size))
            todo.extend((level, bits + (far > 0), index) for level in levels)
    holders: list[list[int]] = [[] for _ in ups]
    todo.sort(key=itemgetter(0))  # by level: a change of the last picks leaves the earlier ones as they were
    for level, bits, up in todo:
        bits = mixed(bits, level)
        one, other = bits & half, bits >> 32 & half
        one, other = one if one < size else one & half >> 1, other if other < size else other & half >> 1
        if up in kept[one] or (len(kept[other]) < len(kept[one]) and up not in kept[other]):
            one = other
        if up not in kept[one]:
            kept[one].add(up)
            holders[up].append(one)
    for rank, part in enumerate(kept):
        if len(part) < min(least, len(ups)):
            # From a position of its own, by mark: shortages elsewhere and list changes move few upstreams.
            salt = mixed((rank * strata + stratum) * zones + home, least) % (ups[-1][0] + 1)
            start = bisect_left(ups, (salt,))
            order = [up for up in (*range(start, len(ups)), *range(start)) if up not in part]
            for sharing in (
                False,
                True,
            ):  # from a sidecar with more; if there is none, shared with the holders
                for up in order:
                    over = next((other for other in holders[up] if len(kept[other]) > least), None)
                    if len(part) < least and up not in part and (sharing or over is not None):
                        if not sharing:
                            kept[over].remove(up)
                            holders[up].remove(over)
                        part.add(up)
                        holders[up].append(rank)
                    if len(part) >= least:
                        break
    return {ups[up] for up in kept[turn // strata]}
