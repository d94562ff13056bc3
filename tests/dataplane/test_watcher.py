"""The control client against real watch hubs in virtual time: which member an edge watches, which state it
applies, and how soon it receives changes."""

from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec
import orjson
import pytest

from shedgrade.control_messages import (
    LEAVING,
    READY,
    UNKNOWN_AGE_S,
    ControlChange,
    EdgeStatus,
    EndpointUpdate,
    FleetView,
    WatchResponse,
    decode,
    encode,
)
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.dataplane.control_client import (
    ApplyUpdates,
    EdgeChangedEvent,
    MembersDiscoveredEvent,
    OwnListAppliedEvent,
    RequestFailedEvent,
    ResponseEvent,
    SendWatchRequest,
    TickEvent,
    Watcher,
)

SEEDS = ("10.1.0.14:7300", "10.2.0.41:7300", "10.3.0.12:7300")
EDGE = EdgeStatus("edge-1", "10.1.0.12:8263", "north-a", "north", 5)


def state(version: int, *zones: str) -> dict[str, bytes]:
    return {
        "configuration": b'{"configVersion":%d,"filling":"%s"}' % (version, b"x" * 10_000),
        "version": b"%d" % version,
        "evacuations": orjson.dumps(zones),
    }


def entries(*names: str) -> list[dict]:
    return [
        {
            "instanceId": name,
            "service": "s",
            "address": "10.128.0.9:80",
            "zone": "north-a",
            "state": "available",
        }
        for name in names
    ]


class World:
    """Core members with hubs, one edge, and a network between them.

    Attributes:
        silent: members that neither receive nor send.
        refusing: members whose port refuses connections.
        old: members that receive neither heartbeats of the primary nor the endpoint list.
    """

    def __init__(self, seed=1, way=0.01, seeds=SEEDS, max_wait_s=1.0, numbered=True) -> None:
        self.random, self.now, self.events, self.order = Random(seed), 100.0, [], count()
        self.way = dict.fromkeys(SEEDS, way)
        self.hubs = {address: WatchHub(self.now) for address in SEEDS}
        self.lists = {address: EndpointList(lambda: self.now) for address in SEEDS}
        self.silent, self.refusing, self.old = set(), set(), set()
        self.asked, self.numbered = [], numbered
        self.open: dict[int, object] = {}
        self.known: dict[str, object] = {}
        self.told: list[tuple[float, object]] = []
        self.epoch, self.sequence = 1, 0
        self.polls = EndpointList(lambda: self.now)
        self.polls.begin_term(1)
        self.names = ["a", "b"]
        self.at(0.0, self.beat)
        self.watcher = Watcher(EDGE, seeds, self.random, self.now, max_wait_s=max_wait_s)
        self.carry_out()

    def at(self, after: float, call, *args) -> None:
        heappush(self.events, (self.now + after, next(self.order), call, args))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while True:
            due = [(self.events[0][0], 0)] if self.events else []
            due.append((max(self.now, self.watcher.wake_at()), 1))
            due += [(max(self.now, hub.wake_at()), address) for address, hub in self.hubs.items()]
            at, who = min(due, key=lambda pair: pair[0])
            if at > until:
                break
            self.now = at
            if who == 0:
                _, _, call, args = heappop(self.events)
                call(*args)
            elif who == 1:
                self.watcher.handle_event(TickEvent(self.now))
            else:
                self.hubs[who].tick(self.now)
            self.carry_out()
        self.now = until

    def carry_out(self) -> None:
        self.watcher.check_invariants()
        for instruction in self.watcher.take_instructions():
            match instruction:
                case SendWatchRequest():
                    self.send(instruction)
                case ApplyUpdates(updates):
                    for update in updates:
                        self.told.append((self.now, update))
                        self.apply(update)

    def handle(self, event) -> None:
        self.watcher.handle_event(event)
        self.watcher.check_invariants()

    def send(self, sent) -> None:
        assert sent.is_probe == (sent.request.wait_s == 0)
        self.asked.append((self.now, sent.address, sent.request.wait_s))
        self.open[sent.number] = sent
        way = self.way.get(sent.address, 0.01)
        if sent.address not in self.hubs or sent.address in self.refusing:
            self.at(way, self.report, sent, None)
        else:
            self.at(way, self.arrives, sent)
            self.at(sent.timeout_s, self.report, sent, None)

    def arrives(self, sent) -> None:
        if sent.address in self.silent:
            return
        ask = decode(encode(sent.request))
        self.hubs[sent.address].watch(
            self.now,
            ask,
            lambda told: self.at(self.way[sent.address], self.comes, sent, decode(encode(told))),
        )

    def comes(self, sent, told) -> None:
        if sent.address not in self.silent:
            self.report(sent, told)

    def report(self, sent, told) -> None:
        if self.open.pop(sent.number, None) is None:
            return
        number = [sent.number] if self.numbered else []
        if told is None:
            self.handle(RequestFailedEvent(self.now, sent.address, *number))
        else:
            self.handle(ResponseEvent(self.now, sent.address, told, *number))

    def apply(self, update) -> None:
        match update:
            case ControlChange():
                assert (update.epoch, update.sequence) > self.known.get("control", (0, 0))
                self.known["control"] = (update.epoch, update.sequence)
                if update.configuration is not None:
                    self.known["configuration"] = update.configuration
                self.known["evacuations"] = update.evacuations
            case EndpointUpdate():
                held = {} if update.is_full else self.known["list"]
                held = {name: one for name, one in held.items() if name not in update.removed}
                self.known["list"] = held | {one.id: one for one in update.changed}
            case FleetView():
                self.known["counts"] = update

    # --- the core members

    def beat(self) -> None:
        """Delivers the primary's heartbeat and the list with its age to all members that receive them."""
        self.polls.apply_poll(self.now, entries(*self.names))
        for address, hub in self.hubs.items():
            hub.set_members(self.now, SEEDS)
            if address not in self.old:
                hub.set_confirmed_at(self.now)
                held = self.lists[address]
                if held.apply_update(self.polls.update_since(*held.version, now=self.now), now=self.now):
                    hub.set_endpoint_list(self.now, held)
        self.at(0.25, self.beat)

    def change(self, version: int, *zones: str) -> None:
        self.sequence += 1
        for address, hub in self.hubs.items():
            if address not in self.old:
                hub.apply_control_state(self.now, self.epoch, self.sequence, state(version, *zones))


