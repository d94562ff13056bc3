"""GET /status of a core member, from its own parts, without sockets."""

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


def parts(now=100.0):
    member = Member(
        "core-a",
        OWN,
        founding=True,
        seeds=(OWN,),
        tolerated=0,
        found=None,
        random=Random(1),
        now=now,
        decide=lambda state, order: None,
    )
    hub, instances = WatchHub(now), EndpointList(lambda: now)
    roles = SingletonRoles(OWN, lambda: (OWN,), Random(1), now, roles=("upstreams",))
    return member, hub, instances, roles


def told(now, member, hub, instances, roles):
    given = OperatorApi(None, lambda: status(now, "core-a", ZONES, member, hub, instances, roles))
    replies = []
    given.handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 200
    return json.loads(replies[0].body)


def test_a_member_that_knows_nothing_says_so():
    found = told(100.0, *parts())
    assert found["node"] == "core-a" and found["epoch"] == 0 and found["primary"] is None
    assert found["members"] == [{"name": "", "address": OWN, "role": "seed"}]
    assert found["edges"] == found["evacuations"] == []
    assert found["upstreams"] == {"term": 0, "number": 0, "ageS": None, "byRegion": []}
    assert found["duties"] == {"upstreams": None} and found["configVersion"] == 0


def test_edges_upstreams_and_duties_are_told():
    member, hub, instances, roles = parts()
    hub.apply_control_state(
        100.0, 4, 9, {"configuration": b"{}", "version": b"7", "evacuations": b'["north-b"]'}
    )
    instances.begin_term(5)
    instances.apply_poll(
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
    hub.set_endpoint_list(100.0, instances)
    edge = EdgeStatus("edge-1", "10.1.0.12:8263", "north-a", "north", 1, READY)
    hub.watch(100.0, WatchRequest(edge, (4, 9), instances.version, 5.0, 7, 0.0), lambda told: None)
    for step in range(30):
        roles.tick(100.0 + step / 10)
    found = told(103.0, member, hub, instances, roles)
    assert found["configVersion"] == 7 and found["evacuations"] == ["north-b"]
    assert found["edges"] == [
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
    assert found["upstreams"]["ageS"] == 3.0 and found["upstreams"]["term"] == 5
    assert [(one["region"], one["state"], one["count"]) for one in found["upstreams"]["byRegion"]] == [
        ("north", "available", 2),
        ("north", "evacuated", 2),
        ("south", "available", 2),
    ]
    assert found["duties"]["upstreams"]["address"] == OWN


def test_without_a_status_there_is_no_such_call():
    replies = []
    OperatorApi(None).handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 404
