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


def endpoint_entries(*names: str) -> list[dict]:
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
        stale: members that receive neither heartbeats of the primary nor the endpoint list.
    """

    def __init__(self, seed=1, transit_s=0.01, seeds=SEEDS, max_wait_s=1.0, numbered=True) -> None:
        self.random, self.now, self.events, self.event_numbers = Random(seed), 100.0, [], count()
        self.transit_s = dict.fromkeys(SEEDS, transit_s)
        self.hubs = {address: WatchHub(self.now) for address in SEEDS}
        self.lists = {address: EndpointList(lambda: self.now) for address in SEEDS}
        self.silent, self.refusing, self.stale = set(), set(), set()
        self.sent_requests, self.numbered = [], numbered
        self.open: dict[int, object] = {}
        self.applied: dict[str, object] = {}
        self.applied_updates: list[tuple[float, object]] = []
        self.epoch, self.sequence = 1, 0
        self.polled_list = EndpointList(lambda: self.now)
        self.polled_list.begin_term(1)
        self.endpoint_names = ["a", "b"]
        self.at(0.0, self.send_heartbeats)
        self.watcher = Watcher(EDGE, seeds, self.random, self.now, max_wait_s=max_wait_s)
        self.execute_instructions()

    def at(self, after: float, call, *args) -> None:
        heappush(self.events, (self.now + after, next(self.event_numbers), call, args))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while True:
            due = [(self.events[0][0], 0)] if self.events else []
            due.append((max(self.now, self.watcher.wake_at()), 1))
            due += [(max(self.now, hub.wake_at()), address) for address, hub in self.hubs.items()]
            at, destination = min(due, key=lambda pair: pair[0])
            if at > until:
                break
            self.now = at
            if destination == 0:
                _, _, call, args = heappop(self.events)
                call(*args)
            elif destination == 1:
                self.watcher.handle_event(TickEvent(self.now))
            else:
                self.hubs[destination].tick(self.now)
            self.execute_instructions()
        self.now = until

    def execute_instructions(self) -> None:
        self.watcher.check_invariants()
        for instruction in self.watcher.take_instructions():
            match instruction:
                case SendWatchRequest():
                    self.send(instruction)
                case ApplyUpdates(updates):
                    for update in updates:
                        self.applied_updates.append((self.now, update))
                        self.apply(update)

    def handle(self, event) -> None:
        self.watcher.handle_event(event)
        self.watcher.check_invariants()

    def send(self, sent) -> None:
        assert sent.is_probe == (sent.request.wait_s == 0)
        self.sent_requests.append((self.now, sent.address, sent.request.wait_s))
        self.open[sent.number] = sent
        transit_s = self.transit_s.get(sent.address, 0.01)
        if sent.address not in self.hubs or sent.address in self.refusing:
            self.at(transit_s, self.report, sent, None)
        else:
            self.at(transit_s, self.deliver_request, sent)
            self.at(sent.timeout_s, self.report, sent, None)

    def deliver_request(self, sent) -> None:
        if sent.address in self.silent:
            return
        request = decode(encode(sent.request))
        self.hubs[sent.address].watch(
            self.now,
            request,
            lambda response: self.at(
                self.transit_s[sent.address], self.deliver_response, sent, decode(encode(response))
            ),
        )

    def deliver_response(self, sent, response) -> None:
        if sent.address not in self.silent:
            self.report(sent, response)

    def report(self, sent, response) -> None:
        if self.open.pop(sent.number, None) is None:
            return
        number = [sent.number] if self.numbered else []
        if response is None:
            self.handle(RequestFailedEvent(self.now, sent.address, *number))
        else:
            self.handle(ResponseEvent(self.now, sent.address, response, *number))

    def apply(self, update) -> None:
        match update:
            case ControlChange():
                assert (update.epoch, update.sequence) > self.applied.get("control", (0, 0))
                self.applied["control"] = (update.epoch, update.sequence)
                if update.configuration is not None:
                    self.applied["configuration"] = update.configuration
                self.applied["evacuations"] = update.evacuations
            case EndpointUpdate():
                known_endpoints = {} if update.is_full else self.applied["list"]
                known_endpoints = {
                    name: endpoint for name, endpoint in known_endpoints.items() if name not in update.removed
                }
                self.applied["list"] = known_endpoints | {
                    endpoint.id: endpoint for endpoint in update.changed
                }
            case FleetView():
                self.applied["counts"] = update

    # --- the core members

    def send_heartbeats(self) -> None:
        """Delivers the primary's heartbeat and the list with its age to all members that receive them."""
        self.polled_list.apply_poll(self.now, endpoint_entries(*self.endpoint_names))
        for address, hub in self.hubs.items():
            hub.set_members(self.now, SEEDS)
            if address not in self.stale:
                hub.set_confirmed_at(self.now)
                held = self.lists[address]
                if held.apply_update(
                    self.polled_list.update_since(*held.version, now=self.now), now=self.now
                ):
                    hub.set_endpoint_list(self.now, held)
        self.at(0.25, self.send_heartbeats)

    def change(self, version: int, *zones: str) -> None:
        self.sequence += 1
        for address, hub in self.hubs.items():
            if address not in self.stale:
                hub.apply_control_state(self.now, self.epoch, self.sequence, state(version, *zones))


