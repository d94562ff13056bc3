"""Deterministic assignment of upstreams to sidecars, balanced and stable: docs/design/fleet.md. No I/O.

Each sidecar computes its own subset alone, from the endpoint list, the count of sidecars and its own number.
"""

from bisect import bisect_left
from functools import lru_cache
from math import gcd
from operator import itemgetter

# Groups into which a zone's sidecars are divided; an upstream is usually assigned to one sidecar of each.
STRATA = 5


@lru_cache(1 << 12)  # each change of the list hashes the same upstreams again
def hash_pair(mark: int, salt: int) -> int:
    """Returns a 64-bit hash of two numbers; close numbers give unrelated hashes."""
    bits = (mark * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) % 2**64
    bits = (bits ^ bits >> 32) * 0xBF58476D1CE4E5B9 % 2**64
    return bits ^ bits >> 29


def dealt(ups: list, zones: int, place: int, count: int, near: float, far: float, least: int) -> set[tuple]:
    """Returns the subset of `ups` that the sidecar numbered `place` of `count` uses.

    `ups`: sorted rows (mark, size, zone, ...), those of the sidecar's own zone (`far` 0) or those of all
    other zones. `mark`: hash of the upstream's id.

    An upstream of mean size is assigned to `near` sidecars of its own zone and to `far` sidecars of the other
    zones, a larger upstream to proportionally more. Its picks go to the strata in turn: within a stratum its
    hash selects two sidecars, and the one with fewer upstreams gets it. A sidecar that has fewer than `least`
    upstreams in the end takes over upstreams of sidecars with more.
    """
    if not ups:
        return set()
    home_zone, position = place % zones, place // zones
    # Sidecars in the own zone: sidecar numbers go round the zones. `count` may be too low for `place`.
    zone_sidecars = max((count - home_zone + zones - 1) // zones, position + 1)
    strata = min(STRATA, zone_sidecars)
    stratum, size = position % strata, (zone_sidecars - position % strata + strata - 1) // strata
    # A pick is one assignment of an upstream to a sidecar. The picks of an upstream go round the cells, which
    # are the strata of one zone or the pairs of another zone and a stratum: pick k falls into the cell
    # (hash + k * step) % cells. `first_pick` is the first one that falls into this sidecar's stratum.
    cells = strata * (zones - 1 if far else 1)
    step = next(step for step in range(max(1, cells * 5 // 8), cells + 1) if gcd(step, cells) == 1)
    step_inverse, index_mask = pow(step, -1, cells) if cells > 1 else 0, (1 << (size - 1).bit_length()) - 1
    subsets, mean, pending_picks = [set[int]() for _ in range(size)], sum(up[1] for up in ups) / len(ups), []
    near, far = near / mean, far / mean
    most = max(up[1] for up in ups) * (far or near) + 1
    cell, base = stratum, stratum * (zones - 1) - 1
    for index, up in enumerate(ups):
        hash_bits = hash_pair(up[0], up[2])
        if far:
            cell = base + (home_zone - up[2]) % zones
        first_pick = (cell - (hash_bits >> 16)) * step_inverse % cells
        if first_pick < most:
            # The hash decides on rounding up; the sum of near and far is rounded rather than each.
            exact, rounding = near * up[1], hash_bits % 65536 / 65536
            picks = int((far * up[1] + (exact + rounding) % 1 if far else exact + rounding) + 1e-9)
            levels = range(min((picks - first_pick + cells - 1) // cells, size))
            pending_picks.extend((level, hash_bits + (far > 0), index) for level in levels)
    holders: list[list[int]] = [[] for _ in ups]
    # Earlier picks of all upstreams go first: a change of an upstream's last picks leaves them as they were.
    pending_picks.sort(key=itemgetter(0))
    for level, hash_bits, up in pending_picks:
        hash_bits = hash_pair(hash_bits, level)
        first_choice, second_choice = hash_bits & index_mask, hash_bits >> 32 & index_mask
        first_choice, second_choice = (
            first_choice if first_choice < size else first_choice & index_mask >> 1,
            second_choice if second_choice < size else second_choice & index_mask >> 1,
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
            # Starts at a hash of the sidecar's position: shortages of other sidecars and changes of the list
            # then change few assignments.
            salt = hash_pair((rank * strata + stratum) * zones + home_zone, least) % (ups[-1][0] + 1)
            start = bisect_left(ups, (salt,))
            order = [up for up in (*range(start, len(ups)), *range(start)) if up not in part]
            # Takes over from sidecars with more than `least`; if that is not enough, shares with other
            # sidecars.
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
