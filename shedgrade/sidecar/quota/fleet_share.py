"""This sidecar's share of the fleet's limits, by observation. No I/O.

Each sidecar sees only its own traffic, but an upstream sees everybody's: its count, sent with each answer,
shows what part of it was ours. The mean of these parts over *all* listed upstreams, those we never use
counting as 0, is our share; over all sidecars these means add up to 1 at most, whatever zones they prefer.

Parts are taken over epochs that begin at the same wall-clock times everywhere; the share that is used is the
least of the last EPOCHS_KEPT epochs. Clocks that differ by less than an epoch have an epoch in common, whose
parts add up to 1; the least of several is no more than that one. So the fleet stays within the limit while
traffic moves from one sidecar to another, and a sidecar that gains waits EPOCHS_KEPT epochs for its share.
`even` is split by settings: it is what a sidecar without any traffic starts from.

Exchange among instances, the third way, would set `exchanged`.
"""

from msgspec import Struct

from shedgrade.sidecar.quota.limits import MILLION

EPOCHS_KEPT = 3  # one in common with clocks up to one epoch apart, and one that is not over everywhere


class UpstreamCount(Struct):
    """What one upstream has answered in all, by its own count, and what of it were answers to us."""

    epoch_start: int  # its count at the last answer of the epoch before
    latest: int
    ours: int = 0  # answers between the two that were ours


class FleetShare:
    """The share of one sidecar. Times: tenths of a millisecond of the wall clock.

    Attributes:
        epoch_length, sidecars, even: from the configuration; `even` in millionths.
        counts: by index of the upstream, those that answered in this epoch or the one before.
        upstreams: how many are listed.
        current_epoch: the number of the epoch that runs; -1 before the first look.
        parts: our part in each of the last epochs, in millionths, the newest first.
        exchanged: a part that instances agreed on, in millionths; None: by observation.
    """

    def __init__(self, epoch_length: int, sidecars: int, even: float) -> None:
        self.epoch_length = epoch_length
        self.sidecars = sidecars
        self.even = int(even * MILLION)
        self.counts: dict[int, UpstreamCount] = {}
        self.upstreams = 0
        self.current_epoch = -1
        self.parts = [0] * EPOCHS_KEPT
        self.exchanged: int | None = None

    def set_upstreams(self, upstreams: int) -> None:
        """So many upstreams are listed now."""
        self.upstreams = upstreams

    def at(self, wall: int) -> int:
        """The share from now on, in millionths."""
        epoch = wall // self.epoch_length
        if epoch != self.current_epoch:
            self.begin_epoch(epoch)
        part = min(self.parts) if self.exchanged is None else min(self.exchanged, MILLION)
        return max(1, self.even // self.sidecars + (MILLION - self.even) * part // MILLION)

    def begin_epoch(self, epoch: int) -> None:
        """Another epoch runs. After a clock that leapt or went back, what was seen over no whole epoch is no
        part, and those before are not the last ones."""
        part = self.end_epoch()
        if epoch == self.current_epoch + 1:
            self.parts = [part, *self.parts[: EPOCHS_KEPT - 1]]
        else:
            self.parts = [0] * EPOCHS_KEPT
        self.current_epoch = epoch

    def record_answer(self, upstream: int, count: int) -> None:
        """An answer of ours, with the upstream's count of all that it has answered, this one included."""
        seen = self.counts.get(upstream)
        if seen is None or count <= seen.latest:  # new, or it has restarted
            self.counts[upstream] = UpstreamCount(count, count)
        else:
            seen.latest = count
            seen.ours += 1

    def end_epoch(self) -> int:
        """Our part of the epoch that is over, in millionths; the next one begins where it ended."""
        total = 0
        for upstream, seen in list(self.counts.items()):
            answered = seen.latest - seen.epoch_start
            if answered > 0:
                total += min(MILLION, seen.ours * MILLION // answered)
                self.counts[upstream] = UpstreamCount(seen.latest, seen.latest)
            else:
                del self.counts[upstream]  # not used for an epoch: what it counts meanwhile is not compared
        return total // max(1, self.upstreams, len(self.counts))
