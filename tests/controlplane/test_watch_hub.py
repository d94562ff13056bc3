"""Delivery: who is answered when, with what, and which edges are known."""

from math import inf
from random import Random
from types import SimpleNamespace

import msgspec
import orjson
import pytest

from shedgrade.control_messages import (
    CLOSED,
    LEAVING,
    NO_DRAIN_TARGET,
    READY,
    UNKNOWN_AGE_S,
    EdgeObservation,
    EdgeObservations,
    EdgeStatus,
    WatchRequest,
    decode,
    decompress_configuration,
    encode,
)
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.runtime import log


def edge(name="edge-1", incarnation=1, state=READY) -> EdgeStatus:
    return EdgeStatus(name, "10.1.0.12:8263", "north-a", "north", incarnation, state)


def state(version: int, *zones: str, filling: int = 10) -> dict[str, bytes]:
    raw = b'{"configVersion":%d,"filling":"%s"}' % (version, b"x" * filling)
    return {"configuration": raw, "version": b"%d" % version, "evacuations": orjson.dumps(zones)}


def upstreams(now: float, *names: str, held: EndpointList | None = None, term=1) -> EndpointList:
    if held is None:
        held = EndpointList(lambda: 0.0)
        held.begin_term(term)
    held.apply_poll(
        now,
        [
            {
                "instanceId": name,
                "service": "s",
                "address": "10.128.0.9:80",
                "zone": "north-a",
                "state": "available",
                "coldLeftMs": 0,
            }
            for name in names
        ],
    )
    return held


class Client:
    """One edge: what it asked and what it was told; messages go through their wire form."""

    def __init__(self, hub: WatchHub, name="edge-1", incarnation=1) -> None:
        self.hub, self.name, self.incarnation, self.told = hub, name, incarnation, []

    def ask(
        self, now, control=(0, 0), held=(0, 0), wait=1.0, version=-1, state=READY, age=UNKNOWN_AGE_S
    ) -> None:
        ask = WatchRequest(edge(self.name, self.incarnation, state), control, held, wait, version, age)
        self.hub.watch(now, decode(encode(ask)), lambda told: self.told.append(decode(encode(told))))


def test_an_edge_with_nothing_is_told_all_at_once():
    hub = WatchHub(100.0)
    hub.set_members(100.0, ("10.1.0.14:7300", "10.2.0.41:7300"))
    hub.apply_control_state(100.0, 1, 3, state(7, "south-a"))
    hub.set_endpoint_list(100.0, upstreams(99.5, "a", "b"))
    hub.set_confirmed_at(99.9)
    client = Client(hub)
    client.ask(100.0)
    (told,) = client.told
    assert (told.control.epoch, told.control.sequence, told.control.version) == (1, 3, 7)
    assert decompress_configuration(told.control) == state(7)[
        "configuration"
    ] and told.control.evacuations == ("south-a",)
    assert told.endpoints.is_full and [one.id for one in told.endpoints.changed] == ["a", "b"]
    assert told.members == hub.member_addresses and told.edge_count == 1
    assert told.primary_age_s == pytest.approx(0.1) and told.endpoints_age_s == 0.5 and told.pending_s == 0


def test_nothing_new_is_told_after_the_beat():
    hub, client = WatchHub(100.0), None
    client = Client(hub)
    assert hub.wake_at() == inf
    client.ask(100.0, wait=1.0)
    assert not client.told and hub.wake_at() == 101.0
    hub.tick(100.9)
    assert not client.told
    hub.tick(101.0)
    (told,) = client.told
    assert told.control is told.endpoints is None
    assert (
        told.primary_age_s == told.endpoints_age_s == UNKNOWN_AGE_S
        and told.pending_s == 1.0
        and hub.wake_at() == inf
    )
    client.ask(102.0, wait=0.0)
    assert len(client.told) == 2


def test_a_pending_watch_is_answered_when_control_state_moves():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 3, state(7))
    client = Client(hub)
    client.ask(100.0, (1, 3), version=7)
    hub.apply_control_state(100.4, 1, 4, state(7, "south-a"))
    (told,) = client.told
    assert told.control.configuration is None and told.control.evacuations == ("south-a",)
    client.ask(100.5, (1, 4), version=7)
    hub.apply_control_state(100.6, 2, 5, state(9, "south-a"))
    assert decompress_configuration(client.told[1].control) == state(9)["configuration"]


def test_a_pending_watch_is_answered_when_the_list_moves():
    hub, held = WatchHub(100.0), upstreams(100.0, "a", "b")
    hub.set_endpoint_list(100.0, held)
    first, second = Client(hub), Client(hub, "edge-2")
    first.ask(100.0, held=(1, 1), age=0.0)
    second.ask(100.0, held=(1, 1), age=0.0)
    hub.set_endpoint_list(100.5, upstreams(100.5, "b", "c", held=held))
    for client in (first, second):
        (told,) = client.told
        assert [one.id for one in told.endpoints.changed] == ["c"] and told.endpoints.removed == ("a",)
        assert (told.endpoints.from_term, told.endpoints.from_number) == (1, 1)


