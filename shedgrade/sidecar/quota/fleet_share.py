"""This sidecar's share of the fleet's limits, computed from the observed traffic. No I/O.

Each sidecar sees only its own traffic, but an upstream sees that of all sidecars: its count, sent with each
answer, shows which part of its answers went to this sidecar. The mean of these parts over *all* upstreams in
the endpoint list, with 0 for those that this sidecar never uses, is its share; over all sidecars these means
add up to 1 at most, whichever zones they prefer.

Parts are taken over epochs that begin at the same wall-clock times everywhere; the share in use is the
minimum of the last EPOCHS_KEPT epochs. Sidecars whose clocks differ by less than an epoch have an epoch in
common, whose parts add up to 1 at most, and the minimum does not exceed the part in that epoch. So the fleet
stays within the limit while traffic moves from one sidecar to another, and a sidecar that gains traffic waits
EPOCHS_KEPT epochs for its larger share. The part `even_part` is split evenly by configuration: a sidecar
without traffic starts from it.

A protocol by which sidecars agree on shares would set `agreed_part`; nothing sets it so far.
"""

from msgspec import Struct

from shedgrade.sidecar.quota.limits import MILLION

EPOCHS_KEPT = 3  # one in common with clocks up to one epoch apart, and one that is not over on all sidecars


class UpstreamCount(Struct):
    """Answers of one upstream: to all sidecars, by the upstream's own count, and to this sidecar."""

    epoch_start: int  # the upstream's count at the last answer of the previous epoch
    latest: int  # the upstream's count at the latest answer
    own_answers: int = 0  # answers to this sidecar after the one at `epoch_start`


class FleetShare:
    """The share of one sidecar. Times are in tenths of a millisecond of the wall clock.

    Attributes:
        epoch_length, sidecar_count, even_part: from the configuration; `even_part` in millionths.
        counts: by index of the upstream, for upstreams that answered in this epoch or the previous one.
        upstream_count: the number of upstreams in the endpoint list.
        current_epoch: the number of the current epoch; -1 before the first call of `share_at`.
        parts: this sidecar's part of the answers in each of the last epochs, in millionths, the newest first.
        agreed_part: a part that sidecars agreed on, in millionths; None to use the observed `parts`.
    """

    def __init__(self, epoch_length: int, sidecar_count: int, even_part: float) -> None:
        self.epoch_length = epoch_length
        self.sidecar_count = sidecar_count
        self.even_part = int(even_part * MILLION)
        self.counts: dict[int, UpstreamCount] = {}
        self.upstream_count = 0
        self.current_epoch = -1
        self.parts = [0] * EPOCHS_KEPT
        self.agreed_part: int | None = None

    def set_upstreams(self, upstream_count: int) -> None:
        """Sets the number of upstreams in the endpoint list, over which the parts are averaged."""
        self.upstream_count = upstream_count

    def share_at(self, wall_time: int) -> int:
        """Returns the share from this time on, in millionths; begins a new epoch if the last one is over."""
        epoch = wall_time // self.epoch_length
        if epoch != self.current_epoch:
            self.begin_epoch(epoch)
        part = min(self.parts) if self.agreed_part is None else min(self.agreed_part, MILLION)
        return max(1, self.even_part // self.sidecar_count + (MILLION - self.even_part) * part // MILLION)

    def begin_epoch(self, epoch: int) -> None:
        """Begins another epoch.

        After a clock that jumped ahead or went back, all parts are 0: the last answers cover no whole epoch,
        and the parts before are not of the latest epochs.
        """
        part = self.end_epoch()
        if epoch == self.current_epoch + 1:
            self.parts = [part, *self.parts[: EPOCHS_KEPT - 1]]
        else:
            self.parts = [0] * EPOCHS_KEPT
        self.current_epoch = epoch

    def record_answer(self, upstream: int, count: int) -> None:
        """Records an answer to this sidecar. `count`: all answers of the upstream, this one included."""
        counter = self.counts.get(upstream)
        if counter is None or count <= counter.latest:  # a new upstream, or one that has restarted
            self.counts[upstream] = UpstreamCount(count, count)
        else:
            counter.latest = count
            counter.own_answers += 1

    def end_epoch(self) -> int:
        """Returns this sidecar's part in the epoch that ends, in millionths, and resets the counts."""
        total = 0
        for upstream, counter in list(self.counts.items()):
            answered = counter.latest - counter.epoch_start
            if answered > 0:
                total += min(MILLION, counter.own_answers * MILLION // answered)
                self.counts[upstream] = UpstreamCount(counter.latest, counter.latest)
            else:
                # After an epoch without an answer, the count is not compared with later ones.
                del self.counts[upstream]
        return total // max(1, self.upstream_count, len(self.counts))
