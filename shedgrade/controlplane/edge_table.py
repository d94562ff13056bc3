"""The edges that any core member heard from lately, merged from the observations of all members. No I/O.

An edge's watch request is its heartbeat. Times are seconds of this process's steady clock.
"""

from collections.abc import Iterable
from math import inf

import msgspec

from shedgrade.control_messages import CLOSED, EdgeObservation, EdgeObservations, EdgeRecord, EdgeStatus

# An edge waits up to `wait` s between two heartbeats. Both grace periods begin after that time.
LISTED_GRACE_S = 0.5  # after which an edge is not listed
COUNTED_GRACE_S = 3.0  # after which an edge is not counted; a low count would make all shares too large
REFRESH_INTERVAL_S = 0.1  # minimum time between two scans of all edges: each response carries their count
FORGET_AFTER_S = 30.0  # after which an edge is forgotten
SHUTDOWN_REMEMBERED_S = 10.0  # in which a later stage of a shutdown overrides earlier observations of others


class LocalEdgeRecord:
    """The last observation of an edge.

    Attributes:
        edge: its status.
        heard_at: when it was heard.
        wait_s: time until its next heartbeat at the latest, in s.
        heard_here: whether this member heard it, and not another.
    """

    __slots__ = ("edge", "heard_at", "wait_s", "heard_here")

    def __init__(self, edge: EdgeStatus, heard_at: float, wait_s: float, heard_here: bool) -> None:
        self.edge = edge
        self.heard_at = heard_at
        self.wait_s = wait_s
        self.heard_here = heard_here


class ShutdownStage(msgspec.Struct, frozen=True):
    """The stage of the shutdown of one incarnation of an edge, first heard at `since` and last at `at`."""

    incarnation: int
    shutdown_stage: int
    since: float
    at: float

    @classmethod
    def after(cls, before: "ShutdownStage | None", edge: EdgeStatus, at: float) -> "ShutdownStage":
        """The stage after `edge` was heard at `at`. `before`: the stage known until then."""
        since = at
        if before is not None and before.incarnation == edge.incarnation:
            since = before.since if before.shutdown_stage == edge.shutdown_stage else at
        return cls(edge.incarnation, edge.shutdown_stage, since, at)


class EdgeListing(msgspec.Struct, frozen=True):
    """The edges that were listed at the time `at`."""

    at: float
    edges: tuple[EdgeRecord, ...]


class EdgeCount(msgspec.Struct, frozen=True):
    """The number of edges that counted at the time `at`."""

    at: float
    edges: int


