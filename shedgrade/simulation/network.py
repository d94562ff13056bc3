"""Links between machines: delay by region, loss, doubling, reordering, cuts one way or both."""

from __future__ import annotations

from shedgrade.replication.messages import Chunk, size


def bulk(message) -> int:
    """Bytes of a message, where they count."""
    if type(message) is Chunk:
        return len(message.body)
    changes = getattr(message, "changes", None)
    return size(changes) if changes else 0


class Network:
    """`deliver(sender, to, message)` is called for what arrives.

    A cut is silent: what is sent into it is lost, or held up and comes when the cut ends (an open
    connection)."""

    def __init__(
        self,
        clock,
        random,
        deliver,
        *,
        between: float,
        within: float = 0.001,
        loss: float = 0.0,
        doubled: float = 0.0,
        jitter: float = 0.1,
        held_up: float = 0.3,
        bandwidth: float = 0.0,
    ):
        self.clock, self.random, self.deliver = clock, random, deliver
        self.between, self.within, self.loss, self.doubled = between, within, loss, doubled
        self.jitter, self.held_up = jitter, held_up
        self.region: dict[str, str] = {}
        self.cuts: dict[tuple[str, str], int] = {}
        self.late: dict[tuple[str, str], list] = {}
        self.slow: dict[str, float] = {}
        self.newest: dict[tuple[str, str], float] = {}
        self.bandwidth = bandwidth  # bytes a second on each link, 0: endless
        self.busy: dict[tuple[str, str], float] = {}
        self.ambush = None  # called with each message that is sent

    def cut(self, sender: str, to: str) -> None:
        self.cuts[sender, to] = self.cuts.get((sender, to), 0) + 1

    def join(self, sender: str, to: str) -> None:
        left = self.cuts.get((sender, to), 0) - 1
        if left > 0:
            self.cuts[sender, to] = left
            return
        self.cuts.pop((sender, to), None)
        for message in self.late.pop((sender, to), ()):
            self.clock.after(self.random.random() * 0.3, self.arrive, sender, to, message)

    def reset(self, address: str) -> None:
        """The power of a machine is lost: what a cut held up of it is gone."""
        for pair in [pair for pair in self.late if pair[0] == address]:
            del self.late[pair]

    def send(self, sender: str, to: str, message) -> None:
        if self.ambush is not None:
            self.ambush(sender, to, message)
        chance = self.random.random
        if (sender, to) in self.cuts:
            if chance() < self.held_up:
                self.late.setdefault((sender, to), []).append(message)
            return
        if self.loss and chance() < self.loss:
            return
        delay = self.within if self.region.get(sender) == self.region.get(to) else self.between
        delay *= 1 + self.jitter * chance()
        delay += self.slow.get(sender, 0.0) + self.slow.get(to, 0.0) + 0.0005
        big = bulk(message) if self.bandwidth else 0
        if big:  # what follows on the same connection waits
            free = max(self.busy.get((sender, to), 0.0), self.clock.now) + big / self.bandwidth
            self.busy[sender, to] = free
        arrival = max(self.clock.now, self.busy.get((sender, to), 0.0)) + delay
        if chance() > 0.02:  # a connection keeps the order; a new one may overtake the old
            arrival = max(arrival, self.newest.get((sender, to), 0.0))
        self.newest[sender, to] = arrival
        self.clock.at(arrival, self.arrive, sender, to, message)
        if self.doubled and chance() < self.doubled:
            self.clock.at(arrival + chance(), self.arrive, sender, to, message)

    def arrive(self, sender: str, to: str, message) -> None:
        if (sender, to) not in self.cuts:
            self.deliver(sender, to, message)
