"""A core member's side: sums of what its edges and the other members' edges report."""

from collections import Counter
from collections.abc import Callable, Mapping

from shedgrade.load_reports.messages import LoadReport, Loads, LoadSums, LoadUpdate

SILENT_AFTER = 1.5  # s without a report after which an edge's loads, or a member's, are forgotten
HEARTBEAT = 0.3  # s between two words to an edge at the most, also where nothing changed
FAR_EACH = 5  # of so many words to an edge, one is of other regions' upstreams too
WHOLE_EACH = 10  # of so many words to other members, one is whole
MOST = 128  # loads in one word to an edge; what is left out is in the next one

Send = Callable[[LoadUpdate], None]


class Source:
    """The loads that one edge or one member told, as this member added them to its sums."""

    __slots__ = ("loads", "heard_at")

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.heard_at = float("-inf")


class EdgeSource(Source):
    """An edge that reports here. `unsaid`: upstreams whose loads changed since it was told of them."""

    __slots__ = ("near", "send", "unsaid", "told_at", "words", "whole")

    def __init__(self) -> None:
        super().__init__()
        self.near = ""
        self.send: Send | None = None
        self.unsaid: set[int] = set()
        self.told_at = float("-inf")
        self.words = 0
        self.whole = True  # is to be told all


class LoadAggregator:
    """`regions`: by mark, the region of each upstream on the platform's list."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.edges: dict[str, EdgeSource] = {}
        self.members: dict[str, Source] = {}
        self.sums: Counter[int] = Counter()
        self.own_sums: Counter[int] = Counter()  # of the edges that report here
        self.regions: Mapping[int, str] = {}
        self.unshared: set[int] = set()  # upstreams whose own sums the other members have not been told
        self.shares = 0

    # --- what is heard

    def reported(self, now: float, report: LoadReport, send: Send) -> None:
        """`send` reaches the edge."""
        source = self.edges.get(report.edge)
        if source is None:
            source = self.edges[report.edge] = EdgeSource()
        source.heard_at, source.near, source.send = now, report.near, send
        source.whole = source.whole or report.whole
        changed = self.add(source, report.loads, report.whole, self.own_sums)
        self.unshared |= changed

    def shared(self, now: float, told: LoadSums) -> None:
        """Another member's sums."""
        source = self.members.setdefault(told.member, Source())
        source.heard_at = now
        self.add(source, told.loads, told.whole)

    def add(self, source: Source, loads: Loads, whole: bool, also: Counter[int] | None = None) -> set[int]:
        """Replaces what the source told before; the marks whose load is another now."""
        after = loads if whole else {**source.loads, **loads}
        marks = source.loads.keys() | loads.keys() if whole else loads.keys()
        changed = {mark for mark in marks if source.loads.get(mark, 0) != after.get(mark, 0)}
        for mark in changed:
            more = after.get(mark, 0) - source.loads.get(mark, 0)
            for sums in (self.sums, also):
                if sums is not None:
                    sums[mark] += more
                    if not sums[mark]:
                        del sums[mark]
        source.loads = {mark: load for mark, load in after.items() if load}
        for edge in self.edges.values():
            if edge is not source:
                edge.unsaid |= changed
        return changed

    def forget_silent(self, now: float) -> None:
        """Whoever has not been heard of for a while has nothing in flight, as far as is known."""
        for name in [name for name, one in self.edges.items() if now - one.heard_at > SILENT_AFTER]:
            self.unshared |= self.add(self.edges[name], {}, True, self.own_sums)
            del self.edges[name]
        for name in [name for name, one in self.members.items() if now - one.heard_at > SILENT_AFTER]:
            self.add(self.members[name], {}, True)
            del self.members[name]

    # --- what is told

    def tell_edges(self, now: float) -> None:
        """Each edge learns what changed of the others' loads: near ones always, far ones now and then."""
        for source in self.edges.values():
            marks = self.to_tell(source)
            if not (marks or source.whole or now - source.told_at >= HEARTBEAT):
                continue
            others = {mark: self.sums[mark] - source.loads.get(mark, 0) for mark in marks}
            told = LoadUpdate(others, source.whole)
            source.unsaid -= marks
            source.whole, source.told_at = False, now
            source.words += 1
            source.send(told)

    def to_tell(self, source: EdgeSource) -> set[int]:
        if source.whole:
            source.unsaid = set()
            return {mark for mark, load in self.sums.items() if load != source.loads.get(mark, 0)}
        if source.words % FAR_EACH == 0:
            marks = source.unsaid
        else:
            marks = {mark for mark in source.unsaid if self.regions.get(mark) == source.near}
        return set(sorted(marks)[:MOST]) if len(marks) > MOST else set(marks)

    def share(self) -> LoadSums | None:
        """What the other members are to be told; None if nothing."""
        self.shares += 1
        if self.shares % WHOLE_EACH == 0 and (self.edges or self.own_sums):
            self.unshared = set()
            return LoadSums(self.member, dict(self.own_sums), True)
        if not self.unshared:
            return None
        marks, self.unshared = self.unshared, set()
        return LoadSums(self.member, {mark: self.own_sums[mark] for mark in marks})
