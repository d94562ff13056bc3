"""Partial views in simulated time, by seed: discovery, dropping dead nodes, and healing after faults."""

import doctest
import heapq
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.membership import messages, population, table
from shedgrade.membership.messages import (
    Ack,
    Descriptor,
    MembershipUpdate,
    Node,
    Ping,
    Rumour,
    ShuffleRequest,
)
from shedgrade.membership.view import PartialView, PendingShuffle

SEEDS = 3


def node(number, **fields):
    address = f"10.{number % 3}.{number // 200}.{number % 200 + 1}"
    return Node(
        f"{'core' if number < SEEDS else 'edge'}-dublin-hall-{number}",
        f"{address}:7301",
        "core" if number < SEEDS else "edge",
        "dublin-hall",
        1000 + number,
        f"{address}:7300",
        "" if number < SEEDS else f"{address}:8263",
        **fields,
    )


class SimulatedNetwork:
    """`count` views that start within 0.3 s and know three seeds. Datagrams take `delay` s, and are lost with
    the probability `loss`."""

    def __init__(self, seed, count, loss=0.01, delay=(0.001, 0.06)):
        self.random, self.loss, self.delay = Random(seed), loss, delay
        self.now, self.event_number, self.events = 10.0, 0, []
        self.views, self.wake_times = {}, {}
        self.is_cut = lambda a, b: False
        self.stopped = set()
        self.sent = self.bytes = 0
        self.seeds = [Node("", node(number).address) for number in range(SEEDS)]
        for number in range(count):
            self.schedule(self.now + self.random.uniform(0, 0.3), "start", node(number), None)
        self.run(0.3)

    def schedule(self, at, *event):
        self.event_number += 1
        heapq.heappush(self.events, (at, self.event_number, *event))

    def start(self, own_node):
        view = self.views[own_node.address] = PartialView(own_node, Random(self.random.random()), self.now)
        view.add_contacts(self.seeds)
        self.wake_times.pop(own_node.address, None)
        self.apply_instructions(own_node.address)

    def kill(self, address):
        del self.views[address]

    def apply_instructions(self, address):
        """Sends the view's instructions and schedules its next tick."""
        view = self.views[address]
        for instruction in view.instructions:
            assert len(instruction.body) <= 1200
            self.sent += 1
            self.bytes += len(instruction.body)
            if self.random.random() >= self.loss and not self.is_cut(address, instruction.address):
                self.schedule(
                    self.now + self.random.uniform(*self.delay),
                    "deliver",
                    instruction.address,
                    (address, instruction.body),
                )
        view.instructions.clear()
        view.check_invariants()
        at = view.wake_at()
        if at < self.wake_times.get(address, float("inf")):
            self.wake_times[address] = at
            self.schedule(max(at, self.now), "wake", address, at)

    def run(self, seconds, until=lambda: False):
        """Runs for `seconds`, or until `until()` holds, which is checked every 0.2 s. Returns the seconds
        until it held, or None if it didn't."""
        start, end, next_check_at = self.now, self.now + seconds, self.now
        while self.events and self.events[0][0] <= end:
            if self.events[0][0] >= next_check_at:
                if until():
                    return next_check_at - start
                next_check_at += 0.2
                continue
            self.now, _, kind, receiver, payload = heapq.heappop(self.events)
            if kind == "start":
                self.start(receiver)
            elif receiver in self.stopped:
                if kind == "wake":
                    self.schedule(self.now + 0.05, kind, receiver, payload)
            elif receiver in self.views:
                if kind == "deliver":
                    if not self.is_cut(payload[0], receiver):
                        self.views[receiver].receive(self.now, *payload)
                elif self.wake_times.get(receiver) == payload:
                    del self.wake_times[receiver]
                    self.views[receiver].tick(self.now)
                self.apply_instructions(receiver)
        self.now = end
        return None

    def names(self, address):
        return {each.name for each in self.views[address].nodes()}

    def all_know_all(self):
        """Returns whether all views contain all members."""
        all_names = {view.table.own_node.name for view in self.views.values()}
        return all(self.names(address) == all_names for address in self.views)

    def addresses_knowing(self, name):
        return [address for address in self.views if name in self.names(address)]

    def in_degrees(self):
        degrees = {view.table.own_node.name: 0 for view in self.views.values()}
        for view in self.views.values():
            for each in view.nodes()[1:]:
                if each.name in degrees:
                    degrees[each.name] += 1
        return sorted(degrees.values())

    def count_connected(self):
        """Returns how many members are connected to one of them by views, in either direction."""
        neighbours = {address: set() for address in self.views}
        for address, view in self.views.items():
            for each in view.nodes()[1:]:
                if each.address in neighbours:
                    neighbours[address].add(each.address)
                    neighbours[each.address].add(address)
        start_address = next(iter(neighbours))
        seen, unvisited = {start_address}, [start_address]
        while unvisited:
            for neighbour in neighbours[unvisited.pop()] - seen:
                seen.add(neighbour)
                unvisited.append(neighbour)
        return len(seen)


