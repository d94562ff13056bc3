"""The watch hub: when watches are answered and with what, and which edges are listed."""

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


def make_endpoint_list(
    now: float, *names: str, endpoint_list: EndpointList | None = None, term=1
) -> EndpointList:
    if endpoint_list is None:
        endpoint_list = EndpointList(lambda: 0.0)
        endpoint_list.begin_term(term)
    endpoint_list.apply_poll(
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
    return endpoint_list


class EdgeClient:
    """An edge that sends watches and records the responses; messages are encoded and decoded."""

    def __init__(self, hub: WatchHub, name="edge-1", incarnation=1) -> None:
        self.hub, self.name, self.incarnation, self.responses = hub, name, incarnation, []

    def watch(
        self, now, control=(0, 0), list_version=(0, 0), wait=1.0, version=-1, state=READY, age=UNKNOWN_AGE_S
    ) -> None:
        request = WatchRequest(
            edge(self.name, self.incarnation, state), control, list_version, wait, version, age
        )
        self.hub.watch(
            now, decode(encode(request)), lambda response: self.responses.append(decode(encode(response)))
        )


def test_an_edge_without_state_gets_everything_at_once():
    hub = WatchHub(100.0)
    hub.set_members(100.0, ("10.1.0.14:7300", "10.2.0.41:7300"))
    hub.apply_control_state(100.0, 1, 3, state(7, "south-a"))
    hub.set_endpoint_list(100.0, make_endpoint_list(99.5, "a", "b"))
    hub.set_confirmed_at(99.9)
    client = EdgeClient(hub)
    client.watch(100.0)
    (response,) = client.responses
    assert (response.control.epoch, response.control.sequence, response.control.configuration_version) == (
        1,
        3,
        7,
    )
    assert decompress_configuration(response.control) == state(7)[
        "configuration"
    ] and response.control.evacuations == ("south-a",)
    assert response.endpoints.is_full and [endpoint.id for endpoint in response.endpoints.changed] == [
        "a",
        "b",
    ]
    assert response.members == hub.member_addresses and response.edge_count == 1
    assert (
        response.primary_age_s == pytest.approx(0.1)
        and response.endpoints_age_s == 0.5
        and response.held_s == 0
    )


def test_a_watch_without_news_is_answered_after_its_wait():
    hub, client = WatchHub(100.0), None
    client = EdgeClient(hub)
    assert hub.wake_at() == inf
    client.watch(100.0, wait=1.0)
    assert not client.responses and hub.wake_at() == 101.0
    hub.tick(100.9)
    assert not client.responses
    hub.tick(101.0)
    (response,) = client.responses
    assert response.control is response.endpoints is None
    assert (
        response.primary_age_s == response.endpoints_age_s == UNKNOWN_AGE_S
        and response.held_s == 1.0
        and hub.wake_at() == inf
    )
    client.watch(102.0, wait=0.0)
    assert len(client.responses) == 2


def test_a_pending_watch_is_answered_when_control_state_changes():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 3, state(7))
    client = EdgeClient(hub)
    client.watch(100.0, (1, 3), version=7)
    hub.apply_control_state(100.4, 1, 4, state(7, "south-a"))
    (response,) = client.responses
    assert response.control.configuration is None and response.control.evacuations == ("south-a",)
    client.watch(100.5, (1, 4), version=7)
    hub.apply_control_state(100.6, 2, 5, state(9, "south-a"))
    assert decompress_configuration(client.responses[1].control) == state(9)["configuration"]


def test_a_pending_watch_is_answered_when_the_list_changes():
    hub, endpoint_list = WatchHub(100.0), make_endpoint_list(100.0, "a", "b")
    hub.set_endpoint_list(100.0, endpoint_list)
    first, second = EdgeClient(hub), EdgeClient(hub, "edge-2")
    first.watch(100.0, list_version=(1, 1), age=0.0)
    second.watch(100.0, list_version=(1, 1), age=0.0)
    hub.set_endpoint_list(100.5, make_endpoint_list(100.5, "b", "c", endpoint_list=endpoint_list))
    for client in (first, second):
        (response,) = client.responses
        assert [endpoint.id for endpoint in response.endpoints.changed] == [
            "c"
        ] and response.endpoints.removed == ("a",)
        assert (response.endpoints.from_term, response.endpoints.from_number) == (1, 1)


def test_an_earlier_confirmation_does_not_replace_a_later_one():
    hub = WatchHub(100.0)
    hub.set_confirmed_at(100.5)
    hub.set_confirmed_at(100.2)
    client = EdgeClient(hub)
    client.watch(101.0, wait=0.0)
    assert client.responses[0].primary_age_s == 0.5