def test_two_members_are_asked_at_the_start_and_one_from_then_on():
    world = World()
    world.change(3)
    assert [at for at, _, _ in world.asked] == [100.0, 100.0]
    assert len({address for _, address, _ in world.asked}) == 2
    world.run(0.05)
    assert world.known["configuration"] == state(3)["configuration"]
    assert set(world.known["list"]) == {"a", "b"}
    world.run(3.0)  # the third member is measured meanwhile
    world.asked.clear()
    world.run(20.0)
    assert {address for _, address, _ in world.asked} == {world.watcher.preferred_member.address}
    assert len(world.asked) == pytest.approx(20, abs=2)


@pytest.mark.parametrize("how", ["silent", "refusing"])
@pytest.mark.parametrize("seed", range(6))
def test_a_dead_seed_does_not_delay_the_start(how, seed):
    world = World(seed)
    getattr(world, how).add(SEEDS[seed % 3])
    world.change(3)
    world.run(0.06)
    assert "configuration" in world.known
    world.run(1.0)
    assert world.watcher.received.counts.edge_count == 1 and world.watcher.received.counts.members == SEEDS


@pytest.mark.parametrize("numbered", [True, False])
def test_changes_are_received_within_one_transit_time(numbered):
    world = World(numbered=numbered)
    world.run(5.3)
    world.change(3)
    world.run(0.0101)
    assert world.known["configuration"] == state(3)["configuration"]
    for version in range(4, 30):
        world.run(0.08)
        world.change(version)
    world.run(0.05)
    assert world.known["configuration"] == state(29)["configuration"]
    world.names = ["a", "c"]
    world.run(0.3)
    assert set(world.known["list"]) == {"a", "c"}


def test_unchanged_configurations_are_not_sent_again():
    world = World()
    world.change(3)
    world.run(1.0)
    world.told.clear()
    world.change(3, "south-a")
    world.run(0.1)
    (change,) = (update for _, update in world.told if isinstance(update, ControlChange))
    assert change.configuration is None and change.evacuations == ("south-a",)


