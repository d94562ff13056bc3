"""Loads on their way from edges by way of core members to edges, with words lost and sources silent."""

from random import Random

from shedgrade import control_messages
from shedgrade.load_reports.aggregator import (
    ALL_REGIONS_EVERY,
    MAX_LOADS_PER_UPDATE,
    SOURCE_TIMEOUT_S,
    LoadAggregator,
)
from shedgrade.load_reports.edge import (
    FULL_REPORT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    IDLE_TIMEOUT_S,
    MANY_LOADS,
    UPDATE_TIMEOUT_S,
    LoadReporter,
    PeerLoads,
)
from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate

REGIONS = {endpoint: "north" if endpoint < 100 else "south" for endpoint in range(200)}


class Core:
    """Members that tell each other; what each edge was told last."""

    def __init__(self, *names):
        self.aggregators = {name: LoadAggregator(name) for name in names}
        self.told = {}
        for aggregator in self.aggregators.values():
            aggregator.regions = REGIONS

    def report(self, now, member, edge, loads, whole=False, near="north"):
        self.aggregators[member].receive_report(
            now,
            LoadReport(edge, near, loads, whole),
            lambda told: self.told.setdefault(edge, []).append(told),
        )

    def beat(self, now, lost=lambda: False):
        for name, aggregator in self.aggregators.items():
            aggregator.expire_sources(now)
            aggregator.send_updates(now)
            shared = aggregator.take_unshared()
            for other, peer in self.aggregators.items():
                if shared is not None and other != name and not lost():
                    peer.receive_sums(now, shared)

    def known(self, edge, now):
        """As the edge holds it, from all that it was told."""
        others = PeerLoads()
        for told in self.told[edge]:
            others.apply(now, told)
        return others.loads


def test_an_edge_learns_what_the_others_have_in_flight_and_not_its_own():
    core = Core("a")
    core.report(0.0, "a", "one", {1: 3, 2: 1}, True)
    core.report(0.0, "a", "two", {1: 2}, True)
    core.beat(0.1)
    assert core.known("one", 0.1) == {1: 2} and core.known("two", 0.1) == {1: 3, 2: 1}
    core.report(0.2, "a", "one", {1: 0, 5: 4})
    core.beat(0.2)
    assert core.told["two"][-1] == LoadUpdate({1: 0, 5: 4}) and core.known("two", 0.2) == {2: 1, 5: 4}


def test_members_add_what_the_others_were_told():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.report(0.0, "b", "two", {1: 1, 2: 5}, True)
    core.beat(0.1)
    core.beat(0.2)
    assert core.known("one", 0.2) == {1: 1, 2: 5} and core.known("two", 0.2) == {1: 3}


def test_other_regions_are_told_of_now_and_then():
    core = Core("a")
    core.report(0.0, "a", "one", {}, True)
    core.beat(0.0)
    for beat in range(1, ALL_REGIONS_EVERY + 2):
        core.report(beat / 10, "a", "two", {1: beat, 150: beat})
        core.beat(beat / 10)
    updates = core.told["one"]
    assert [150 in told.loads for told in updates].count(True) == 1
    assert all(1 in told.loads for told in updates[1:])


def test_a_word_to_an_edge_is_bounded():
    core = Core("a")
    core.aggregators["a"].regions = dict.fromkeys(range(10 * MAX_LOADS_PER_UPDATE), "north")
    core.report(0.0, "a", "one", {}, True)
    core.beat(0.0)
    core.report(0.1, "a", "two", dict.fromkeys(range(3 * MAX_LOADS_PER_UPDATE), 1))
    for beat in range(1, 4):
        core.beat(beat / 10)
    assert [len(told.loads) for told in core.told["one"][1:]] == [MAX_LOADS_PER_UPDATE] * 3
    assert len(core.known("one", 0.4)) == 3 * MAX_LOADS_PER_UPDATE


def test_who_falls_silent_has_nothing_in_flight():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.report(0.0, "a", "two", {}, True)
    core.report(0.0, "b", "far", {}, True)
    core.beat(0.1)
    core.report(SOURCE_TIMEOUT_S, "a", "two", {})
    core.report(SOURCE_TIMEOUT_S, "b", "far", {})
    core.beat(SOURCE_TIMEOUT_S + 0.1)
    core.beat(SOURCE_TIMEOUT_S + 0.2)
    assert core.known("two", 2.0) == core.known("far", 2.0) == {}
    assert "one" not in core.aggregators["a"].edges and not core.aggregators["b"].sums


