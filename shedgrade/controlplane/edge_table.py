"""The edges that core members heard of lately, merged from what each member has heard itself. No I/O.

An edge's watch request is its heartbeat. Times are seconds of this process's steady clock.
"""

from collections.abc import Iterable
from math import inf

import msgspec

from shedgrade.control_messages import CLOSED, EdgeObservation, EdgeObservations, EdgeRecord, EdgeStatus

LISTED_GRACE_S = 0.5  # beyond its wait, after which an edge is not listed
COUNTED_GRACE_S = 3.0  # beyond its wait, in which an edge still counts: shares dealt by a low count add up
REFRESH_INTERVAL_S = 0.1  # between two looks at all edges: each response carries their count
FORGET_AFTER_S = 30.0  # after which nothing is known of an edge
SHUTDOWN_REMEMBERED_S = 10.0  # in which a later stage of a shutdown overrides what others heard earlier


class HeardEdge:
    """An edge as it was last heard: by this member (`own`) or by another; it may be silent for `wait` s."""

    __slots__ = ("edge", "at", "wait", "own")

    def __init__(self, edge: EdgeStatus, at: float, wait: float, own: bool) -> None:
        self.edge = edge
        self.at = at
        self.wait = wait
        self.own = own


class ShutdownStage(msgspec.Struct, frozen=True):
    """The stage of the shutdown of one incarnation of an edge: heard first at `since`, and last at `at`."""

    incarnation: int
    shutdown_stage: int
    since: float
    at: float

    @classmethod
    def after(cls, before: "ShutdownStage | None", edge: EdgeStatus, at: float) -> "ShutdownStage":
        """`before`: what was known of the edge's shutdown until now."""
        since = at
        if before is not None and before.incarnation == edge.incarnation:
            since = before.since if before.shutdown_stage == edge.shutdown_stage else at
        return cls(edge.incarnation, edge.shutdown_stage, since, at)


class EdgeListing(msgspec.Struct, frozen=True):
    """The edges that were listed `at` that time."""

    at: float
    edges: tuple[EdgeRecord, ...]


class EdgeCount(msgspec.Struct, frozen=True):
    """How many edges counted `at` that time."""

    at: float
    edges: int


class EdgeTable:
    """The edges by name.

    Attributes:
        exchange_interval_s: between two reports of another member on its edges, which are late by so much.
        records: the newest word of each edge; none older than FORGET_AFTER_S after `forget`.
        shutdown_stages: of edges that shut down; the stage of one incarnation never falls while it is kept.
        disconnected_at: when an edge's connection ended; older word from other members is ignored.
        own_version: grows when an edge that is heard here changes its incarnation or state; never falls.
        listing: the result of `listed`, until it is too old or an edge changes.
        counting: the result of `count`, until it is too old.
    """

    def __init__(self, exchange_interval_s: float) -> None:
        self.exchange_interval_s = exchange_interval_s
        self.records: dict[str, HeardEdge] = {}
        self.shutdown_stages: dict[str, ShutdownStage] = {}
        self.disconnected_at: dict[str, float] = {}
        self.own_version = 0
        self.listing: EdgeListing | None = None
        self.counting: EdgeCount | None = None

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other."""
        for name, record in self.records.items():
            assert record.edge.name == name, f"{name} is recorded as {record.edge.name}"
            stage = self.shutdown_stages.get(name)
            if stage is not None and stage.incarnation == record.edge.incarnation:
                assert record.edge.shutdown_stage >= stage.shutdown_stage, f"{name} went back in its shutdown"
        for name, stage in self.shutdown_stages.items():
            assert stage.since <= stage.at, f"{name} was in its stage before it was first heard there"

    def update(self, record: HeardEdge) -> None:
        """Takes word of an edge, unless newer is known."""
        name = record.edge.name
        # Guards against word that was long under way, and would bring back who has left or is gone.
        stage = self.shutdown_stages.get(name)
        known = self.records.get(name)
        if (
            (
                stage is not None
                and stage.incarnation == record.edge.incarnation
                and record.edge.shutdown_stage < stage.shutdown_stage
            )
            or (not record.own and record.at <= self.disconnected_at.get(name, -inf))
            or (known is not None and record.at < known.at)
        ):
            return
        if known is None or (known.edge.incarnation, known.edge.state) != (
            record.edge.incarnation,
            record.edge.state,
        ):
            self.listing = None
            self.own_version += record.own
        if record.edge.shutdown_stage:
            self.shutdown_stages[name] = ShutdownStage.after(stage, record.edge, record.at)
        self.records[name] = record

    def update_from_member(self, now: float, edges: Iterable[EdgeObservation], unread_s: float) -> None:
        """What another member has heard itself. `unread_s`: its word may have waited here so long."""
        for heard in edges:
            at = now - unread_s - max(0.0, heard.age_s)
            self.update(HeardEdge(heard.edge, at, heard.wait_s, False))

    def disconnected(self, now: float, name: str) -> None:
        """Its connection ended: it is not listed until it is heard again, here or elsewhere."""
        self.disconnected_at[name] = now
        self.records.pop(name, None)
        self.listing = None

    def forget(self, now: float) -> None:
        """Removes what is too old."""
        for name in [name for name, record in self.records.items() if now - record.at > FORGET_AFTER_S]:
            del self.records[name]
        for name in [
            name for name, stage in self.shutdown_stages.items() if now - stage.at > SHUTDOWN_REMEMBERED_S
        ]:
            del self.shutdown_stages[name]
        for name in [name for name, at in self.disconnected_at.items() if now - at > FORGET_AFTER_S]:
            del self.disconnected_at[name]

    def overdue_s(self, now: float, record: HeardEdge) -> float:
        """Beyond the time at which its next word was due here; negative before."""
        return now - record.at - record.wait - (0.0 if record.own else self.exchange_interval_s)

    def listed(self, now: float) -> tuple[EdgeRecord, ...]:
        """Edges that were heard lately, by any member, and are not closed; those that leave among them."""
        if self.listing is None or not 0 <= now - self.listing.at < REFRESH_INTERVAL_S:
            edges = tuple(
                self.seen(record)
                for record in self.records.values()
                if record.edge.state != CLOSED and self.overdue_s(now, record) <= LISTED_GRACE_S
            )
            self.listing = EdgeListing(now, edges)
        return self.listing.edges

    def seen(self, record: HeardEdge) -> EdgeRecord:
        """An edge with the times at which it was heard."""
        edge = record.edge
        since = self.shutdown_stages[edge.name].since if edge.shutdown_stage else 0.0
        return EdgeRecord(*msgspec.structs.astuple(edge), record.at, since)  # type: ignore[call-arg]

    def count(self, now: float) -> int:
        """Edges that may still send requests, those that leave among them."""
        if self.counting is None or not 0 <= now - self.counting.at < REFRESH_INTERVAL_S:
            counted = sum(self.overdue_s(now, record) <= COUNTED_GRACE_S for record in self.records.values())
            self.counting = EdgeCount(now, counted)
        return self.counting.edges

    def own_edges(self, now: float) -> EdgeObservations:
        """What this member has heard itself, for the others; those that leave among them."""
        return EdgeObservations(
            tuple(
                EdgeObservation(record.edge, now - record.at, record.wait)
                for record in self.records.values()
                if record.own and now - record.at <= SHUTDOWN_REMEMBERED_S
            )
        )