def test_two_members_are_asked_at_the_start_and_one_from_then_on():
    world = World()
    world.change(3)
    assert [at for at, _, _ in world.sent_requests] == [100.0, 100.0]
    assert len({address for _, address, _ in world.sent_requests}) == 2
    world.run(0.05)
    assert world.applied["configuration"] == state(3)["configuration"]
    assert set(world.applied["list"]) == {"a", "b"}
    world.run(3.0)  # the third member is measured meanwhile
    world.sent_requests.clear()
    world.run(20.0)
    assert {address for _, address, _ in world.sent_requests} == {world.watcher.preferred_member.address}
    assert len(world.sent_requests) == pytest.approx(20, abs=2)


@pytest.mark.parametrize("failure", ["silent", "refusing"])
@pytest.mark.parametrize("seed", range(6))
def test_a_dead_seed_does_not_delay_the_start(failure, seed):
    world = World(seed)
    getattr(world, failure).add(SEEDS[seed % 3])
    world.change(3)
    world.run(0.06)
    assert "configuration" in world.applied
    world.run(1.0)
    assert world.watcher.received.counts.edge_count == 1 and world.watcher.received.counts.members == SEEDS


@pytest.mark.parametrize("numbered", [True, False])
def test_changes_are_received_within_one_transit_time(numbered):
    world = World(numbered=numbered)
    world.run(5.3)
    world.change(3)
    world.run(0.0101)
    assert world.applied["configuration"] == state(3)["configuration"]
    for version in range(4, 30):
        world.run(0.08)
        world.change(version)
    world.run(0.05)
    assert world.applied["configuration"] == state(29)["configuration"]
    world.endpoint_names = ["a", "c"]
    world.run(0.3)
    assert set(world.applied["list"]) == {"a", "c"}


def test_unchanged_configurations_are_not_sent_again():
    world = World()
    world.change(3)
    world.run(1.0)
    world.applied_updates.clear()
    world.change(3, "south-a")
    world.run(0.1)
    (change,) = (update for _, update in world.applied_updates if isinstance(update, ControlChange))
    assert change.configuration is None and change.evacuations == ("south-a",)


@pytest.mark.parametrize("seed", range(4))
def test_the_closest_member_is_preferred(seed):
    world = World(seed)
    world.transit_s = dict(zip(SEEDS, (0.035, 0.0009, 0.036), strict=True))
    world.run(5.0)
    assert world.watcher.preferred_member.address == SEEDS[1]
    world.sent_requests.clear()
    world.run(100.0)
    far = [address for _, address, _ in world.sent_requests if address != SEEDS[1]]
    assert len(far) <= 8


@pytest.mark.parametrize("numbered", [True, False])
@pytest.mark.parametrize("failure", ["silent", "refusing"])
@pytest.mark.parametrize("seed", range(4))
def test_another_member_is_preferred_when_one_dies_and_the_close_one_when_it_is_back(seed, failure, numbered):
    world = World(seed, numbered=numbered)
    world.transit_s = dict(zip(SEEDS, (0.001, 0.035, 0.036), strict=True))
    world.run(5.0)
    assert world.watcher.preferred_member.address == SEEDS[0]
    getattr(world, failure).add(SEEDS[0])
    world.change(3)
    world.run(2.0)
    assert world.applied["configuration"] == state(3)["configuration"]
    assert (
        world.watcher.preferred_member.address != SEEDS[0] and world.watcher.response_age_s(world.now) < 1.2
    )
    getattr(world, failure).discard(SEEDS[0])
    world.run(7.0)
    assert world.watcher.preferred_member.address == SEEDS[0]


