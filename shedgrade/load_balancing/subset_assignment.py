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
    home_zone, position = place % zones, place // zones
    # Sidecars of its zone, by the count or its own number; numbers go round the zones.
    zone_sidecars = max((count - home_zone + zones - 1) // zones, position + 1)
    strata = min(STRATA, zone_sidecars)
    stratum, size = position % strata, (zone_sidecars - position % strata + strata - 1) // strata
    cells = strata * (zones - 1 if far else 1)
    step = next(step for step in range(max(1, cells * 5 // 8), cells + 1) if gcd(step, cells) == 1)
    back, half = pow(step, -1, cells) if cells > 1 else 0, (1 << (size - 1).bit_length()) - 1
    subsets, mean, pending_picks = [set[int]() for _ in range(size)], sum(up[1] for up in ups) / len(ups), []
    near, far = near / mean, far / mean
    most = max(up[1] for up in ups) * (far or near) + 1
    cell, base = stratum, stratum * (zones - 1) - 1
    for index, up in enumerate(ups):
        bits = mixed(up[0], up[2])
        if far:
            cell = base + (home_zone - up[2]) % zones
        first = (cell - (bits >> 16)) * back % cells  # the first pick that falls into this stratum
        if first < most:
            exact, rounding = near * up[1], bits % 65536 / 65536  # near and far are rounded together
            picks = int((far * up[1] + (exact + rounding) % 1 if far else exact + rounding) + 1e-9)
            levels = range(min((picks - first + cells - 1) // cells, size))
            pending_picks.extend((level, bits + (far > 0), index) for level in levels)
    holders: list[list[int]] = [[] for _ in ups]
    # By level: a change of the last picks leaves the earlier ones as they were.
    pending_picks.sort(key=itemgetter(0))
    for level, bits, up in pending_picks:
        bits = mixed(bits, level)
        first_choice, second_choice = bits & half, bits >> 32 & half
        first_choice, second_choice = (
            first_choice if first_choice < size else first_choice & half >> 1,
            second_choice if second_choice < size else second_choice & half >> 1,
        )
        if up in subsets[first_choice] or (
            len(subsets[second_choice]) < len(subsets[first_choice]) and up not in subsets[second_choice]
        ):
            first_choice = second_choice
        if up not in subsets[first_choice]:
            subsets[first_choice].add(up)
            holders[up].append(first_choice)
    for rank, part in enumerate(subsets):
        if len(part) < min(least, len(ups)):
            # From a position of its own, by mark: shortages elsewhere and list changes move few upstreams.
            salt = mixed((rank * strata + stratum) * zones + home_zone, least) % (ups[-1][0] + 1)
            start = bisect_left(ups, (salt,))
            order = [up for up in (*range(start, len(ups)), *range(start)) if up not in part]
            # First from a sidecar with more than `least`; if there is none, shared with the holders.
            for sharing in (False, True):
                for up in order:
                    donor = next((other for other in holders[up] if len(subsets[other]) > least), None)
                    if len(part) < least and up not in part and (sharing or donor is not None):
                        if not sharing:
                            subsets[donor].remove(up)
                            holders[up].remove(donor)
                        part.add(up)
                        holders[up].append(rank)
                    if len(part) >= least:
                        break
    return {ups[up] for up in subsets[position // strata]}
