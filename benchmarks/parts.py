"""Measures the assignment of subsets: `python benchmarks/parts.py [SIDECARSxUPSTREAMS ...]`.

Three zones of equal size; the sidecars are numbered over the zones in turn, and connections have a price. The
subset of every sidecar is computed. A line per size shows:

- sidecars per upstream: minimum, mean and maximum, with their coefficient of variation
- new connections after one upstream more, one less, or 5% more sidecars, among the sidecars that were there:
  for upstreams in multiples of m, one upstream's share of all connections; for sidecars as a share of all
- the minimum number of upstreams of a sidecar's own zone in its subset
- the time of one assignment
"""

import sys
import time
from hashlib import blake2b
from pathlib import Path
from statistics import fmean, pstdev

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from shedgrade import load_balancing
from shedgrade.lab.decisions import settings

SIZES = ("12x12", "50x40", "200x100", "200x200", "1000x200", "2000x400")
ZONES = 3


def rows(upstreams: int, size=lambda number: 1.0) -> list[tuple]:
    """Returns the rows of an endpoint list; each has the hash of its id."""
    marks = [int.from_bytes(blake2b(b"s%d" % number, digest_size=4).digest()) for number in range(upstreams)]
    return [
        (number, number % ZONES, load_balancing.READY, 0, 0, marks[number], size(number), 0)
        for number in range(upstreams)
    ]


def subsets(sidecars: int, endpoint_rows: list[tuple], numbers: range | None = None) -> list[set[int]]:
    """Returns the subset of each sidecar, as upstream indices."""
    conf, assigned = settings(ZONES), []
    balancer = load_balancing.Balancer({**conf, "balancers": sidecars, "prices": {"handshake": 0.08}}, 1, 0)
    balancer.list_changed(0, endpoint_rows, True, True)
    for number in numbers or range(sidecars):
        balancer.own_zone, balancer.sidecar_number = number % ZONES, number
        balancer.assign_subset()
        assigned.append({up.index for zone in balancer.zones for up in zone.subset})
    return assigned


def new_share(before: list[set], after: list[set]) -> float:
    return sum(len(new - old) for old, new in zip(before, after, strict=False)) / sum(map(len, before))


def figures(sidecars: int, upstreams: int) -> str:
    endpoint_rows = rows(upstreams + 1)
    assigned = subsets(sidecars, endpoint_rows[:upstreams])
    counts = [sum(number in part for part in assigned) for number in range(upstreams)]
    more, fewer = subsets(sidecars, endpoint_rows), subsets(sidecars, endpoint_rows[1:upstreams])
    grown = subsets(max(sidecars + 1, round(sidecars * 1.05)), endpoint_rows[:upstreams], range(sidecars))
    own = min(sum(up % ZONES == number % ZONES for up in part) for number, part in enumerate(assigned))
    conf = {**settings(ZONES), "balancers": sidecars, "prices": {"handshake": 0.08}}
    balancer = load_balancing.Balancer(conf, 1, 0)
    balancer.list_changed(0, endpoint_rows, True, True)
    begun = time.perf_counter()
    for _ in range(5):
        balancer.assign_subset()
    took = (time.perf_counter() - begun) / 5 * 1e3
    return (
        f"{sidecars} x {upstreams}: {min(counts)}, {fmean(counts):.1f}, {max(counts)} sidecars per upstream, "
        f"variation {pstdev(counts) / fmean(counts):.3f}, max/mean {max(counts) / fmean(counts):.2f}; "
        f"one upstream more moves {new_share(assigned, more) * upstreams:.1f} m, "
        f"one less {new_share(assigned, fewer) * upstreams:.1f} m, "
        f"5% more sidecars {new_share(assigned, grown):.3f}; own zone at least {own}; {took:.1f} ms"
    )


if __name__ == "__main__":
    for shape in sys.argv[1:] or SIZES:
        print(figures(*map(int, shape.split("x"))), flush=True)