@pytest.mark.parametrize("seed", range(4))
def test_the_closest_member_is_preferred(seed):
    world = World(seed)
    world.way = dict(zip(SEEDS, (0.035, 0.0009, 0.036), strict=True))
    world.run(5.0)
    assert world.watcher.preferred_member.address == SEEDS[1]
    world.asked.clear()
    world.run(100.0)
    far = [address for _, address, _ in world.asked if address != SEEDS[1]]
    assert len(far) <= 8


@pytest.mark.parametrize("numbered", [True, False])
@pytest.mark.parametrize("how", ["silent", "refusing"])
@pytest.mark.parametrize("seed", range(4))
def test_another_member_is_preferred_when_one_dies_and_the_close_one_when_it_is_back(seed, how, numbered):
    world = World(seed, numbered=numbered)
    world.way = dict(zip(SEEDS, (0.001, 0.035, 0.036), strict=True))
    world.run(5.0)
    assert world.watcher.preferred_member.address == SEEDS[0]
    getattr(world, how).add(SEEDS[0])
    world.change(3)
    world.run(2.0)
    assert world.known["configuration"] == state(3)["configuration"]
    assert (
        world.watcher.preferred_member.address != SEEDS[0] and world.watcher.response_age_s(world.now) < 1.2
    )
    getattr(world, how).discard(SEEDS[0])
    world.run(7.0)
    assert world.watcher.preferred_member.address == SEEDS[0]


def test_dead_members_are_not_asked_all_the_time():
    world = World()
    world.refusing = {*SEEDS[1:]}
    world.run(20.0)
    world.asked.clear()
    world.run(60.0)
    assert sum(address in world.refusing for _, address, _ in world.asked) <= 2 * 60 / 4


@pytest.mark.parametrize("how", ["silent", "refusing"])
def test_all_members_fail_and_return(how):
    world = World()
    world.change(3)
    world.run(5.0)
    getattr(world, how).update(SEEDS)
    world.asked.clear()
    world.run(30.0)
    assert 30 < len(world.asked) < 130
    assert (
        world.watcher.response_age_s(world.now) > 28
        and world.known["configuration"] == state(3)["configuration"]
    )
    getattr(world, how).clear()
    world.change(4)
    world.run(1.2)
    assert (
        world.known["configuration"] == state(4)["configuration"]
        and world.watcher.response_age_s(world.now) < 1.2
    )


def test_the_platform_is_polled_only_when_all_members_are_silent_and_at_a_share_of_its_rate():
    world = World()
    world.run(5.0)
    assert world.watcher.platform_poll_interval_s(world.now, 40.0) is None
    world.silent.update(SEEDS)
    world.run(5.0)
    assert world.watcher.platform_poll_interval_s(world.now, 40.0) == 3.0
    world.watcher.received.counts = FleetView(540, SEEDS)
    assert world.watcher.platform_poll_interval_s(world.now, 40.0) == pytest.approx(54.0)
    assert Watcher(EDGE, SEEDS, Random(1), 0.0).platform_poll_interval_s(3.5, 4.0) == 3.0


def test_an_edge_that_applied_its_own_list_gets_a_complete_list_next_and_no_older_one():
    world = World()
    world.run(2.0)
    held = world.watcher.received.endpoint_list
    world.silent.update(SEEDS)
    world.run(4.0)
    world.known["list"] = {}
    world.handle(OwnListAppliedEvent(world.now))
    moved = EndpointUpdate(held[0], held[1] - 1, 0.5)
    assert not world.watcher.received.is_newer_list(world.now, moved)
    world.silent.clear()
    world.run(2.0)
    assert set(world.known["list"]) == {"a", "b"} and world.watcher.received.endpoint_list == held


@pytest.mark.parametrize("seed", range(4))
def test_if_a_member_is_stale_others_are_probed_and_a_fresher_one_is_preferred(seed):
    world = World(seed)
    world.way = dict(zip(SEEDS, (0.001, 0.035, 0.036), strict=True))
    world.change(3)
    world.run(5.0)
    world.old.add(SEEDS[0])
    world.run(0.5)
    world.change(4)
    world.run(3.0)
    assert world.known["configuration"] == state(4)["configuration"]
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.run(3.0)
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.old.clear()
    world.run(5.0)
    # It hears from the primary again, but knows less than the edge.
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.change(5)
    world.run(40.0)
    assert world.watcher.preferred_member.address == SEEDS[0]
    assert world.known["configuration"] == state(5)["configuration"]


