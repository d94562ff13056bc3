"""Delivery: edges ask with the versions they hold, and are answered when one moves, or after a beat.

Sans I/O: time is handed in, answers go out by the `reply` that came with an ask. An ask is its edge's
heartbeat, so the directory of edges is kept here too, merged from what each core member has heard itself.
"""

from collections.abc import Callable, Iterable, Mapping
from math import inf

import msgspec
import orjson

from shedgrade.control_messages import (
    CLOSED,
    LEAVING,
    READY,
    UNKNOWN_AGE_S,
    ControlChange,
    EdgeObservation,
    EdgeObservations,
    EdgeRecord,
    EdgeStatus,
    EndpointUpdate,
    WatchRequest,
    WatchResponse,
    compress_configuration,
)
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.prefix_cache_index.index import Pair, PrefixIndex
from shedgrade.runtime.log import logger

LONGEST_WAIT = 10.0  # s that an ask may be parked, whatever it says
MOST_PARKED = 4096  # asks; beyond it they are answered at once
UNHEARD = 0.5  # s beyond its wait after which an edge is not listed
COUNTED = 3.0  # s beyond its wait in which an edge still counts: shares dealt by a low count add up
RECOUNT = 0.1  # s between two looks at all edges: each answer carries their count
FORGOTTEN = 30.0  # s after which nothing is known of an edge
LEFT = 10.0  # s in which the word of an edge that leaves goes before what others heard earlier


Cover = Callable[[EdgeStatus, tuple[EdgeRecord, ...]], str]


class PendingWatch:
    """An ask that waits for something newer."""

    __slots__ = ("ask", "reply", "at", "until")

    def __init__(self, ask: WatchRequest, reply: Callable[[WatchResponse], None], at: float) -> None:
        self.ask, self.reply, self.at = ask, reply, at
        self.until = at + min(max(ask.wait_s, 0.0), LONGEST_WAIT)


class Heard:
    """An edge as it was last heard, by this member (`own`) or by another."""

    __slots__ = ("edge", "at", "wait", "own")

    def __init__(self, edge: EdgeStatus, at: float, wait: float, own: bool) -> None:
        self.edge, self.at, self.wait, self.own = edge, at, wait, own


class Ending(msgspec.Struct, frozen=True):
    """The stage of an edge's end in one incarnation: heard at first at `since`, and last at `at`."""

    incarnation: int
    shutdown_stage: int
    since: float
    at: float

    @classmethod
    def after(cls, before: "Ending | None", edge: EdgeStatus, at: float) -> "Ending":
        """`before`: what was known of the edge's end until now."""
        same = before is not None and (before.incarnation, before.shutdown_stage) == (
            edge.incarnation,
            edge.shutdown_stage,
        )
        return cls(edge.incarnation, edge.shutdown_stage, before.since if same else at, at)