def test_the_primary_may_have_been_heard_earlier():
    hub = WatchHub(100.0)
    hub.set_confirmed_at(100.5)
    hub.set_confirmed_at(100.2)
    client = Client(hub)
    client.ask(101.0, wait=0.0)
    assert client.told[0].primary_age_s == 0.5


def test_that_the_list_is_still_the_same_is_told_with_its_age():
    hub = WatchHub(100.0)
    hub.set_endpoint_list(100.0, upstreams(99.5, "a"))
    client = Client(hub)
    for held, said in (((1, 1), True), ((2, 1), False)):
        client.ask(100.0, held=held, age=0.0, wait=0.0)
        told = client.told.pop().endpoints
        assert (told is not None) == said
        assert told is None or (told.number, told.from_number, told.age_s, told.changed) == (
            1,
            1,
            0.5,
            (),
        )


def test_older_control_state_is_never_told():
    hub, client = WatchHub(100.0), None
    hub.apply_control_state(100.0, 2, 3, state(7))
    hub.apply_control_state(100.0, 1, 9, state(6))
    hub.apply_control_state(100.0, 2, 2, state(6))
    client = Client(hub)
    for held in ((2, 3), (2, 4), (3, 1)):
        client.ask(100.0, held, version=8, wait=0.0)
        assert client.told.pop().control is None
    client.ask(100.0, (1, 99), version=6, wait=0.0)
    assert client.told.pop().control.sequence == 3


def test_a_list_of_a_lower_date_is_told_only_if_it_is_much_fresher():
    hub = WatchHub(100.0)
    hub.set_endpoint_list(100.0, upstreams(100.0, "a"))
    client = Client(hub)
    client.ask(100.0, held=(9, 4), age=2.0, wait=0.5)
    hub.tick(100.5)
    assert client.told.pop().endpoints is None
    client.ask(100.0, held=(9, 4), age=4.0)
    assert client.told.pop().endpoints.is_full


def test_a_newer_ask_of_an_edge_replaces_the_pending_one():
    hub, first, second = WatchHub(100.0), None, None
    first, second = Client(hub), Client(hub, incarnation=2)
    first.ask(100.0)
    second.ask(100.5)
    hub.apply_control_state(100.6, 1, 1, state(1))
    assert not first.told and len(second.told) == 1
    hub.tick(103.0)
    assert not first.told and len(second.told) == 1


def test_an_ask_from_within_an_answer_is_kept():
    hub, told = WatchHub(100.0), []

    def again(answer):
        told.append(answer)
        hub.watch(100.5, WatchRequest(edge(), (1, 1), (0, 0), 1.0, 1), told.append)

    hub.watch(100.0, WatchRequest(edge(), (0, 0), (0, 0), 1.0), again)
    hub.apply_control_state(100.5, 1, 1, state(1))
    assert len(told) == 1
    hub.tick(101.5)
    assert len(told) == 2


def test_big_configurations_travel_compressed_and_are_packed_once():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 1, state(1, filling=100_000))
    client = Client(hub)
    client.ask(100.0)
    packed = hub.encoded_configuration
    client.ask(100.0)
    assert hub.encoded_configuration is packed
    control = client.told[0].control
    assert control.compressed and len(control.configuration) < 2_000
    assert decompress_configuration(control) == state(1, filling=100_000)["configuration"]
    for broken in (control.configuration[:-9], b"x" + control.configuration, b""):
        with pytest.raises(ValueError):
            decompress_configuration(msgspec.structs.replace(control, configuration=broken))


def test_bytes_that_unfold_to_too_much_are_refused():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 1, state(1, filling=17 * 1024 * 1024))
    client = Client(hub)
    client.ask(100.0)
    with pytest.raises(ValueError):
        decompress_configuration(client.told[0].control)


@pytest.mark.parametrize(
    "broken", [{"version": b"x"}, {"evacuations": b"{"}, {"evacuations": b"[1]"}, {"evacuations": b"3"}]
)
def test_a_state_that_can_not_be_read_leaves_the_last_one(broken):
    lines = []
    log.set_sink(
        SimpleNamespace(**{name: lambda text, **fields: lines.append((text, fields)) for name in log.METHODS})
    )
    try:
        hub = WatchHub(100.0)
        hub.apply_control_state(100.0, 1, 1, state(1))
        hub.apply_control_state(100.0, 1, 2, state(2) | broken)
    finally:
        log.set_sink(None)
    assert hub.control_position == (1, 1) and hub.version == 1
    ((text, fields),) = lines
    assert text == "control state decode failed" and (fields["epoch"], fields["sequence"]) == (1, 2)