class EdgeTable:
    """The edges by name.

    Attributes:
        exchange_interval_s: time between two reports of another member, by which its edges are heard late.
        records: the newest observation of each edge; none is older than FORGET_AFTER_S after `forget`.
        shutdown_stages: of edges that shut down; the stage of one incarnation never falls while it is kept.
        disconnected_at: when an edge's connection ended; older observations of other members are ignored.
        own_version: rises when an edge that this member hears changes its incarnation or state; never falls.
        listing: the cached result of `listed`, until it is too old or an edge changes.
        counting: the cached result of `count`, until it is too old.
    """

    def __init__(self, exchange_interval_s: float) -> None:
        self.exchange_interval_s = exchange_interval_s
        self.records: dict[str, LocalEdgeRecord] = {}
        self.shutdown_stages: dict[str, ShutdownStage] = {}
        self.disconnected_at: dict[str, float] = {}
        self.own_version = 0
        self.listing: EdgeListing | None = None
        self.counting: EdgeCount | None = None

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        for name, record in self.records.items():
            assert record.edge.name == name, f"{name} is recorded as {record.edge.name}"
            stage = self.shutdown_stages.get(name)
            if stage is not None and stage.incarnation == record.edge.incarnation:
                assert record.edge.shutdown_stage >= stage.shutdown_stage, f"{name} went back in its shutdown"
        for name, stage in self.shutdown_stages.items():
            assert stage.since <= stage.at, f"{name} was in its stage before it was first heard there"

    def update(self, record: LocalEdgeRecord) -> None:
        """Records an observation of an edge, unless a newer one is known."""
        name = record.edge.name
        # Guards against a delayed observation, which would bring back an edge that is leaving or gone.
        stage = self.shutdown_stages.get(name)
        known = self.records.get(name)
        if (
            (
                stage is not None
                and stage.incarnation == record.edge.incarnation
                and record.edge.shutdown_stage < stage.shutdown_stage
            )
            or (not record.heard_here and record.heard_at <= self.disconnected_at.get(name, -inf))
            or (known is not None and record.heard_at < known.heard_at)
        ):
            return
        if known is None or (known.edge.incarnation, known.edge.state) != (
            record.edge.incarnation,
            record.edge.state,
        ):
            self.listing = None
            self.own_version += record.heard_here
        if record.edge.shutdown_stage:
            self.shutdown_stages[name] = ShutdownStage.after(stage, record.edge, record.heard_at)
        self.records[name] = record

    def update_from_member(self, now: float, edges: Iterable[EdgeObservation], max_unread_s: float) -> None:
        """Records the observations of another member, whose message may have waited for `max_unread_s`."""
        for heard in edges:
            at = now - max_unread_s - max(0.0, heard.age_s)
            self.update(LocalEdgeRecord(heard.edge, at, heard.wait_s, False))

    def disconnected(self, now: float, name: str) -> None:
        """Handles the end of an edge's connection: it is not listed until any member hears it again."""
        self.disconnected_at[name] = now
        self.records.pop(name, None)
        self.listing = None

    def forget(self, now: float) -> None:
        """Removes records that are too old."""
        for name in [name for name, record in self.records.items() if now - record.heard_at > FORGET_AFTER_S]:
            del self.records[name]
        for name in [
            name for name, stage in self.shutdown_stages.items() if now - stage.at > SHUTDOWN_REMEMBERED_S
        ]:
            del self.shutdown_stages[name]
        for name in [name for name, at in self.disconnected_at.items() if now - at > FORGET_AFTER_S]:
            del self.disconnected_at[name]

    def overdue_s(self, now: float, record: LocalEdgeRecord) -> float:
        """Time in s since its next heartbeat was due here; negative before."""
        return (
            now - record.heard_at - record.wait_s - (0.0 if record.heard_here else self.exchange_interval_s)
        )

    def listed(self, now: float) -> tuple[EdgeRecord, ...]:
        """Edges that any member heard lately and that are not closed, including those that leave."""
        if self.listing is None or not 0 <= now - self.listing.at < REFRESH_INTERVAL_S:
            edges = tuple(
                self.edge_record(record)
                for record in self.records.values()
                if record.edge.state != CLOSED and self.overdue_s(now, record) <= LISTED_GRACE_S
            )
            self.listing = EdgeListing(now, edges)
        return self.listing.edges

    def edge_record(self, record: LocalEdgeRecord) -> EdgeRecord:
        """An edge with the times at which it was heard and at which its shutdown stage began."""
        edge = record.edge
        since = self.shutdown_stages[edge.name].since if edge.shutdown_stage else 0.0
        return EdgeRecord(*msgspec.structs.astuple(edge), record.heard_at, since)  # type: ignore[call-arg]

    def count(self, now: float) -> int:
        """The number of edges that may still send requests, including those that leave."""
        if self.counting is None or not 0 <= now - self.counting.at < REFRESH_INTERVAL_S:
            counted = sum(self.overdue_s(now, record) <= COUNTED_GRACE_S for record in self.records.values())
            self.counting = EdgeCount(now, counted)
        return self.counting.edges

    def own_edges(self, now: float) -> EdgeObservations:
        """The observations of this member, to send to the others, including edges that leave."""
        return EdgeObservations(
            tuple(
                EdgeObservation(record.edge, now - record.heard_at, record.wait_s)
                for record in self.records.values()
                if record.heard_here and now - record.heard_at <= SHUTDOWN_REMEMBERED_S
            )
        )