def dropped_by_all(network, name):
    return lambda: not network.addresses_knowing(name)


def any_view_incomplete(network):
    return lambda: not network.all_know_all()


def known_to_all(network, each):
    return lambda: all(each in view.nodes() for view in network.views.values())


def test_nine_members_know_all_within_six_seconds_and_count_exactly():
    for seed in range(20):
        network = SimulatedNetwork(seed, 9)
        assert network.run(6, network.all_know_all) is not None
        network.run(60)
        assert network.all_know_all()
        for view in network.views.values():
            assert (view.count("core"), view.count("edge")) == (3, 6)


def test_traffic_is_one_shuffle_a_period():
    network = SimulatedNetwork(1, 9, loss=0.0)
    network.run(10)
    network.sent = network.bytes = 0
    network.run(60)
    assert network.sent == pytest.approx(2 * 9 * 60 / 1.2, rel=0.02)
    assert network.bytes / network.sent < 250


@pytest.mark.parametrize("count, seconds", [(60, 40), (540, 60)])
def test_many_members_connect_with_similar_in_degrees_and_near_counts(count, seconds):
    network = SimulatedNetwork(5, count)
    network.run(seconds)
    assert network.count_connected() == count
    degrees = network.in_degrees()
    assert degrees[0] >= 4 and degrees[-1] <= 32 and sum(degrees) >= 15.9 * count
    counts = sorted(view.count("core") + view.count("edge") for view in network.views.values())
    assert counts[count // 20] >= 0.75 * count and counts[-1] <= 1.25 * count


def test_nodes_found_one_another_also_if_two_seeds_are_down():
    network = SimulatedNetwork(2, 9)
    down = {node(0).address, node(1).address}
    network.is_cut = lambda a, b: a in down or b in down
    network.run(10)
    assert all(len(view.nodes()) == 7 for address, view in network.views.items() if address not in down)
    network.is_cut = lambda a, b: False
    assert network.run(35, network.all_know_all) is not None


def test_dead_members_are_dropped_by_all_within_nine_seconds():
    drop_times = []
    for seed in range(20):
        network = SimulatedNetwork(seed, 9)
        network.run(15)
        dead = node(seed % 9)
        network.kill(dead.address)
        drop_times.append(network.run(12, dropped_by_all(network, dead.name)))
        network.run(30)
        assert network.all_know_all()
    assert max(drop_times) <= 9.0


def test_dead_members_among_sixty_are_dropped_by_all_within_twenty_five_seconds():
    network = SimulatedNetwork(4, 60)
    network.run(30)
    dead = [node(number) for number in range(10, 30)]
    for each in dead:
        network.kill(each.address)
    assert network.run(25, lambda: not any(network.addresses_knowing(each.name) for each in dead)) is not None
    network.run(30)
    assert network.count_connected() == 40 and sum(network.in_degrees()) >= 15.5 * 40
    assert all(35 <= view.count("core") + view.count("edge") <= 45 for view in network.views.values())


def test_packet_loss_alone_drops_no_member():
    for seed in range(5):
        network = SimulatedNetwork(seed, 9, loss=0.05)
        network.run(15)
        assert network.run(60, any_view_incomplete(network)) is None


def test_a_member_that_was_stopped_refutes():
    for seed in range(10):
        network = SimulatedNetwork(seed, 9)
        network.run(15)
        stopped_node = node(4)
        network.stopped = {stopped_node.address}
        network.run(3.5)
        network.stopped = set()
        assert network.run(20, dropped_by_all(network, stopped_node.name)) is None
        assert network.all_know_all()
        network.stopped = {stopped_node.address}  # long enough for all others to drop it
        network.run(12)
        assert network.addresses_knowing(stopped_node.name) == [stopped_node.address]
        network.stopped = set()
        assert network.run(8, network.all_know_all) is not None
        assert network.views[stopped_node.address].table.incarnation > 0


def test_a_member_that_was_stopped_suspects_no_other():
    network = SimulatedNetwork(3, 9)
    network.run(15)
    network.stopped = {node(4).address}
    network.run(30)
    network.stopped = set()
    assert len(network.names(node(4).address)) == 9
    network.run(10)
    assert network.all_know_all()


def test_a_partition_of_nine_members_heals():
    for seed in range(10):
        network = SimulatedNetwork(seed, 9)
        network.run(15)
        side = {node(number).address for number in (0, 3, 6)}
        network.is_cut = lambda a, b, side=side: (a in side) != (b in side)
        network.run(12)
        assert {len(view.nodes()) for view in network.views.values()} == {3, 6}
        network.is_cut = lambda a, b: False
        assert network.run(10, network.all_know_all) is not None


def test_a_partition_of_sixty_members_heals():
    network = SimulatedNetwork(6, 60)
    network.run(20)
    side = {node(number).address for number in range(60) if number % 3 == 0}
    network.is_cut = lambda a, b: (a in side) != (b in side)
    network.run(40)
    assert network.count_connected() in (20, 40)  # only the side of the member that the search starts from
    network.is_cut = lambda a, b: False
    network.run(40)
    assert network.count_connected() == 60
    mixed = [sum(each.address in side for each in view.nodes()[1:]) for view in network.views.values()]
    assert 4 <= sum(mixed) / len(mixed) <= 7


def test_an_isolated_member_keeps_its_neighbours_for_nine_seconds():
    network = SimulatedNetwork(7, 9)
    network.run(15)
    cut_off_node = node(5)
    network.is_cut = lambda a, b: cut_off_node.address in (a, b)
    network.run(9)
    assert len(network.names(cut_off_node.address)) == 9 and network.addresses_knowing(cut_off_node.name) == [
        cut_off_node.address
    ]
    network.is_cut = lambda a, b: False
    assert network.run(8, network.all_know_all) is not None


def test_a_cut_between_two_members_drops_neither():
    network = SimulatedNetwork(8, 9)
    network.run(15)
    pair = {node(3).address, node(7).address}
    network.is_cut = lambda a, b: {a, b} == pair
    assert network.run(60, any_view_incomplete(network)) is None


def test_a_member_that_leaves_is_removed_at_once_and_can_rejoin():
    for seed in range(10):
        network = SimulatedNetwork(seed, 9, loss=0.0)
        network.run(15)
        leaving_node = node(seed % 9)
        view = network.views[leaving_node.address]
        view.leave(network.now)
        network.apply_instructions(leaving_node.address)
        assert view.wake_at() == float("inf") and view.nodes()[0].state == "leaving"
        network.run(0.4)
        assert network.addresses_knowing(leaving_node.name) == [leaving_node.address]
        network.run(2)
        network.start(msgspec.structs.replace(leaving_node, boot_id=2000))
        assert network.run(10, network.all_know_all) is not None
        assert all(
            leaving_node.name not in {each.name for each in view.nodes() if each.boot_id != 2000}
            for view in network.views.values()
        )


def test_a_member_that_leaves_sixty_is_removed_within_ten_seconds():
    network = SimulatedNetwork(9, 60)
    network.run(30)
    leaving_node = node(20)
    network.views[leaving_node.address].leave(network.now)
    network.apply_instructions(leaving_node.address)
    network.run(0.2)
    network.kill(leaving_node.address)
    assert network.run(10, dropped_by_all(network, leaving_node.name)) is not None


def test_a_restart_and_a_change_of_state_reach_all():
    network = SimulatedNetwork(10, 9)
    network.run(15)
    changed = msgspec.structs.replace(node(5), state="starting")
    network.views[changed.address].update(changed)
    assert network.run(10, known_to_all(network, changed)) is not None
    restarted = msgspec.structs.replace(node(5), boot_id=7)
    network.start(restarted)
    assert network.run(10, known_to_all(network, restarted)) is not None


def test_a_rumour_about_an_earlier_process_is_refuted_by_its_successor():
    # Found by a seed: the entry's incarnation was above the node's own, so the node's answers were ignored.
    network = SimulatedNetwork(13, 9)
    network.run(15)
    for address, view in network.views.items():
        if address != node(5).address:
            view.table.entries[node(5).name].incarnation = 3
    network.run(15)
    assert network.views[node(5).address].table.incarnation == 4
    for address, view in network.views.items():
        if address != node(5).address:
            assert view.table.entries[node(5).name].incarnation == 4


def test_another_process_at_an_address_replaces_the_first():
    network = SimulatedNetwork(11, 9)
    network.run(15)
    replacement = msgspec.structs.replace(node(5), name="edge-spare-1")
    network.start(replacement)
    assert network.run(15, network.all_know_all) is not None and not network.addresses_knowing(node(5).name)


def inject_faults(network, seconds):
    """Injects random faults for `seconds`. At the end all members run, and only a loss of 1 % is left."""
    end, last_boot_id = network.now + seconds, 2000
    all_addresses = sorted(network.views)
    while network.now < end:
        network.run(network.random.uniform(0.1, 5))
        target = network.random.choice(all_addresses)
        match network.random.randrange(7):
            case 0 if target in network.views:
                network.kill(target)
            case 1 if target in network.views and not network.views[target].has_left:
                network.views[target].leave(network.now)
                network.apply_instructions(target)
                network.run(0.1)
                network.kill(target)
            case 2:
                side = set(network.random.sample(all_addresses, network.random.randrange(1, 5)))
                network.is_cut = lambda a, b, side=side: (a in side) != (b in side)
            case 3:
                unreachable = target
                network.is_cut = lambda a, b, unreachable=unreachable: b == unreachable
            case 4:
                network.is_cut = lambda a, b: False
            case 5:
                network.stopped = {target}
            case 6:
                network.stopped, network.loss = set(), network.random.choice((0.0, 0.01, 0.2))
        down = [address for address in all_addresses if address not in network.views]
        if down and network.random.random() < 0.4:
            last_boot_id += 1
            restarted = next(each for each in map(node, range(9)) if each.address == down[0])
            network.start(msgspec.structs.replace(restarted, boot_id=last_boot_id))
    network.is_cut, network.stopped, network.loss = (lambda a, b: False), set(), 0.01
    for address in all_addresses:
        if address not in network.views:
            network.start(next(each for each in map(node, range(9)) if each.address == address))


@pytest.mark.parametrize("first", [0, 10])
def test_after_random_faults_nine_members_know_all_within_eight_seconds(first):
    for seed in range(first, first + 10):
        network = SimulatedNetwork(seed, 9)
        inject_faults(network, 60)
        assert network.run(8, network.all_know_all) is not None, seed
        own_nodes = {view.table.own_node for view in network.views.values()}
        network.run(10)
        assert all(set(view.nodes()) == own_nodes for view in network.views.values()), seed


def test_nodes_that_are_too_long_and_invalid_addresses_are_rejected():
    with pytest.raises(ValueError):
        PartialView(node(1, state="x" * 600), Random(1), 0.0)
    view = PartialView(node(1), Random(1), 0.0)
    with pytest.raises(ValueError):
        view.update(node(1, state="x" * 600))
    with pytest.raises(ValueError):
        view.add_contacts([Node("", "no address")])


def test_long_names_still_fit_a_datagram():
    network = SimulatedNetwork(12, 0)
    for number in range(9):
        network.schedule(network.now, "start", msgspec.structs.replace(node(number), zone="z" * 200), None)
    network.run(0.1)
    assert network.run(20, network.all_know_all) is not None


def test_the_estimator_solves_for_the_number_of_nodes():
    assert doctest.testmod(population) == (0, 2)
    for total in (50, 500):
        random, estimator = Random(total), population.PopulationEstimator()
        for step in range(60):
            estimator.add_samples(step / 2, [(f"n{random.randrange(total)}", "edge") for _ in range(10)])
        assert abs(estimator.count("edge") - total) < 0.15 * total and estimator.count("core") == 0
        estimator.remove(next(iter(estimator.sightings)))
        estimator.add_samples(1000.0, [("n1", "core")] * 3)
        assert (estimator.count("core"), estimator.count("edge")) == (1, 0)


NAMES = st.sampled_from([node(number).name for number in range(5)] + ["", "x"])
ADDRESSES = st.sampled_from([node(number).address for number in range(5)] + ["", "nowhere", "10.0.0.1:99999"])
NODES = st.builds(
    Node,
    NAMES,
    ADDRESSES,
    st.sampled_from(["edge", "core", "?"]),
    st.text(max_size=5),
    st.integers(0, 9),
    state=st.sampled_from(["ready", "leaving", ""]),
)
INCARNATIONS = st.one_of(st.integers(-1, 5), st.just(2**62))
DESCRIPTORS = st.builds(Descriptor, NODES, INCARNATIONS, st.integers(-5, 2**60))
STATUSES = st.sampled_from(["suspected", "dropped", "left", "?"])
RUMOURS = st.lists(st.builds(Rumour, NAMES, INCARNATIONS, STATUSES))
NUMBERS = st.integers(0, 9)
NAME_HASHES = st.one_of(NAMES.map(table.hash_name), st.integers(0, 2**32))
DIGESTS = st.lists(st.builds(messages.Digest, NAME_HASHES, INCARNATIONS, st.integers(-5, 2**60)))
ENCODED_MESSAGES = st.one_of(
    st.builds(ShuffleRequest, NUMBERS, DESCRIPTORS, st.lists(DESCRIPTORS), RUMOURS),
    st.builds(messages.ShuffleResponse, NUMBERS, DESCRIPTORS, st.lists(DESCRIPTORS), RUMOURS, DIGESTS),
    st.builds(messages.DescriptorRequest, st.lists(NAME_HASHES)),
    st.builds(Ping, NUMBERS, DESCRIPTORS, RUMOURS),
    st.builds(Ack, NUMBERS, DESCRIPTORS),
    st.builds(messages.IndirectPing, NUMBERS, ADDRESSES),
    st.builds(messages.IndirectAck, NUMBERS, DESCRIPTORS),
    st.builds(MembershipUpdate, st.lists(DESCRIPTORS), RUMOURS),
).map(messages.encode)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 3),
            st.sampled_from([node(number).address for number in range(5)]),
            st.one_of(ENCODED_MESSAGES, st.binary(max_size=60)),
        ),
        max_size=25,
    )
)
def test_no_received_message_raises_and_every_sent_one_is_valid(steps):
    view, now = PartialView(node(0), Random(1), 0.0), 0.0
    view.add_contacts([Node("", node(number).address) for number in range(5)])
    for wait, sender, body in steps:
        now += wait
        view.tick(now)
        view.receive(now, sender, body)
        for instruction in view.instructions:
            assert len(instruction.body) <= 1200 and table.is_address(instruction.address)
        view.instructions.clear()
        view.check_invariants()
        assert (len(view.nodes()) <= 17 and view.wake_at() >= now - 1e-9) or view.has_left


def break_size(view):
    view.table.size = 1


def break_names(view):
    entry = next(iter(view.table.entries.values()))
    view.table.departed[entry.node.name] = table.Departed(entry.node, 0, table.LEFT, 0.0)


def break_rumours(view):
    view.table.spread(Rumour("edge", 1, "left"))
    view.table.rumours["edge"].sends_left = 0


def break_pending(view):
    view.pending_shuffles[99] = PendingShuffle("x", "10.0.0.1:7301", 0, [], 0.0)


def break_leaving(view):
    view.has_left = True


@pytest.mark.parametrize("fault", [break_size, break_names, break_rumours, break_pending, break_leaving])
def test_a_violated_invariant_is_detected(fault):
    view = PartialView(node(0), Random(1), 0.0)
    view.add_contacts([node(1), node(2)])
    view.check_invariants()
    fault(view)
    with pytest.raises(AssertionError):
        view.check_invariants()