def test_dead_members_are_not_asked_all_the_time():
    world = World()
    world.refusing = {*SEEDS[1:]}
    world.run(20.0)
    world.sent_requests.clear()
    world.run(60.0)
    assert sum(address in world.refusing for _, address, _ in world.sent_requests) <= 2 * 60 / 4


@pytest.mark.parametrize("failure", ["silent", "refusing"])
def test_all_members_fail_and_return(failure):
    world = World()
    world.change(3)
    world.run(5.0)
    getattr(world, failure).update(SEEDS)
    world.sent_requests.clear()
    world.run(30.0)
    assert 30 < len(world.sent_requests) < 130
    assert (
        world.watcher.response_age_s(world.now) > 28
        and world.applied["configuration"] == state(3)["configuration"]
    )
    getattr(world, failure).clear()
    world.change(4)
    world.run(1.2)
    assert (
        world.applied["configuration"] == state(4)["configuration"]
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
    world.applied["list"] = {}
    world.handle(OwnListAppliedEvent(world.now))
    update = EndpointUpdate(held[0], held[1] - 1, 0.5)
    assert not world.watcher.received.is_newer_list(world.now, update)
    world.silent.clear()
    world.run(2.0)
    assert set(world.applied["list"]) == {"a", "b"} and world.watcher.received.endpoint_list == held


@pytest.mark.parametrize("seed", range(4))
def test_if_a_member_is_stale_others_are_probed_and_a_fresher_one_is_preferred(seed):
    world = World(seed)
    world.transit_s = dict(zip(SEEDS, (0.001, 0.035, 0.036), strict=True))
    world.change(3)
    world.run(5.0)
    world.stale.add(SEEDS[0])
    world.run(0.5)
    world.change(4)
    world.run(3.0)
    assert world.applied["configuration"] == state(4)["configuration"]
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.run(3.0)
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.stale.clear()
    world.run(5.0)
    # It hears from the primary again, but knows less than the edge.
    assert world.watcher.preferred_member.address != SEEDS[0]
    world.change(5)
    world.run(40.0)
    assert world.watcher.preferred_member.address == SEEDS[0]
    assert world.applied["configuration"] == state(5)["configuration"]


def test_stale_members_are_probed_in_turn_but_not_all_the_time():
    world = World()
    world.change(3)
    world.run(3.0)
    world.stale.update(SEEDS)
    world.run(5.0)
    world.sent_requests.clear()
    world.run(10.0)
    assert {address for _, address, _ in world.sent_requests} == set(SEEDS)
    assert len(world.sent_requests) < 35


def test_a_changed_edge_status_is_sent_at_once_and_the_replaced_request_is_no_failure():
    for numbered in (True, False):
        world = World(numbered=numbered)
        world.run(5.5)
        preferred = world.watcher.preferred_member
        world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=READY)))
        world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=READY)))
        world.execute_instructions()
        assert sum(at == world.now for at, _, _ in world.sent_requests) == 1
        world.run(0.02)
        (seen,) = world.hubs[preferred.address].listed_edges(world.now)
        assert seen.is_ready
        for step in range(30):
            world.run(0.1 * (step % 4))
            changed = msgspec.structs.replace(EDGE, state=READY, in_flight=step)
            world.handle(EdgeChangedEvent(world.now, changed))
            world.execute_instructions()
        world.run(5.0)
        assert world.watcher.preferred_member is preferred and preferred.failures == 0
        assert world.watcher.response_age_s(world.now) < 1.1


