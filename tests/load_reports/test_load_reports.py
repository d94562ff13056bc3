"""Loads on their way from edges through core members to edges, with lost messages and silent sources."""

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
    """Core members that exchange their sums, and the updates that each edge received."""

    def __init__(self, *names):
        self.aggregators = {name: LoadAggregator(name) for name in names}
        self.updates = {}
        for aggregator in self.aggregators.values():
            aggregator.regions = REGIONS

    def report(self, now, member, edge, loads, is_full=False, home_region="north"):
        self.aggregators[member].receive_report(
            now,
            LoadReport(edge, home_region, loads, is_full),
            lambda update: self.updates.setdefault(edge, []).append(update),
        )

    def exchange(self, now, is_lost=lambda: False):
        for name, aggregator in self.aggregators.items():
            aggregator.expire_sources(now)
            aggregator.send_updates(now)
            shared = aggregator.take_unshared()
            for other, peer in self.aggregators.items():
                if shared is not None and other != name and not is_lost():
                    peer.receive_sums(now, shared)

    def peer_loads(self, edge, now):
        """The loads that an edge holds after all its updates."""
        peer_loads = PeerLoads()
        for update in self.updates[edge]:
            peer_loads.apply(now, update)
        return peer_loads.loads


def test_an_edge_receives_the_loads_of_other_edges_but_not_its_own():
    core = Core("a")
    core.report(0.0, "a", "one", {1: 3, 2: 1}, True)
    core.report(0.0, "a", "two", {1: 2}, True)
    core.exchange(0.1)
    assert core.peer_loads("one", 0.1) == {1: 2} and core.peer_loads("two", 0.1) == {1: 3, 2: 1}
    core.report(0.2, "a", "one", {1: 0, 5: 4})
    core.exchange(0.2)
    assert core.updates["two"][-1] == LoadUpdate({1: 0, 5: 4}) and core.peer_loads("two", 0.2) == {2: 1, 5: 4}


def test_members_add_up_the_loads_that_other_members_received():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.report(0.0, "b", "two", {1: 1, 2: 5}, True)
    core.exchange(0.1)
    core.exchange(0.2)
    assert core.peer_loads("one", 0.2) == {1: 1, 2: 5} and core.peer_loads("two", 0.2) == {1: 3}


def test_loads_of_other_regions_are_sent_in_one_of_several_updates():
    core = Core("a")
    core.report(0.0, "a", "one", {}, True)
    core.exchange(0.0)
    for round_number in range(1, ALL_REGIONS_EVERY + 2):
        core.report(round_number / 10, "a", "two", {1: round_number, 150: round_number})
        core.exchange(round_number / 10)
    updates = core.updates["one"]
    assert [150 in update.loads for update in updates].count(True) == 1
    assert all(1 in update.loads for update in updates[1:])


def test_the_size_of_an_update_is_bounded():
    core = Core("a")
    core.aggregators["a"].regions = dict.fromkeys(range(10 * MAX_LOADS_PER_UPDATE), "north")
    core.report(0.0, "a", "one", {}, True)
    core.exchange(0.0)
    core.report(0.1, "a", "two", dict.fromkeys(range(3 * MAX_LOADS_PER_UPDATE), 1))
    for round_number in range(1, 4):
        core.exchange(round_number / 10)
    assert [len(update.loads) for update in core.updates["one"][1:]] == [MAX_LOADS_PER_UPDATE] * 3
    assert len(core.peer_loads("one", 0.4)) == 3 * MAX_LOADS_PER_UPDATE


def test_the_loads_of_a_silent_edge_are_forgotten():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.report(0.0, "a", "two", {}, True)
    core.report(0.0, "b", "far", {}, True)
    core.exchange(0.1)
    core.report(SOURCE_TIMEOUT_S, "a", "two", {})
    core.report(SOURCE_TIMEOUT_S, "b", "far", {})
    core.exchange(SOURCE_TIMEOUT_S + 0.1)
    core.exchange(SOURCE_TIMEOUT_S + 0.2)
    assert core.peer_loads("two", 2.0) == core.peer_loads("far", 2.0) == {}
    assert "one" not in core.aggregators["a"].edges and not core.aggregators["b"].sums


def test_the_loads_of_a_silent_members_edges_are_forgotten():
    core = Core("a", "b")
    core.report(0.0, "a", "one", {1: 3}, True)
    core.exchange(0.1)
    assert core.aggregators["b"].sums == {1: 3}
    core.aggregators["b"].expire_sources(0.2 + SOURCE_TIMEOUT_S)
    assert not core.aggregators["b"].sums


def test_full_messages_make_up_for_lost_ones():
    """While messages between members are lost at random, all sums are correct a few rounds after the last
    change and loss.
    """
    rng = Random(5)
    core, loads = Core("a", "b", "c"), {}
    for round_number in range(400):
        now = round_number / 10
        for edge in range(9):
            name = f"edge-{edge}"
            if round_number < 300 and rng.random() < 0.5:
                loads[name] = {rng.randrange(50): rng.randrange(1, 9) for _ in range(4)}
            core.report(now, "abc"[edge % 3], name, loads.get(name, {}), True)
        core.exchange(
            now, is_lost=lambda round_number=round_number: round_number < 380 and rng.random() < 0.3
        )
    for edge in range(9):
        expected = {}
        for name, own in loads.items():
            for endpoint, load in own.items() if name != f"edge-{edge}" else ():
                expected[endpoint] = expected.get(endpoint, 0) + load
        assert core.peer_loads(f"edge-{edge}", now) == expected


def test_an_edge_reports_changes_and_periodically_all_loads():
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


def test_other_edges_loads_are_forgotten_when_the_core_falls_silent():
    peer_loads = PeerLoads()
    peer_loads.apply(0.0, LoadUpdate({1: 2, 2: 3}))
    assert not peer_loads.forget_if_stale(UPDATE_TIMEOUT_S) and peer_loads.loads
    assert peer_loads.forget_if_stale(UPDATE_TIMEOUT_S + 0.1) and not peer_loads.loads
    assert not peer_loads.forget_if_stale(UPDATE_TIMEOUT_S + 0.2)
    peer_loads.apply(5.0, LoadUpdate({1: 2}))
    peer_loads.apply(9.0, LoadUpdate({2: 1}))
    assert peer_loads.loads == {2: 1}
    peer_loads.apply(9.1, LoadUpdate({3: 1}, True))
    assert peer_loads.loads == {3: 1}


def test_messages_are_decoded_as_they_were_encoded():
    for message in (
        LoadReport("e", "n", {4294967295: 3}, True),
        LoadUpdate({1: 0}),
        LoadSums("a", {7: 70000}),
    ):
        assert control_messages.decode(control_messages.encode(message)) == message