def test_a_member_that_falls_silent_takes_its_edges_loads_along():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.beat(0.1)
    assert core.aggregators["b"].sums == {1: 3}
    core.aggregators["b"].expire_sources(0.2 + SOURCE_TIMEOUT_S)
    assert not core.aggregators["b"].sums


def test_lost_words_are_made_good():
    """Whatever is lost between members, a while after the last change all sums are those of the edges."""
    random = Random(5)
    core, loads = Core("a", "b", "c"), {}
    for beat in range(400):
        now = beat / 10
        for edge in range(9):
            name = f"edge-{edge}"
            if beat < 300 and random.random() < 0.5:
                loads[name] = {random.randrange(50): random.randrange(1, 9) for _ in range(4)}
            core.report(now, "abc"[edge % 3], name, loads.get(name, {}), True)
        core.beat(now, lost=lambda beat=beat: beat < 380 and random.random() < 0.3)
    for edge in range(9):
        expected = {}
        for name, own in loads.items():
            for endpoint, load in own.items() if name != f"edge-{edge}" else ():
                expected[endpoint] = expected.get(endpoint, 0) + load
        assert core.known(f"edge-{edge}", now) == expected


def test_an_edge_reports_what_changed_and_now_and_then_all():
    reporter = LoadReporter("one", "north")
    assert reporter.report(0.0, "core-a", {1: 2}) == LoadReport("one", "north", {1: 2}, True)
    assert reporter.report(0.1, "core-a", {1: 2}) is None
    assert reporter.report(0.2, "core-a", {1: 2, 3: 1}).loads == {3: 1}
    assert reporter.report(0.3, "core-a", {3: 1}) == LoadReport("one", "north", {1: 0}, False)
    assert reporter.report(0.3 + HEARTBEAT_INTERVAL_S, "core-a", {3: 1}) == LoadReport(
        "one", "north", {}, False
    )
    assert reporter.report(FULL_REPORT_INTERVAL_S, "core-a", {3: 1}).is_full
    assert reporter.report(FULL_REPORT_INTERVAL_S + 0.1, "core-b", {3: 1}).is_full
    many = 3 * MANY_LOADS
    assert not reporter.report(2 * FULL_REPORT_INTERVAL_S + 0.1, "core-b", {3: 1}, many).is_full
    assert reporter.report(4 * FULL_REPORT_INTERVAL_S + 0.2, "core-b", {3: 1}, many).is_full


def test_an_edge_without_requests_reports_nothing():
    reporter = LoadReporter("one", "north")
    assert reporter.report(0.0, "core-a", {}) is None
    assert reporter.report(1.0, "core-a", {1: 1}).is_full
    assert reporter.report(1.1, "core-a", {}).loads == {1: 0}
    assert reporter.report(1.5 + IDLE_TIMEOUT_S, "core-a", {}) is None
    assert reporter.report(2.0 + IDLE_TIMEOUT_S, "core-a", {1: 1}).is_full


def test_what_others_have_is_forgotten_when_the_core_falls_silent():
    others = PeerLoads()
    others.apply(0.0, LoadUpdate({1: 2, 2: 3}))
    assert not others.forget_if_stale(UPDATE_TIMEOUT_S) and others.loads
    assert others.forget_if_stale(UPDATE_TIMEOUT_S + 0.1) and not others.loads
    assert not others.forget_if_stale(UPDATE_TIMEOUT_S + 0.2)
    others.apply(5.0, LoadUpdate({1: 2}))
    others.apply(9.0, LoadUpdate({2: 1}))
    assert others.loads == {2: 1}
    others.apply(9.1, LoadUpdate({3: 1}, True))
    assert others.loads == {3: 1}


def test_words_are_read_as_they_were_written():
    for word in (
        LoadReport("e", "n", {4294967295: 3}, True),
        LoadUpdate({1: 0}),
        LoadSums("a", {7: 70000}),
    ):
        assert control_messages.decode(control_messages.encode(word)) == word