class WatchHub:
    """Answers the asks of edges from what this core member knows."""

    def __init__(
        self, own: str, now: float, *, exchange: float = 0.5, cover: Cover = lambda edge, others: READY
    ) -> None:
        """`own`: this member's link address. `exchange`: s between two words of another member on its edges;
        so much later they may be known here. `cover(edge, others)`: who takes the clients of an edge that
        leaves, as `WatchResponse` says it."""
        self.cover = cover
        self.own, self.now, self.exchange = own, now, exchange
        self.addresses: tuple[str, ...] = ()  # of the core members
        self.own_version = 0  # grows when an edge heard here changed what it is
        self.held = (0, 0)  # control state: (epoch, sequence)
        self.version, self.configuration, self.evacuations = 0, b"", ()
        self.sent: tuple[bytes, bool] | None = None  # the configuration as it travels
        self.list: EndpointList | None = None
        self.confirmed_at = -inf  # as of when nothing newer was finished anywhere
        self.parked: dict[str, PendingWatch] = {}
        self.heard: dict[str, Heard] = {}
        self.counted = (-inf, 0)  # when, and how many edges
        self.seen: tuple[float, tuple[EdgeRecord, ...]] | None = None  # those listed, until one changes
        self.ending: dict[str, Ending] = {}  # by name
        self.lost: dict[str, float] = {}  # by name: when its connection ended
        self.ledger: PrefixIndex | None = None  # the record of who holds which prompts, if kept
        self.reads: list[Pair] = []  # news of it that other members are to be told

    # --- what is known here

    def control(self, now: float, epoch: int, sequence: int, state: Mapping[str, bytes]) -> None:
        """Finished control state; what is not newer is ignored."""
        self.now = now
        if (epoch, sequence) <= self.held:
            return
        try:
            version = int(state.get("version") or 0)
            evacuations = tuple(orjson.loads(state.get("evacuations") or b"[]"))
            if not all(isinstance(zone, str) for zone in evacuations):
                raise ValueError("evacuations are no list of zones")
        except (ValueError, TypeError) as wrong:
            # Guards against a state of another make: edges go on with the last one that could be read.
            logger.error("control state {}.{} can't be read: {!r}", epoch, sequence, wrong)
            return
        configuration = state.get("configuration") or b""
        if configuration != self.configuration:
            self.sent = None
        self.held, self.version = (epoch, sequence), version
        self.configuration, self.evacuations = configuration, evacuations
        self.tell(now)

    def instances(self, now: float, instances: EndpointList) -> None:
        """The list moved."""
        self.now, self.list = now, instances
        self.tell(now)

    def confirmed(self, at: float) -> None:
        """At that time a majority of the core held nothing newer than this member, as `replication` says."""
        self.confirmed_at = max(self.confirmed_at, at)

    def members(self, now: float, addresses: tuple[str, ...]) -> None:
        """Link addresses of the core members, this one among them."""
        self.now, self.addresses = max(self.now, now), addresses

    # --- asks

    def ask(
        self, now: float, ask: WatchRequest, reply: Callable[[WatchResponse], None], unread_s: float = 0.0
    ) -> None:
        """Answers now if something is newer than the edge holds, else later, exactly once; not at all if the
        same edge asks again before, or is `gone`. `unread_s`: the ask may have waited here so long."""
        self.now = now
        self.saw(Heard(ask.edge, now - unread_s, ask.wait_s, True))
        if self.ledger is not None and ask.prefix_reads:
            self.reads += self.ledger.add(now, ask.prefix_reads)
        parked = PendingWatch(ask, reply, now)
        self.parked.pop(ask.edge.name, None)
        if self.news(parked) or parked.until <= now or len(self.parked) >= MOST_PARKED:
            self.answer(now, parked, {})
        else:
            self.parked[ask.edge.name] = parked

    def tick(self, now: float) -> None:
        """Answers the asks that waited long enough, and forgets edges that are long gone."""
        self.now = now
        self.send(now, [parked for parked in self.parked.values() if parked.until <= now])
        for name in [name for name, heard in self.heard.items() if now - heard.at > FORGOTTEN]:
            del self.heard[name]
        for name in [name for name, ending in self.ending.items() if now - ending.at > LEFT]:
            del self.ending[name]
        for name in [name for name, at in self.lost.items() if now - at > FORGOTTEN]:
            del self.lost[name]

    def wake_at(self) -> float:
        return min((parked.until for parked in self.parked.values()), default=inf)

    def tell(self, now: float) -> None:
        self.send(now, [parked for parked in self.parked.values() if self.news(parked)])

    def send(self, now: float, due: list[PendingWatch]) -> None:
        deltas: dict[tuple[int, int], EndpointUpdate] = {}
        for parked in due:
            # An edge may ask again from within its answer; that ask stays.
            if self.parked.get(parked.ask.edge.name) is parked:
                del self.parked[parked.ask.edge.name]
            self.answer(now, parked, deltas)

    def news(self, parked: PendingWatch) -> bool:
        return self.held > tuple(parked.ask.control_version) or self.newer_list(parked)

    def newer_list(self, parked: PendingWatch) -> bool:
        age = parked.ask.endpoints_age_s + self.now - parked.at
        return self.list is not None and self.list.newer_than(*parked.ask.endpoints_version, age, self.now)

    def answer(self, now: float, parked: PendingWatch, deltas: dict[tuple[int, int], EndpointUpdate]) -> None:
        ask, control, upstreams = parked.ask, None, None
        if self.held > tuple(ask.control_version):
            if self.sent is None:
                self.sent = compress_configuration(self.configuration)
            whole, compressed = (None, False) if ask.configuration_version == self.version else self.sent
            control = ControlChange(*self.held, self.version, whole, self.evacuations, compressed)
        base = tuple(ask.endpoints_version)
        same = self.list is not None and self.list.confirmed_at is not None and self.list.version == base
        if same or self.newer_list(parked):
            upstreams = deltas.get(base)
            if upstreams is None:
                upstreams = deltas[base] = self.list.update_since(*base, now)
        # Guards against a member that was started anew and knows less than the edge: its word is no news.
        lacks = self.confirmed_at == -inf or self.held < tuple(ask.control_version)
        parked.reply(
            WatchResponse(
                control,
                upstreams,
                self.count(now),
                self.addresses,
                UNKNOWN_AGE_S if lacks else max(0.0, now - self.confirmed_at),
                UNKNOWN_AGE_S if self.list is None else self.list.age_s(now),
                now - parked.at,
                None if self.ledger is None else self.ledger.update_since(*ask.prefix_index_version),
                self.cover(ask.edge, self.edges(now)) if ask.edge.state == LEAVING else READY,
            )
        )

    # --- the directory of edges

    def edges(self, now: float) -> tuple[EdgeRecord, ...]:
        """Edges that were heard lately, by any member, and are not closed; those that leave among them."""
        self.now = now
        if self.seen is None or not 0 <= now - self.seen[0] < RECOUNT:
            self.seen = (
                now,
                tuple(
                    EdgeRecord(
                        *(getattr(heard.edge, name) for name in EdgeStatus.__struct_fields__),
                        heard.at,
                        self.ending[heard.edge.name].since if heard.edge.shutdown_stage else 0.0,
                    )
                    for heard in self.heard.values()
                    if heard.edge.state != CLOSED and self.age(now, heard) <= UNHEARD
                ),
            )
        return self.seen[1]

    def count(self, now: float) -> int:
        """Edges that may still send requests, those that leave among them."""
        if not 0 <= now - self.counted[0] < RECOUNT:
            self.counted = now, sum(self.age(now, heard) <= COUNTED for heard in self.heard.values())
        return self.counted[1]

    def age(self, now: float, heard: Heard) -> float:
        """s beyond the time at which its next word was due here."""
        return now - heard.at - heard.wait - (0.0 if heard.own else self.exchange)

    def gone(self, name: str) -> None:
        """Its connection ended: it is not listed until it is heard again, here or elsewhere."""
        self.parked.pop(name, None)
        self.lost[name] = self.now
        self.heard.pop(name, None)
        self.seen = None

    def peers_edges(
        self,
        now: float,
        member: str,
        edges: EdgeObservations | Iterable[EdgeObservation],
        unread_s: float = 0.0,
    ) -> None:
        """What another member has heard itself. `unread_s`: its word may have waited here so long."""
        self.now = now
        for told in edges.edges if isinstance(edges, EdgeObservations) else edges:
            self.saw(Heard(told.edge, now - unread_s - max(0.0, told.age_s), told.wait_s, False))

    def own_edges(self, now: float | None = None) -> EdgeObservations:
        """What this member has heard itself, for the others; those that leave among them."""
        now = self.now if now is None else now
        return EdgeObservations(
            tuple(
                EdgeObservation(heard.edge, now - heard.at, heard.wait)
                for heard in self.heard.values()
                if heard.own and now - heard.at <= LEFT
            )
        )

    def saw(self, heard: Heard) -> None:
        name = heard.edge.name
        # Guards against word that was long under way, and would bring back who has left or is gone.
        ending, known = self.ending.get(name), self.heard.get(name)
        if (
            (
                ending is not None
                and ending.incarnation == heard.edge.incarnation
                and heard.edge.shutdown_stage < ending.shutdown_stage
            )
            or (not heard.own and heard.at <= self.lost.get(name, -inf))
            or (known is not None and heard.at < known.at)
        ):
            return
        if known is None or (known.edge.incarnation, known.edge.state) != (
            heard.edge.incarnation,
            heard.edge.state,
        ):
            self.seen = None
            self.own_version += heard.own
        if heard.edge.shutdown_stage:
            self.ending[name] = Ending.after(ending, heard.edge, heard.at)
        self.heard[name] = heard