def test_an_unchanged_list_is_confirmed_with_its_age():
    hub = WatchHub(100.0)
    hub.set_endpoint_list(100.0, make_endpoint_list(99.5, "a"))
    client = EdgeClient(hub)
    for list_version, is_sent in (((1, 1), True), ((2, 1), False)):
        client.watch(100.0, list_version=list_version, age=0.0, wait=0.0)
        update = client.responses.pop().endpoints
        assert (update is not None) == is_sent
        assert update is None or (update.number, update.from_number, update.age_s, update.changed) == (
            1,
            1,
            0.5,
            (),
        )


def test_older_control_state_is_never_sent():
    hub, client = WatchHub(100.0), None
    hub.apply_control_state(100.0, 2, 3, state(7))
    hub.apply_control_state(100.0, 1, 9, state(6))
    hub.apply_control_state(100.0, 2, 2, state(6))
    client = EdgeClient(hub)
    for position in ((2, 3), (2, 4), (3, 1)):
        client.watch(100.0, position, version=8, wait=0.0)
        assert client.responses.pop().control is None
    client.watch(100.0, (1, 99), version=6, wait=0.0)
    assert client.responses.pop().control.sequence == 3


def test_a_list_of_a_lower_version_is_sent_only_if_it_is_much_fresher():
    hub = WatchHub(100.0)
    hub.set_endpoint_list(100.0, make_endpoint_list(100.0, "a"))
    client = EdgeClient(hub)
    client.watch(100.0, list_version=(9, 4), age=2.0, wait=0.5)
    hub.tick(100.5)
    assert client.responses.pop().endpoints is None
    client.watch(100.0, list_version=(9, 4), age=4.0)
    assert client.responses.pop().endpoints.is_full


def test_a_newer_watch_of_an_edge_replaces_the_pending_one():
    hub, first, second = WatchHub(100.0), None, None
    first, second = EdgeClient(hub), EdgeClient(hub, incarnation=2)
    first.watch(100.0)
    second.watch(100.5)
    hub.apply_control_state(100.6, 1, 1, state(1))
    assert not first.responses and len(second.responses) == 1
    hub.tick(103.0)
    assert not first.responses and len(second.responses) == 1


def test_a_watch_sent_while_handling_a_response_is_kept():
    hub, responses = WatchHub(100.0), []

    def watch_again(response):
        responses.append(response)
        hub.watch(100.5, WatchRequest(edge(), (1, 1), (0, 0), 1.0, 1), responses.append)

    hub.watch(100.0, WatchRequest(edge(), (0, 0), (0, 0), 1.0), watch_again)
    hub.apply_control_state(100.5, 1, 1, state(1))
    assert len(responses) == 1
    hub.tick(101.5)
    assert len(responses) == 2


def test_large_configurations_are_sent_compressed_and_compressed_once():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 1, state(1, filling=100_000))
    client = EdgeClient(hub)
    client.watch(100.0)
    encoded = hub.encoded_configuration
    client.watch(100.0)
    assert hub.encoded_configuration is encoded
    control = client.responses[0].control
    assert control.compressed and len(control.configuration) < 2_000
    assert decompress_configuration(control) == state(1, filling=100_000)["configuration"]
    for broken in (control.configuration[:-9], b"x" + control.configuration, b""):
        with pytest.raises(ValueError):
            decompress_configuration(msgspec.structs.replace(control, configuration=broken))


def test_a_configuration_that_decompresses_to_too_much_is_rejected():
    hub = WatchHub(100.0)
    hub.apply_control_state(100.0, 1, 1, state(1, filling=17 * 1024 * 1024))
    client = EdgeClient(hub)
    client.watch(100.0)
    with pytest.raises(ValueError):
        decompress_configuration(client.responses[0].control)


