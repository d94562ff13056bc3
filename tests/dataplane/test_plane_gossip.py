"""What a data plane makes of gossip: the count that budgets are dealt by, and further core members."""

from random import Random
from types import SimpleNamespace

from ingress_rig import SETTINGS

from shedgrade.control_messages import EdgeStatus, FleetView, WatchResponse
from shedgrade.dataplane.control_client import MOST, Watcher
from shedgrade.dataplane.fleet import LATELY
from shedgrade.dataplane.plane import SILENT, DataPlane
from shedgrade.dataplane.state import State
from shedgrade.membership.messages import Node

EDGE = EdgeStatus("edge-1", "10.1.0.12:8263", "z1", "east", 5)
SEEDS = ("10.1.0.14:7300", "10.2.0.41:7300", "10.3.0.12:7300")
FOUND = "10.2.0.77:7300"


def told(edges):
    return WatchResponse(None, None, edges, SEEDS, 0.0, 0.0)


def gossip(*nodes):
    held = (Node("edge-1", "10.1.0.12:7301", "edge"), *nodes)
    return SimpleNamespace(
        view=SimpleNamespace(nodes=lambda: held, count=lambda kind: sum(node.kind == kind for node in held))
    )


class Plane:
    """As much of a data plane as `recount` needs; `now` is handed in."""

    recount = DataPlane.recount

    def __init__(self, *nodes):
        self.now = 0.0
        self.state = State(SETTINGS, lambda: self.now, None)
        self.asker = Watcher(EDGE, SEEDS, Random(1), 0.0)
        self.gossip = gossip(*nodes)

    def at(self, now):
        self.now = now
        self.recount(now)
        return self.state.sidecars


def edges(count):
    return [Node(f"edge-{number}", f"10.1.1.{number}:7301", "edge") for number in range(2, count + 1)]


def test_the_larger_of_both_counts_holds():
    plane = Plane(*edges(4))
    assert plane.at(0.0) == 4
    plane.asker.counts = FleetView(6, SEEDS)
    assert plane.at(1.0) == 6


def test_what_the_core_tells_holds_at_once_and_for_30_s_after_both_know_less():
    plane = Plane()
    plane.state.apply([FleetView(6, SEEDS)])
    plane.asker.counts = FleetView(1, SEEDS)
    assert plane.state.sidecars == 6
    assert plane.at(LATELY - 1) == 6
    assert plane.at(LATELY + 1) == 1


def test_core_members_of_gossip_are_asked_only_when_nobody_answers():
    plane = Plane(Node("core-9", "10.2.0.77:7301", "core", link_address=FOUND), *edges(2))
    plane.at(SILENT / 2)
    assert FOUND not in plane.asker.members
    plane.at(SILENT + 0.1)
    assert FOUND in plane.asker.members


def asked(asker):
    effects, asker.effects[:] = list(asker.effects), []
    return [effect.address for effect in effects]


def test_while_one_that_is_named_answers_no_other_is_asked():
    asker, now = Watcher(EDGE, SEEDS, Random(3), 0.0, beat=0.5), 0.0
    asker.met([FOUND])
    seen = []
    while now < 120.0:
        now += 0.25
        asker.tick(now)
        for address in asked(asker):
            seen.append(address)
            asker.answered(now, address, told(1)) if address == SEEDS[1] else asker.failed(now, address)
    assert FOUND not in seen[3:] and SEEDS[1] in seen


def test_when_all_that_are_named_fail_the_one_found_serves_and_names_the_next():
    asker, now = Watcher(EDGE, SEEDS, Random(3), 0.0, beat=0.5), 0.0
    asker.met([FOUND])
    while asker.main is None or asker.main.address != FOUND:
        now += 0.1
        assert now < 5.0
        asker.tick(now)
        for address in asked(asker):
            if address == FOUND:
                asker.answered(now, address, WatchResponse(None, None, 3, (FOUND,), 0.0, 0.0))
            else:
                asker.failed(now, address)
    assert asker.members[FOUND].named and asker.counts == FleetView(3, (FOUND,))


def test_those_found_are_bounded():
    asker = Watcher(EDGE, SEEDS, Random(3), 0.0)
    asker.met(f"10.9.0.{number}:7300" for number in range(1, 200))
    assert len(asker.members) == MOST
