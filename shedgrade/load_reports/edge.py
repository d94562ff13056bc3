"""An edge's side: when it reports its own loads, and what it believes of the others'."""

from shedgrade.load_reports.messages import LoadReport, Loads, LoadUpdate

INTERVAL = 0.1  # s between two looks at what changed: a long prompt is read for two or three of them
WHOLE_INTERVAL = 1.0  # s between two whole reports, by which lost words are made good
HEARTBEAT = 0.5  # s between two reports at the most, also where nothing changed
MANY = 128  # loads of others beyond which whole reports, and so whole answers, grow rarer
IDLE_AFTER = 10.0  # s without a request in flight after which nothing is reported or asked for
STALE_AFTER = 0.6  # s without a word after which others' loads are unknown


class LoadReporter:
    """Makes the reports of one edge."""

    def __init__(self, edge: str, near: str) -> None:
        self.edge, self.near = edge, near
        self.told: Loads = {}  # as the member knows them
        self.to: str | None = None  # the member's address
        self.whole_at = self.sent_at = self.busy_at = float("-inf")

    def report(self, now: float, to: str, loads: Loads, known: int = 0) -> LoadReport | None:
        """What the member at `to` is to be told now; None if nothing. `known`: others' loads that are held
        here."""
        if loads:
            self.busy_at = now
        if now - self.busy_at > IDLE_AFTER and not self.told:
            self.to = None
            return None
        before, self.told = self.told, loads
        if to != self.to or now - self.whole_at >= WHOLE_INTERVAL * max(1.0, known / MANY):
            self.to, self.whole_at, self.sent_at = to, now, now
            return LoadReport(self.edge, self.near, loads, True)
        changed = {mark: load for mark, load in loads.items() if load != before.get(mark)}
        changed.update(dict.fromkeys(before.keys() - loads.keys(), 0))
        if not changed and now - self.sent_at < HEARTBEAT:
            return None
        self.sent_at = now
        return LoadReport(self.edge, self.near, changed)


class PeerLoads:
    """What other edges have in flight, as the core told it lately."""

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.heard_at = float("-inf")

    def take(self, now: float, told: LoadUpdate) -> None:
        if told.whole or now - self.heard_at > STALE_AFTER:
            self.loads = {}
        self.heard_at = now
        self.loads.update(told.loads)
        for mark in [mark for mark, load in told.loads.items() if load <= 0]:
            del self.loads[mark]

    def forget_if_stale(self, now: float) -> bool:
        """Whether there was something to forget."""
        if not self.loads or now - self.heard_at <= STALE_AFTER:
            return False
        self.loads = {}
        return True