def test_an_edge_that_drains_tells_two_members():
    world = World()
    world.run(5.0)
    world.silent.add(world.watcher.preferred_member.address)
    world.handle(EdgeChangedEvent(world.now, msgspec.structs.replace(EDGE, state=LEAVING)))
    world.execute_instructions()
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
    world.sent_requests.clear()
    world.run(40.0)
    assert not any(address.startswith("10.9") for _, address, _ in world.sent_requests)
    world.refusing.update(SEEDS)
    world.run(5.0)
    assert any(address.startswith("10.9") for _, address, _ in world.sent_requests)


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
    for update in (
        EndpointUpdate(term, number - 1, 0.0),
        EndpointUpdate(term, number + 9, 0.0, term, number + 8),
        EndpointUpdate(term, number, 0.0),
    ):
        world.handle(ResponseEvent(world.now, address, WatchResponse(None, update, 1, SEEDS, 0.0, 0.0, 1.0)))
    assert watcher.received.endpoint_list == (term, number) and not [
        update for update in watcher.received.updates if not isinstance(update, FleetView)
    ]


def test_a_list_of_a_restarted_poller_is_accepted():
    world = World()
    world.polled_list.begin_term(7)
    world.run(3.0)
    assert world.watcher.received.endpoint_list[0] == 7
    for address, hub in world.hubs.items():
        world.lists[address] = EndpointList(lambda: world.now)
        hub.endpoint_list = None
    world.polled_list = EndpointList(lambda: world.now)
    world.polled_list.begin_term(1)
    world.endpoint_names = ["z"]
    world.run(6.0)
    assert set(world.applied["list"]) == {"z"} and world.watcher.received.list_age_s(world.now) < 1.5


def test_a_delayed_response_is_as_old_as_its_request():
    world = World()
    world.run(5.0)
    watcher, preferred = world.watcher, world.watcher.preferred_member
    call = preferred.pending
    world.now += 20.0
    world.handle(
        ResponseEvent(
            world.now, preferred.address, WatchResponse(None, None, 1, SEEDS, 0.25, 0.25, 0.5), call.number
        )
    )
    assert preferred.staleness_s > 15.0
    sent = [one for one in watcher.take_instructions() if isinstance(one, SendWatchRequest)]
    assert [one.request.wait_s for one in sent if one.address != preferred.address] == [0.0]


def test_no_members_and_a_single_member():
    assert Watcher(EDGE, (), Random(1), 0.0).wake_at() > 1e9
    world = World(seeds=SEEDS[:1])
    world.change(3)
    world.run(0.1)
    assert "configuration" in world.applied
    assert Watcher(EDGE, SEEDS, Random(1), 0.0).received.list_age_s(5.0) == UNKNOWN_AGE_S


@pytest.mark.parametrize("seed", range(60))
def test_after_random_faults_the_edge_has_the_newest_state_soon(seed):
    world = World(seed, transit_s=0.02, numbered=seed % 2 == 0)
    chance, version = Random(seed), 0
    for _ in range(60):
        world.run(chance.uniform(0.0, 1.5))
        fault, address = chance.randrange(8), chance.choice(SEEDS)
        if fault < 3:
            version += 1
            world.change(version // 2 + 1, *chance.sample(["x", "y", "z"], chance.randrange(3)))
        elif fault == 3:
            world.endpoint_names = chance.sample("abcdef", 3)
        elif fault == 4:
            world.silent.symmetric_difference_update({address})
        elif fault == 5:
            world.refusing.symmetric_difference_update({address})
        elif fault == 6 and len(world.stale | {address}) < 3:
            world.stale.symmetric_difference_update({address})
        else:
            world.transit_s[address] = chance.choice([0.001, 0.03, 0.07])
    world.silent.clear()
    world.refusing.clear()
    missed, world.stale = world.stale, set()
    world.change(version // 2 + 2, "end")
    for address in missed:
        assert world.hubs[address].control_position == (world.epoch, world.sequence)
    world.run(2.5)
    assert world.applied["configuration"] == state(version // 2 + 2)["configuration"]
    assert world.applied["evacuations"] == ("end",) and set(world.applied["list"]) == set(
        world.endpoint_names
    )
    assert len(world.sent_requests) / (world.now - 100.0) < 8


def test_discovered_members_are_kept_and_asked_only_when_all_listed_ones_fail():
    world = World()
    world.run(1.0)
    found = "10.9.0.7:7300"
    world.handle(MembersDiscoveredEvent((found,)))
    world.run(10.0)
    assert not world.watcher.members[found].listed
    assert found not in {address for _, address, _ in world.sent_requests}
    world.refusing.update(SEEDS)
    world.run(5.0)
    assert found in {address for _, address, _ in world.sent_requests}


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