def test_the_number_of_pending_watches_is_bounded(monkeypatch):
    monkeypatch.setattr("shedgrade.controlplane.watch_hub.MAX_PENDING_WATCHES", 3)
    hub = WatchHub(100.0)
    clients = [Client(hub, f"edge-{number}") for number in range(4)]
    for client in clients:
        client.ask(100.0)
    assert [len(client.told) for client in clients] == [0, 0, 0, 1]


# --- the directory of edges


def listed(hub: WatchHub, now: float) -> list[str]:
    return sorted(seen.name for seen in hub.listed_edges(now))


def stages(hub: WatchHub, now: float) -> list[str]:
    return [seen.state for seen in hub.listed_edges(now)]


def test_an_edge_is_listed_until_its_next_word_is_half_a_second_late():
    hub = WatchHub(100.0)
    Client(hub).ask(100.0, wait=1.0, state="starting")
    (seen,) = hub.listed_edges(100.0)
    assert seen.last_seen == 100.0 and not seen.ready and seen.zone == "north-a" and seen.incarnation == 1
    Client(hub).ask(100.2, wait=1.0)
    assert hub.listed_edges(101.6)[0].ready and listed(hub, 101.8) == []
    assert hub.edges.count(101.8) == 1 and hub.edges.count(104.3) == 0


def test_a_member_that_knows_less_than_an_edge_is_not_fresh():
    hub = WatchHub(100.0)
    hub.set_confirmed_at(100.0)
    told = []
    hub.watch(100.1, WatchRequest(edge(), (2, 2), (0, 0), 0.0), told.append)
    hub.watch(100.1, WatchRequest(edge(), (0, 0), (0, 0), 0.0), told.append)
    assert told[0].primary_age_s == UNKNOWN_AGE_S and told[1].primary_age_s < 1


@pytest.mark.parametrize("stage", [LEAVING, CLOSED])
def test_an_edge_that_ends_is_told_apart_at_once_and_still_answered(stage):
    """One that leaves is listed as such, as it takes what nobody else can; one that is closed is not."""
    hub = WatchHub(100.0)
    client = Client(hub)
    client.ask(100.0)
    client.ask(100.2, state=stage)
    assert stages(hub, 100.2) == [stage] * (stage == LEAVING) and hub.edges.count(100.2) == 1
    hub.update_edges(100.3, [EdgeObservation(edge(), 0.0, 1.0)])
    assert stages(hub, 100.3) == [stage] * (stage == LEAVING)
    hub.apply_control_state(100.5, 1, 1, state(1))
    assert len(client.told) == 1
    Client(hub, incarnation=2).ask(101.0)
    assert listed(hub, 101.0) == ["edge-1"]


def test_it_is_known_since_when_an_edge_leaves():
    hub = WatchHub(100.0)
    client = Client(hub)
    client.ask(100.0)
    for at in (100.2, 100.7, 101.1):
        client.ask(at, state=LEAVING)
    assert [seen.ending_since for seen in hub.listed_edges(101.1)] == [100.2]
    Client(hub, incarnation=2).ask(101.5, state=LEAVING)
    assert [seen.ending_since for seen in hub.listed_edges(101.5)] == [101.5]


def test_an_edge_that_is_closed_does_not_leave_again():
    """Word of its last stage overtakes that of the one before."""
    hub = WatchHub(100.0)
    Client(hub).ask(100.0, state=CLOSED)
    hub.update_edges(100.2, [EdgeObservation(edge(state=LEAVING), 0.0, 1.0)])
    assert listed(hub, 100.2) == []


def test_an_edge_that_leaves_is_told_who_takes_its_clients():
    asked = []

    def drain_target_of(leaving, others):
        asked.append((leaving.name, sorted(other.name for other in others)))
        return NO_DRAIN_TARGET

    hub = WatchHub(100.0, drain_target_of=drain_target_of)
    hub.update_edges(100.0, [EdgeObservation(edge("edge-2"), 0.0, 1.0)])
    told = []
    hub.watch(100.0, WatchRequest(edge(), (0, 0), (0, 0), 0.0), told.append)
    hub.watch(100.0, WatchRequest(edge(state=LEAVING), (0, 0), (0, 0), 0.0), told.append)
    assert [one.drain_target for one in told] == [READY, NO_DRAIN_TARGET]
    assert asked == [("edge-1", ["edge-1", "edge-2"])]


def test_an_edge_whose_connection_ended_is_listed_when_it_is_heard_again():
    hub = WatchHub(100.0)
    client = Client(hub)
    client.ask(100.0)
    hub.edge_disconnected("edge-1")
    assert listed(hub, 100.0) == [] and hub.wake_at() == inf
    hub.update_edges(101.0, [EdgeObservation(edge(), 1.5, 1.0)])
    assert listed(hub, 101.0) == []
    hub.update_edges(101.0, [EdgeObservation(edge(), 0.5, 1.0)])
    assert listed(hub, 101.0) == ["edge-1"]
    hub.edge_disconnected("edge-1")
    client.ask(101.1)
    assert listed(hub, 101.1) == ["edge-1"]


