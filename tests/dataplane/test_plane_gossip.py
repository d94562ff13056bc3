"""What a data plane takes from gossip: the count of edges for the budgets, and further core members."""

from random import Random
from types import SimpleNamespace

from ingress_rig import SETTINGS

from shedgrade.control_messages import EdgeStatus, FleetView, WatchResponse
from shedgrade.dataplane.control_client import (
    MAX_MEMBERS,
    MembersDiscoveredEvent,
    RequestFailedEvent,
    ResponseEvent,
    SendWatchRequest,
    TickEvent,
    Watcher,
)
from shedgrade.dataplane.fleet_size import COUNT_WINDOW_S
from shedgrade.dataplane.plane import CORE_SILENT_S, DataPlane
from shedgrade.dataplane.state import State
from shedgrade.membership.messages import Node

EDGE = EdgeStatus("edge-1", "10.1.0.12:8263", "z1", "east", 5)
SEEDS = ("10.1.0.14:7300", "10.2.0.41:7300", "10.3.0.12:7300")
FOUND = "10.2.0.77:7300"


def response_with_edges(edges):
    return WatchResponse(None, None, edges, SEEDS, 0.0, 0.0)


def gossip(*nodes):
    all_nodes = (Node("edge-1", "10.1.0.12:7301", "edge"), *nodes)
    return SimpleNamespace(
        view=SimpleNamespace(
            nodes=lambda: all_nodes, count=lambda kind: sum(node.kind == kind for node in all_nodes)
        )
    )


class Plane:
    """The part of a data plane that `count_edges` uses; `now` is passed in."""

    count_edges = DataPlane.count_edges

    def __init__(self, *nodes):
        self.now = 0.0
        self.state = State(SETTINGS, lambda: self.now, None)
        self.watcher = Watcher(EDGE, SEEDS, Random(1), 0.0)
        self.gossip = gossip(*nodes)

    def at(self, now):
        self.now = now
        self.count_edges(now)
        return self.state.edge_count


def edges(count):
    return [Node(f"edge-{number}", f"10.1.1.{number}:7301", "edge") for number in range(2, count + 1)]


def test_the_larger_of_both_counts_applies():
    plane = Plane(*edges(4))
    assert plane.at(0.0) == 4
    plane.watcher.received.counts = FleetView(6, SEEDS)
    assert plane.at(1.0) == 6


def test_the_cores_count_applies_at_once_and_for_30_s_after_smaller_counts():
    plane = Plane()
    plane.state.apply([FleetView(6, SEEDS)])
    plane.watcher.received.counts = FleetView(1, SEEDS)
    assert plane.state.edge_count == 6
    assert plane.at(COUNT_WINDOW_S - 1) == 6
    assert plane.at(COUNT_WINDOW_S + 1) == 1


def test_core_members_from_gossip_are_asked_only_when_no_other_answers():
    plane = Plane(Node("core-9", "10.2.0.77:7301", "core", link_address=FOUND), *edges(2))
    plane.at(CORE_SILENT_S / 2)
    assert FOUND not in plane.watcher.members
    plane.at(CORE_SILENT_S + 0.1)
    assert FOUND in plane.watcher.members


def requested_addresses(watcher):
    watcher.check_invariants()
    return [one.address for one in watcher.take_instructions() if isinstance(one, SendWatchRequest)]


def test_while_a_listed_member_answers_no_discovered_one_is_asked():
    watcher, now = Watcher(EDGE, SEEDS, Random(3), 0.0, max_wait_s=0.5), 0.0
    watcher.handle_event(MembersDiscoveredEvent((FOUND,)))
    asked = []
    while now < 120.0:
        now += 0.25
        watcher.handle_event(TickEvent(now))
        for address in requested_addresses(watcher):
            asked.append(address)
            if address == SEEDS[1]:
                watcher.handle_event(ResponseEvent(now, address, response_with_edges(1)))
            else:
                watcher.handle_event(RequestFailedEvent(now, address))
    assert FOUND not in asked[3:] and SEEDS[1] in asked


def test_when_all_listed_members_fail_a_discovered_one_serves_and_lists_the_next():
    watcher, now = Watcher(EDGE, SEEDS, Random(3), 0.0, max_wait_s=0.5), 0.0
    watcher.handle_event(MembersDiscoveredEvent((FOUND,)))
    while watcher.preferred_member is None or watcher.preferred_member.address != FOUND:
        now += 0.1
        assert now < 5.0
        watcher.handle_event(TickEvent(now))
        for address in requested_addresses(watcher):
            if address == FOUND:
                response = WatchResponse(None, None, 3, (FOUND,), 0.0, 0.0)
                watcher.handle_event(ResponseEvent(now, address, response))
            else:
                watcher.handle_event(RequestFailedEvent(now, address))
    assert watcher.members[FOUND].listed and watcher.received.counts == FleetView(3, (FOUND,))


def test_the_number_of_discovered_members_is_limited():
    watcher = Watcher(EDGE, SEEDS, Random(3), 0.0)
    watcher.handle_event(MembersDiscoveredEvent(tuple(f"10.9.0.{number}:7300" for number in range(1, 200))))
    assert len(watcher.members) == MAX_MEMBERS
