"""GET /status of a core member, whose parts are set up without sockets."""

import json
from random import Random

from shedgrade.control_messages import READY, EdgeStatus, WatchRequest
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.operator_api import OperatorApi
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.status import status
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.http.server import Request
from shedgrade.replication import Member

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
OWN = "10.1.0.14:7300"


def member_parts(now=100.0):
    member = Member(
        "core-a",
        OWN,
        founding=True,
        seeds=(OWN,),
        tolerated=0,
        stored_values=None,
        random=Random(1),
        now=now,
        decide=lambda state, order: None,
    )
    hub, endpoint_list = WatchHub(now), EndpointList(lambda: now)
    roles = SingletonRoles(OWN, lambda: (OWN,), Random(1), now, roles=("upstreams",))
    return member, hub, endpoint_list, roles


def get_status(now, member, hub, endpoint_list, roles):
    api = OperatorApi(None, lambda: status(now, "core-a", ZONES, member, hub, endpoint_list, roles))
    replies = []
    api.handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 200
    return json.loads(replies[0].body)


def test_a_member_without_state_reports_none():
    document = get_status(100.0, *member_parts())
    assert document["node"] == "core-a" and document["epoch"] == 0 and document["primary"] is None
    assert document["members"] == [{"name": "", "address": OWN, "role": "seed"}]
    assert document["edges"] == document["evacuations"] == []
    assert document["upstreams"] == {"term": 0, "number": 0, "ageS": None, "byRegion": []}
    assert document["duties"] == {"upstreams": None} and document["configVersion"] == 0


def test_edges_upstreams_and_duties_are_reported():
    member, hub, endpoint_list, roles = member_parts()
    hub.apply_control_state(
        100.0, 4, 9, {"configuration": b"{}", "version": b"7", "evacuations": b'["north-b"]'}
    )
    endpoint_list.begin_term(5)
    endpoint_list.apply_poll(
        100.0,
        [
            {
                "instanceId": f"i-{zone}{number}",
                "service": "chat",
                "address": "10.128.0.9:80",
                "zone": zone,
                "state": "available",
                "coldLeftMs": 0,
            }
            for zone in ZONES
            for number in range(2)
        ],
    )
    hub.set_endpoint_list(100.0, endpoint_list)
    edge = EdgeStatus("edge-1", "10.1.0.12:8263", "north-a", "north", 1, READY)
    hub.watch(100.0, WatchRequest(edge, (4, 9), endpoint_list.version, 5.0, 7, 0.0), lambda response: None)
    for step in range(30):
        roles.tick(100.0 + step / 10)
    document = get_status(103.0, member, hub, endpoint_list, roles)
    assert document["configVersion"] == 7 and document["evacuations"] == ["north-b"]
    assert document["edges"] == [
        {
            "name": "edge-1",
            "front": "10.1.0.12:8263",
            "zone": "north-a",
            "region": "north",
            "state": "ready",
            "ageS": 3.0,
            "configVersion": 7,
        }
    ]
    assert document["upstreams"]["ageS"] == 3.0 and document["upstreams"]["term"] == 5
    assert [
        (group["region"], group["state"], group["count"]) for group in document["upstreams"]["byRegion"]
    ] == [
        ("north", "available", 2),
        ("north", "evacuated", 2),
        ("south", "available", 2),
    ]
    assert document["duties"]["upstreams"]["address"] == OWN


def test_without_a_status_function_the_call_is_not_found():
    replies = []
    OperatorApi(None).handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 404
