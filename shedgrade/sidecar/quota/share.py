"""This sidecar's part of the fleet's limits, by observation. No I/O.

Told: `answered` for each answer (which upstream, how many it has answered in all), `listed`, `at`. Decides:
the
share, in millionths.

Each sidecar sees only its own traffic, but an upstream sees everybody's: its count, told with each answer,
shows
what part of it was ours. The mean of these parts over *all* listed upstreams, those we never use counting as
0,
is our part; over all sidecars these means add up to 1 at most, whatever zones they prefer. Parts are taken
over epochs that begin at the same wall-clock times everywhere; the share that is used is the least of the
last
KEPT epochs. Clocks that differ by less than an epoch have an epoch in common, whose parts add up to 1; the
least of
several is no more than that one. So the fleet stays within the limit while traffic moves from one sidecar to
another, and a sidecar that gains waits KEPT epochs for its share. `even` is split by settings: it is what a
sidecar without any traffic starts from.

The third way, exchange among instances, would put its figure in the place of `part` (`Share.told`).
"""

MILLION = 1_000_000
KEPT = 3  # epochs: one in common with clocks up to one epoch apart, and one that is not over everywhere


class Share:
    """The share of one sidecar. Times: tenths of a millisecond of the wall clock."""

    def __init__(self, epoch: int, sidecars: int, even: float) -> None:
        self.epoch, self.sidecars = epoch, sidecars
        self.even = int(even * MILLION)
        self.seen: dict[
            int, list[int]
        ] = {}  # by upstream: its count at the last answer of the epoch before, at
        # the last one, and own answers in between
        self.upstreams = 0
        self.now = -1
        self.parts = [0] * KEPT
        self.told: int | None = None  # by exchange, where instances may talk

    def listed(self, upstreams: int) -> None:
        self.upstreams = upstreams

    def at(self, wall: int) -> int:
        """The share from now on."""
        epoch = wall // self.epoch
        if epoch != self.now:
            # Guards against a clock that leapt or went back: what was seen over no whole epoch is no part.
            self.parts = [self.close() if epoch == self.now + 1 else 0, *self.parts[: KEPT - 1]]
            if epoch != self.now + 1:
                self.parts = [0] * KEPT
                self.close()
            self.now = epoch
        part = min(self.parts) if self.told is None else min(self.told, MILLION)
        return max(1, self.even // self.sidecars + (MILLION - self.even) * part // MILLION)

    def answered(self, upstream: int, count: int) -> None:
        """An answer of ours, with the upstream's count of all that it has answered, this one included."""
        seen = self.seen.get(upstream)
        if seen is None or count <= seen[1]:  # new, or it has started anew
            self.seen[upstream] = [count, count, 0]
        else:
            seen[1] = count
            seen[2] += 1

    def close(self) -> int:
        """Our part of the epoch that is over, in millionths; the next one begins where it ended."""
        total = 0
        for upstream, (first, last, own) in list(self.seen.items()):
            if last > first:
                total += min(MILLION, own * MILLION // (last - first))
                self.seen[upstream] = [last, last, 0]
            else:
                del self.seen[upstream]  # not used for an epoch: what it counts meanwhile is not compared
        return total // max(1, self.upstreams, len(self.seen))