def test_stale_members_are_probed_in_turn_but_not_all_the_time():
    world = World()
    world.change(3)
    world.run(3.0)
    world.old.update(SEEDS)
    world.run(5.0)
    world.asked.clear()
    world.run(10.0)
    assert {address for _, address, _ in world.asked} == set(SEEDS)
    assert len(world.asked) < 35


def test_a_changed_edge_status_is_sent_at_once_and_the_replaced_request_is_no_failure():
    for numbered in (True, False):
        world = World(numbered=numbered)
        world.run(5.5)
        main = world.watcher.preferred_member
        world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=READY)))
        world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=READY)))
        world.carry_out()
        assert sum(at == world.now for at, _, _ in world.asked) == 1
        world.run(0.02)
        (seen,) = world.hubs[main.address].listed_edges(world.now)
        assert seen.ready
        for step in range(30):
            world.run(0.1 * (step % 4))
            changed = msgspec.structs.replace(EDGE, state=READY, in_flight=step)
            world.handle(EdgeChangedEvent(world.now, changed))
            world.carry_out()
        world.run(5.0)
        assert world.watcher.preferred_member is main and main.failures == 0
        assert world.watcher.response_age_s(world.now) < 1.1


def test_an_edge_that_drains_tells_two_members():
    world = World()
    world.run(5.0)
    world.silent.add(world.watcher.preferred_member.address)
    world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=LEAVING)))
    world.carry_out()
    world.run(0.1)
    assert any(
        heard.edge.state == LEAVING
        for hub in world.hubs.values()
        for heard in hub.edges.own_edges(world.now).edges
    )


def test_members_listed_in_responses_replace_dead_seeds():
    world = World(seeds=("10.9.0.1:7300", "10.9.0.2:7300", SEEDS[0]))
    world.run(10.0)
    assert {member.address for member in world.watcher.members.values() if member.listed} == set(SEEDS)
    world.asked.clear()
    world.run(40.0)
    assert not any(address.startswith("10.9") for _, address, _ in world.asked)
    world.refusing.update(SEEDS)
    world.run(5.0)
    assert any(address.startswith("10.9") for _, address, _ in world.asked)


def test_a_response_that_cannot_be_decoded_counts_as_a_failure():
    world = World()
    world.run(5.0)
    broken = WatchResponse(ControlChange(9, 9, 9, b"junk", (), True), None, 1, SEEDS, 0.0, 0.0)
    world.handle(ResponseEvent(world.now, world.watcher.preferred_member.address, broken))
    assert world.watcher.received.control == (0, 0) and not world.watcher.received.updates


def test_older_responses_and_responses_to_older_requests_change_nothing():
    world = World()
    world.change(3)
    world.change(3, "south-a")
    world.run(5.0)
    watcher, address = world.watcher, world.watcher.preferred_member.address
    assert watcher.received.control == (1, 2) and watcher.received.configuration_version == 3
    for change in (
        ControlChange(1, 1, 2, b"old"),
        ControlChange(1, 2, 3, b"same"),
        ControlChange(0, 9, 9, b"old"),
        ControlChange(1, 3, 4, None),
    ):
        world.handle(ResponseEvent(world.now, address, WatchResponse(change, None, 1, SEEDS, 0.0, 0.0, 1.0)))
    assert watcher.received.control == (1, 2) and watcher.received.configuration_version == 3
    term, number = watcher.received.endpoint_list
    for moved in (
        EndpointUpdate(term, number - 1, 0.0),
        EndpointUpdate(term, number + 9, 0.0, term, number + 8),
        EndpointUpdate(term, number, 0.0),
    ):
        world.handle(ResponseEvent(world.now, address, WatchResponse(None, moved, 1, SEEDS, 0.0, 0.0, 1.0)))
    assert watcher.received.endpoint_list == (term, number) and not [
        update for update in watcher.received.updates if not isinstance(update, FleetView)
    ]


