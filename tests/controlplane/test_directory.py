"""The directory: to which edges clients are sent."""

from random import Random

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shedgrade.control_messages import (
    CLOSED,
    LEAVING,
    NO_DRAIN_TARGET,
    READY,
    STARTING,
    EdgeRecord,
)
from shedgrade.controlplane.directory import MAX_ADDRESSES, Directory, drain_target
from shedgrade.controlplane.home_regions import ANYWHERE, NOWHERE_ELSE, HomeRegions
from shedgrade.http.server import Request

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def edge(number, zone="north-a", state=READY, front=True):
    return EdgeRecord(
        name=f"edge-{number}",
        listen_address=f"10.0.0.{number}:80" if front else "",
        zone=zone,
        region=ZONES.get(zone, ""),
        incarnation=1,
        state=state,
    )


@pytest.fixture
def directory():
    return Directory(ZONES, Random(1), {"ttl_max_s": 5})


def resolved(directory, edges, region="north", zone="north-a"):
    """The numbers of the edges in a response."""
    query = {"name": "h", "region": region, "zone": zone}
    reply = directory.handle(Request(b"GET", b"/resolution", query), edges)
    assert reply.status == 200 and reply.content_type == b"application/json"
    content = orjson.loads(reply.body)
    assert set(content) == {"addressList", "ttlS"} and 0 < content["ttlS"] <= 5
    return [int(address.rpartition(":")[0].rpartition(".")[2]) for address in content["addressList"]]


def test_a_response_has_these_bytes(directory):
    query = {"name": "h", "region": "north", "zone": "north-a"}
    reply = directory.handle(Request(b"GET", b"/resolution", query), [edge(1), edge(2)])
    assert reply.body == b'{"addressList":["10.0.0.1:80","10.0.0.2:80"],"ttlS":1}'


def test_clients_go_to_their_own_zone(directory):
    edges = [edge(1), edge(2), edge(3, "north-b"), edge(4, "south-a")]
    assert resolved(directory, edges) == [1, 2]


def test_a_single_edge_has_alternatives_in_its_region(directory):
    edges = [edge(1), edge(3, "north-b"), edge(4, "south-a")]
    assert resolved(directory, edges) == [1, 3]
    assert resolved(directory, edges, region="") == [1, 3]
    assert resolved(directory, edges, "south", "south-a") == [4]


def test_without_edges_in_the_region_edges_of_any_region_are_named(directory):
    edges = [edge(4, "south-a"), edge(5, "south-a")]
    assert resolved(directory, edges) == [4, 5]
    assert resolved(directory, edges, "west", "west-a") == [4, 5]
    assert resolved(directory, edges, "", "") == [4, 5]


def test_without_edges_in_the_region_only_those_of_the_home_regions_are_named(directory):
    """All edges of a client's region and of the host's home regions may be stopped at once as planned. Then
    no edge may be named: any other region would violate the rule on home regions."""
    edges = [edge(1), edge(2, "north-b"), edge(4, "south-a")]
    query = {"name": "Rota.Example", "region": "west", "zone": "west-a"}
    configuration = orjson.dumps(
        {
            "configVersion": 1,
            "serviceList": [{"name": "lm", "maxConnections": 9}],
            "routeList": [route("/a/", ["north", "west"]), route("/b/", ["north"]), route("/c/", [])],
        }
    )
    homes = HomeRegions()
    reply = directory.handle(
        Request(b"GET", b"/resolution", query), edges, homes=lambda host: homes.of_host(configuration, host)
    )
    assert orjson.loads(reply.body)["addressList"] == ["10.0.0.1:80", "10.0.0.2:80"]
    elsewhere = directory.handle(
        Request(b"GET", b"/resolution", query),
        edges[2:],
        homes=lambda host: homes.of_host(configuration, host),
    )
    assert elsewhere.status == 503


def test_clients_of_an_unknown_host_stay_in_their_own_region(directory):
    """A member that has just started holds no configuration, and one that lags behind may lack a host."""
    configuration = orjson.dumps(
        {
            "configVersion": 1,
            "serviceList": [{"name": "lm", "maxConnections": 9}],
            "routeList": [route("/a/", [])],
        }
    )
    homes = HomeRegions()
    for raw, name in [(b"", "rota.example"), (configuration, "other.example")]:
        assert homes.of_host(raw, name) == NOWHERE_ELSE
        query = {"name": name, "region": "north", "zone": "north-a"}
        for edges, status in [([edge(3, "north-b")], 200), ([edge(4, "south-a")], 503)]:
            reply = directory.handle(
                Request(b"GET", b"/resolution", query),
                edges,
                homes=lambda host, raw=raw: homes.of_host(raw, host),
            )
            assert reply.status == status
    assert homes.of_host(configuration, "Rota.Example") is ANYWHERE


def test_routes_without_a_common_home_region_leave_the_clients_own_region():
    configuration = orjson.dumps(
        {
            "configVersion": 1,
            "serviceList": [{"name": "lm", "maxConnections": 9}],
            "routeList": [route("/a/", ["north"]), route("/b/", ["south"])],
        }
    )
    assert HomeRegions().of_host(configuration, "rota.example") == NOWHERE_ELSE


def route(path, homes):
    return {
        "name": path,
        "host": "rota.example",
        "pathPrefix": path,
        "routeClass": "safe",
        "timeoutMs": 1000,
        "targetMs": 500,
        "priority": 0,
        "service": "lm",
        "maxAttempts": 1,
        "homeRegions": homes,
    }