def test_members_tell_each_other_what_they_heard_themselves():
    first, second = WatchHub(100.0), WatchHub(500.0)
    third = WatchHub(900.0)
    Client(first, "edge-1").ask(100.0)
    Client(second, "edge-2").ask(500.0)
    second.update_edges(500.4, decode(encode(first.edges.own_edges(100.4))))
    assert listed(second, 500.4) == ["edge-1", "edge-2"] and second.edges.count(500.4) == 2
    assert {seen.name: seen.last_seen for seen in second.listed_edges(500.4)}["edge-1"] == pytest.approx(
        500.0
    )
    assert [heard.edge.name for heard in second.edges.own_edges(500.4).edges] == ["edge-2"]
    third.update_edges(900.0, second.edges.own_edges(500.4))
    assert listed(third, 900.0) == ["edge-2"]
    Client(first, "edge-1").ask(100.5, state=CLOSED)
    second.update_edges(500.6, first.edges.own_edges(100.5))
    assert listed(second, 500.6) == ["edge-2"]


def test_an_edge_that_moved_to_another_member_is_listed_on():
    first, second = WatchHub(100.0), WatchHub(100.0)
    Client(first).ask(100.0)
    for step in range(1, 10):
        now = 100.0 + step
        Client(second).ask(now)
        first.tick(now)
        first.update_edges(now, second.edges.own_edges(now))
        assert listed(first, now) == ["edge-1"]
    assert first.edges.own_edges(140.0).edges == ()


def test_a_change_of_an_edge_heard_here_is_counted():
    hub = WatchHub(100.0)
    versions = []
    for incarnation, word in (
        (1, "starting"),
        (1, "starting"),
        (1, READY),
        (1, READY),
        (1, LEAVING),
        (2, READY),
    ):
        Client(hub, incarnation=incarnation).ask(101.0, state=word)
        versions.append(hub.edges.own_version)
    hub.update_edges(101.0, [EdgeObservation(edge("edge-2"), 0.0, 1.0)])
    assert versions == [1, 1, 2, 2, 3, 4] and hub.edges.own_version == 4


def test_what_is_long_gone_is_forgotten():
    hub = WatchHub(100.0)
    Client(hub).ask(100.0)
    Client(hub, "edge-2").ask(100.0, state=LEAVING)
    Client(hub, "edge-3").ask(100.0)
    hub.edge_disconnected("edge-3")
    hub.tick(140.0)
    assert (
        not hub.edges.records
        and not hub.edges.shutdown_stages
        and not hub.edges.disconnected_at
        and not hub.pending
    )
    assert hub.edges.own_edges(140.0) == EdgeObservations(())


@pytest.mark.parametrize("seed", range(200))
def test_any_order_of_events_answers_each_ask_once_and_nothing_goes_back(seed):
    chance = Random(seed)
    hub, held, now = WatchHub(100.0), upstreams(100.0), 100.0
    answers: dict[int, int] = {}
    holds = {name: [(0, 0), (0, 0), -1] for name in ("e1", "e2", "e3")}
    latest: dict[str, int] = {}
    sequence = 0
    for number in range(120):
        now += chance.random() * 0.3
        what = chance.randrange(4)
        if what == 0:
            sequence += 1
            hub.apply_control_state(now, 1 + sequence // 5, sequence, state(sequence // 2 + 1))
        elif what == 1:
            hub.set_endpoint_list(now, upstreams(now, *chance.sample("abcde", 3), held=held))
        else:
            name = chance.choice(list(holds))

            def reply(told, name=name, number=number):
                answers[number] = answers.get(number, 0) + 1
                mine = holds[name]
                if told.control is not None:
                    assert (told.control.epoch, told.control.sequence) > mine[0]
                    assert (told.control.configuration is None) == (told.control.version == mine[2])
                    mine[0], mine[2] = (told.control.epoch, told.control.sequence), told.control.version
                if told.endpoints is not None:
                    version = told.endpoints.term, told.endpoints.number
                    same = not (told.endpoints.is_full or told.endpoints.changed or told.endpoints.removed)
                    assert version > mine[1] or (version == mine[1] and same)
                    mine[1] = version

            latest[name] = number
            control, list_held, version = holds[name]
            hub.watch(now, WatchRequest(edge(name), control, list_held, 0.5, version, 0.0), reply)
        hub.tick(now)
        hub.check_invariants()
    hub.tick(now + 1.0)
    assert set(answers.values()) == {1}
    assert all(number in answers for number in latest.values())