@pytest.mark.parametrize(
    "broken", [{"version": b"x"}, {"evacuations": b"{"}, {"evacuations": b"[1]"}, {"evacuations": b"3"}]
)
def test_an_invalid_state_leaves_the_last_one_in_force(broken):
    lines = []
    log.set_sink(
        SimpleNamespace(
            **{name: lambda text, **fields: lines.append((text, fields)) for name in log.LOG_METHODS}
        )
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


def test_the_number_of_pending_watches_is_limited(monkeypatch):
    monkeypatch.setattr("shedgrade.controlplane.watch_hub.MAX_PENDING_WATCHES", 3)
    hub = WatchHub(100.0)
    clients = [EdgeClient(hub, f"edge-{number}") for number in range(4)]
    for client in clients:
        client.watch(100.0)
    assert [len(client.responses) for client in clients] == [0, 0, 0, 1]


# --- listed edges


def listed(hub: WatchHub, now: float) -> list[str]:
    return sorted(record.name for record in hub.listed_edges(now))


def states(hub: WatchHub, now: float) -> list[str]:
    return [record.state for record in hub.listed_edges(now)]


def test_an_edge_is_listed_until_its_next_watch_is_half_a_second_late():
    hub = WatchHub(100.0)
    EdgeClient(hub).watch(100.0, wait=1.0, state="starting")
    (record,) = hub.listed_edges(100.0)
    assert (
        record.last_seen == 100.0
        and not record.is_ready
        and record.zone == "north-a"
        and record.incarnation == 1
    )
    EdgeClient(hub).watch(100.2, wait=1.0)
    assert hub.listed_edges(101.6)[0].is_ready and listed(hub, 101.8) == []
    assert hub.edges.count(101.8) == 1 and hub.edges.count(104.3) == 0


def test_a_member_that_knows_less_than_an_edge_states_an_unknown_age():
    hub = WatchHub(100.0)
    hub.set_confirmed_at(100.0)
    responses = []
    hub.watch(100.1, WatchRequest(edge(), (2, 2), (0, 0), 0.0), responses.append)
    hub.watch(100.1, WatchRequest(edge(), (0, 0), (0, 0), 0.0), responses.append)
    assert responses[0].primary_age_s == UNKNOWN_AGE_S and responses[1].primary_age_s < 1


@pytest.mark.parametrize("end_state", [LEAVING, CLOSED])
def test_an_ending_edge_is_listed_by_its_state_at_once_and_still_answered(end_state):
    """A leaving edge is listed as such, since it still accepts what no other edge can; a closed one is
    not."""
    hub = WatchHub(100.0)
    client = EdgeClient(hub)
    client.watch(100.0)
    client.watch(100.2, state=end_state)
    assert states(hub, 100.2) == [end_state] * (end_state == LEAVING) and hub.edges.count(100.2) == 1
    hub.update_edges(100.3, [EdgeObservation(edge(), 0.0, 1.0)])
    assert states(hub, 100.3) == [end_state] * (end_state == LEAVING)
    hub.apply_control_state(100.5, 1, 1, state(1))
    assert len(client.responses) == 1
    EdgeClient(hub, incarnation=2).watch(101.0)
    assert listed(hub, 101.0) == ["edge-1"]


def test_the_time_since_which_an_edge_leaves_is_recorded():
    hub = WatchHub(100.0)
    client = EdgeClient(hub)
    client.watch(100.0)
    for at in (100.2, 100.7, 101.1):
        client.watch(at, state=LEAVING)
    assert [record.shutdown_stage_since for record in hub.listed_edges(101.1)] == [100.2]
    EdgeClient(hub, incarnation=2).watch(101.5, state=LEAVING)
    assert [record.shutdown_stage_since for record in hub.listed_edges(101.5)] == [101.5]


def test_a_closed_edge_does_not_return_to_leaving():
    """The observation of its last state overtakes that of the state before."""
    hub = WatchHub(100.0)
    EdgeClient(hub).watch(100.0, state=CLOSED)
    hub.update_edges(100.2, [EdgeObservation(edge(state=LEAVING), 0.0, 1.0)])
    assert listed(hub, 100.2) == []


def test_a_leaving_edge_is_sent_its_drain_target():
    drain_queries = []

    def drain_target_of(leaving, others):
        drain_queries.append((leaving.name, sorted(other.name for other in others)))
        return NO_DRAIN_TARGET

    hub = WatchHub(100.0, drain_target_of=drain_target_of)
    hub.update_edges(100.0, [EdgeObservation(edge("edge-2"), 0.0, 1.0)])
    responses = []
    hub.watch(100.0, WatchRequest(edge(), (0, 0), (0, 0), 0.0), responses.append)
    hub.watch(100.0, WatchRequest(edge(state=LEAVING), (0, 0), (0, 0), 0.0), responses.append)
    assert [response.drain_target for response in responses] == [READY, NO_DRAIN_TARGET]
    assert drain_queries == [("edge-1", ["edge-1", "edge-2"])]


def test_an_edge_whose_connection_ended_is_listed_when_it_is_heard_again():
    hub = WatchHub(100.0)
    client = EdgeClient(hub)
    client.watch(100.0)
    hub.edge_disconnected("edge-1")
    assert listed(hub, 100.0) == [] and hub.wake_at() == inf
    hub.update_edges(101.0, [EdgeObservation(edge(), 1.5, 1.0)])
    assert listed(hub, 101.0) == []
    hub.update_edges(101.0, [EdgeObservation(edge(), 0.5, 1.0)])
    assert listed(hub, 101.0) == ["edge-1"]
    hub.edge_disconnected("edge-1")
    client.watch(101.1)
    assert listed(hub, 101.1) == ["edge-1"]


def test_members_share_only_observations_of_their_own():
    first, second = WatchHub(100.0), WatchHub(500.0)
    third = WatchHub(900.0)
    EdgeClient(first, "edge-1").watch(100.0)
    EdgeClient(second, "edge-2").watch(500.0)
    second.update_edges(500.4, decode(encode(first.edges.own_edges(100.4))))
    assert listed(second, 500.4) == ["edge-1", "edge-2"] and second.edges.count(500.4) == 2
    assert {record.name: record.last_seen for record in second.listed_edges(500.4)}[
        "edge-1"
    ] == pytest.approx(500.0)
    assert [observation.edge.name for observation in second.edges.own_edges(500.4).edges] == ["edge-2"]
    third.update_edges(900.0, second.edges.own_edges(500.4))
    assert listed(third, 900.0) == ["edge-2"]
    EdgeClient(first, "edge-1").watch(100.5, state=CLOSED)
    second.update_edges(500.6, first.edges.own_edges(100.5))
    assert listed(second, 500.6) == ["edge-2"]


def test_an_edge_that_moved_to_another_member_stays_listed():
    first, second = WatchHub(100.0), WatchHub(100.0)
    EdgeClient(first).watch(100.0)
    for step in range(1, 10):
        now = 100.0 + step
        EdgeClient(second).watch(now)
        first.tick(now)
        first.update_edges(now, second.edges.own_edges(now))
        assert listed(first, now) == ["edge-1"]
    assert first.edges.own_edges(140.0).edges == ()


def test_a_change_of_an_edge_heard_here_is_counted():
    hub = WatchHub(100.0)
    versions = []
    for incarnation, edge_state in (
        (1, "starting"),
        (1, "starting"),
        (1, READY),
        (1, READY),
        (1, LEAVING),
        (2, READY),
    ):
        EdgeClient(hub, incarnation=incarnation).watch(101.0, state=edge_state)
        versions.append(hub.edges.own_version)
    hub.update_edges(101.0, [EdgeObservation(edge("edge-2"), 0.0, 1.0)])
    assert versions == [1, 1, 2, 2, 3, 4] and hub.edges.own_version == 4


def test_edges_that_are_long_gone_are_forgotten():
    hub = WatchHub(100.0)
    EdgeClient(hub).watch(100.0)
    EdgeClient(hub, "edge-2").watch(100.0, state=LEAVING)
    EdgeClient(hub, "edge-3").watch(100.0)
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
def test_any_order_of_events_answers_each_watch_once_and_no_state_goes_back(seed):
    random = Random(seed)
    hub, endpoint_list, now = WatchHub(100.0), make_endpoint_list(100.0), 100.0
    response_counts: dict[int, int] = {}
    known_by_edge = {name: [(0, 0), (0, 0), -1] for name in ("e1", "e2", "e3")}
    latest_watch: dict[str, int] = {}
    sequence = 0
    for number in range(120):
        now += random.random() * 0.3
        event_kind = random.randrange(4)
        if event_kind == 0:
            sequence += 1
            hub.apply_control_state(now, 1 + sequence // 5, sequence, state(sequence // 2 + 1))
        elif event_kind == 1:
            hub.set_endpoint_list(
                now, make_endpoint_list(now, *random.sample("abcde", 3), endpoint_list=endpoint_list)
            )
        else:
            name = random.choice(list(known_by_edge))

            def respond(response, name=name, number=number):
                response_counts[number] = response_counts.get(number, 0) + 1
                known = known_by_edge[name]
                if response.control is not None:
                    assert (response.control.epoch, response.control.sequence) > known[0]
                    assert (response.control.configuration is None) == (
                        response.control.configuration_version == known[2]
                    )
                    known[0], known[2] = (
                        (response.control.epoch, response.control.sequence),
                        response.control.configuration_version,
                    )
                if response.endpoints is not None:
                    version = response.endpoints.term, response.endpoints.number
                    is_same = not (
                        response.endpoints.is_full or response.endpoints.changed or response.endpoints.removed
                    )
                    assert version > known[1] or (version == known[1] and is_same)
                    known[1] = version

            latest_watch[name] = number
            control, list_version, version = known_by_edge[name]
            hub.watch(now, WatchRequest(edge(name), control, list_version, 0.5, version, 0.0), respond)
        hub.tick(now)
        hub.check_invariants()
    hub.tick(now + 1.0)
    assert set(response_counts.values()) == {1}
    assert all(number in response_counts for number in latest_watch.values())