def test_an_edge_of_the_zone_is_named_even_if_the_client_gives_another_region(directory):
    assert resolved(directory, [edge(1), edge(4, "south-a")], region="west") == [1]


def test_only_ready_edges_are_named(directory):
    edges = [edge(1, state=STARTING), edge(2, front=False), edge(3, "north-b"), edge(4)]
    assert resolved(directory, edges) == [3, 4]


def test_leaving_edges_are_named_only_if_none_is_ready(directory):
    """First edges of the client's region, then those of the home regions; closed edges never."""
    leaves = [edge(1, state=LEAVING), edge(3, "north-b", state=LEAVING), edge(4, "south-a", state=LEAVING)]
    assert resolved(directory, leaves) == [3]
    assert resolved(directory, [*leaves, edge(5, "south-a")]) == [5]
    assert resolved(directory, [edge(2, state=CLOSED), *leaves[2:]]) == [4]
    query = {"name": "h", "region": "north", "zone": "north-a"}
    homed = directory.handle(
        Request(b"GET", b"/resolution", query), leaves[2:], homes=lambda host: frozenset(["north"])
    )
    assert homed.status == 503


def test_the_leaving_edges_whose_shutdown_began_last_are_named(directory):
    """Those edges accept requests the longest."""
    leaves = [
        msgspec.structs.replace(edge(number, state=LEAVING), shutdown_stage_since=since)
        for number, since in [(1, 10.0), (2, 12.0), (3, 12.3)]
    ]
    assert resolved(directory, leaves) == [3]
    assert resolved(directory, [*leaves, leaves[1], leaves[2]]) == [3, 3]
    assert resolved(directory, leaves[:2]) == [2]


@pytest.mark.parametrize(
    ("homes", "zones", "target"),
    [
        ({"h": ANYWHERE}, ["north-b"], READY),
        ({"h": ANYWHERE}, ["south-a"], READY),
        ({"h": ANYWHERE}, [], LEAVING),
        ({"h": frozenset(["north"]), "other": ANYWHERE}, ["south-a"], LEAVING),
        ({"h": frozenset(["north", "south"]), "other": ANYWHERE}, ["south-a"], READY),
        ({"h": NOWHERE_ELSE}, ["south-a"], LEAVING),
        ({}, ["south-a"], LEAVING),
    ],
)
def test_a_leaving_edge_is_told_which_edges_take_over_its_clients(homes, zones, target):
    others = [edge(number, zone) for number, zone in enumerate(zones, 2)]
    leaving, later = edge(1, state=LEAVING), edge(9, "north-b", state=LEAVING)
    assert drain_target(leaving, [leaving, later, *others], homes) == target
    assert drain_target(later, [leaving, later, *others], homes) == (
        READY if target == READY else NO_DRAIN_TARGET
    )
    assert drain_target(leaving, [leaving, *others], homes) == (READY if target == READY else NO_DRAIN_TARGET)


def test_the_edge_whose_shutdown_began_earlier_stops_first():
    early, late = (
        msgspec.structs.replace(edge(number, state=LEAVING), shutdown_stage_since=since)
        for number, since in [(2, 10.0), (1, 12.0)]
    )
    assert drain_target(early, [early, late], {"h": ANYWHERE}) == LEAVING
    assert drain_target(late, [early, late], {"h": ANYWHERE}) == NO_DRAIN_TARGET


def test_a_limited_number_of_edges_is_drawn(directory):
    edges = [edge(number) for number in range(1, 200)]
    first, second = resolved(directory, edges), resolved(directory, edges)
    assert len(set(first)) == len(set(second)) == MAX_ADDRESSES and set(first) != set(second)


def test_without_ready_edges_the_response_is_503(directory):
    for edges in ([], [edge(1, state=STARTING)]):
        reply = directory.handle(Request(b"GET", b"/resolution"), edges)
        assert reply.status == 503 and orjson.loads(reply.body)["findings"]


def test_the_ttl_is_limited_by_the_settings():
    directory = Directory(ZONES, Random(1), {"ttl_max_s": 0.5})
    assert orjson.loads(directory.resolve("north", "north-a", [edge(1)]).body)["ttlS"] == 0.5


def test_unknown_calls_are_rejected(directory):
    assert directory.handle(Request(b"GET", b"/"), [edge(1)]).status == 404
    reply = directory.handle(Request(b"POST", b"/resolution"), [edge(1)])
    assert (reply.status, reply.headers) == (405, ((b"Allow", b"GET"),))


@given(
    st.lists(st.sampled_from(sorted(ZONES)), max_size=80),
    st.sampled_from(["", "north", "south", "west"]),
    st.sampled_from(["", "west-a", *ZONES]),
)
def test_clients_with_edges_in_their_zone_are_sent_there(zones, region, zone):
    edges = [edge(number, zone) for number, zone in enumerate(zones)]
    reply = Directory(ZONES, Random(1), {"ttl_max_s": 5}).resolve(region, zone, edges)
    if not edges:
        assert reply.status == 503
        return
    by_front = {one.listen_address: one for one in edges}
    chosen = [by_front[address] for address in orjson.loads(reply.body)["addressList"]]
    assert 0 < len(chosen) == len({one.name for one in chosen}) <= MAX_ADDRESSES
    own = [one for one in edges if one.zone == zone]
    if len(own) > 1:
        assert all(one.zone == zone for one in chosen)
    elif own:
        assert own[0] in chosen