def test_a_list_of_a_restarted_poller_is_accepted():
    world = World()
    world.polls.begin_term(7)
    world.run(3.0)
    assert world.watcher.received.endpoint_list[0] == 7
    for address, hub in world.hubs.items():
        world.lists[address] = EndpointList(lambda: world.now)
        hub.endpoint_list = None
    world.polls = EndpointList(lambda: world.now)
    world.polls.begin_term(1)
    world.names = ["z"]
    world.run(6.0)
    assert set(world.known["list"]) == {"z"} and world.watcher.received.list_age_s(world.now) < 1.5


def test_a_delayed_response_is_as_old_as_its_request():
    world = World()
    world.run(5.0)
    watcher, main = world.watcher, world.watcher.preferred_member
    call = main.pending
    world.now += 20.0
    world.handle(
        ResponseEvent(
            world.now, main.address, WatchResponse(None, None, 1, SEEDS, 0.25, 0.25, 0.5), call.number
        )
    )
    assert main.staleness_s > 15.0
    sent = [one for one in watcher.take_instructions() if isinstance(one, SendWatchRequest)]
    assert [one.request.wait_s for one in sent if one.address != main.address] == [0.0]


def test_no_members_and_a_single_member():
    assert Watcher(EDGE, (), Random(1), 0.0).wake_at() > 1e9
    world = World(seeds=SEEDS[:1])
    world.change(3)
    world.run(0.1)
    assert "configuration" in world.known
    assert Watcher(EDGE, SEEDS, Random(1), 0.0).received.list_age_s(5.0) == UNKNOWN_AGE_S


@pytest.mark.parametrize("seed", range(60))
def test_after_random_faults_the_edge_has_the_newest_state_soon(seed):
    world = World(seed, way=0.02, numbered=seed % 2 == 0)
    chance, version = Random(seed), 0
    for _ in range(60):
        world.run(chance.uniform(0.0, 1.5))
        what, who = chance.randrange(8), chance.choice(SEEDS)
        if what < 3:
            version += 1
            world.change(version // 2 + 1, *chance.sample(["x", "y", "z"], chance.randrange(3)))
        elif what == 3:
            world.names = chance.sample("abcdef", 3)
        elif what == 4:
            world.silent.symmetric_difference_update({who})
        elif what == 5:
            world.refusing.symmetric_difference_update({who})
        elif what == 6 and len(world.old | {who}) < 3:
            world.old.symmetric_difference_update({who})
        else:
            world.way[who] = chance.choice([0.001, 0.03, 0.07])
    world.silent.clear()
    world.refusing.clear()
    missed, world.old = world.old, set()
    world.change(version // 2 + 2, "end")
    for address in missed:
        assert world.hubs[address].control_position == (world.epoch, world.sequence)
    world.run(2.5)
    assert world.known["configuration"] == state(version // 2 + 2)["configuration"]
    assert world.known["evacuations"] == ("end",) and set(world.known["list"]) == set(world.names)
    assert len(world.asked) / (world.now - 100.0) < 8


def test_discovered_members_are_kept_and_asked_only_when_all_listed_ones_fail():
    world = World()
    world.run(1.0)
    found = "10.9.0.7:7300"
    world.handle(MembersDiscoveredEvent((found,)))
    world.run(10.0)
    assert not world.watcher.members[found].listed
    assert found not in {address for _, address, _ in world.asked}
    world.refusing.update(SEEDS)
    world.run(5.0)
    assert found in {address for _, address, _ in world.asked}


@pytest.mark.parametrize(
    "broken",
    [
        lambda watcher: setattr(watcher.preferred_member, "failures", 1),
        lambda watcher: watcher.members.pop(watcher.preferred_member.address),
        lambda watcher: watcher.preferred_member.unreported.clear(),
        lambda watcher: setattr(watcher.received, "withheld_until", 7.0),
        lambda watcher: setattr(watcher.received, "endpoint_list", (9, 9)),
        lambda watcher: setattr(watcher, "request_number", 0),
    ],
    ids=["failed", "unknown", "pending unreported", "withheld", "list over its floor", "number"],
)
def test_check_invariants_finds_violations(broken):
    world = World()
    world.change(3)
    world.run(5.0)
    world.watcher.check_invariants()
    broken(world.watcher)
    with pytest.raises(AssertionError):
        world.watcher.check_invariants()
