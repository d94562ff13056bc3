"""A directory on the small side of a cut sends clients on for what its side can't serve."""

import asyncio
from random import Random

import orjson
import programs
import pytest

from shedgrade import control_messages
from shedgrade.control_messages import READY, EdgeObservation, EdgeObservations, EdgeRecord, EdgeStatus
from shedgrade.controlplane.channels import CONTROL_CHANNEL
from shedgrade.controlplane.directory import Directory
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.controlplane.reachability import MEMBER_TIMEOUT_S, ReachabilityMonitor
from shedgrade.http.server import Request
from shedgrade.process_settings import validate

MEMBERS = ("a:1", "b:1", "c:1")
EDGES = [
    EdgeRecord(
        name=f"edge-{number}",
        listen_address=f"10.0.0.{number}:80",
        zone="south-a",
        region="south",
        incarnation=1,
        state=READY,
    )
    for number in (1, 2)
]


def configuration(*routes):
    return orjson.dumps(
        {
            "configVersion": 1,
            "routeList": [
                {
                    "name": f"r{number}",
                    "host": host,
                    "pathPrefix": f"/{number}/",
                    "homeRegions": homes,
                    **goes,
                }
                for number, (host, homes, goes) in enumerate(routes)
            ],
            "serviceList": [{"name": "big", "healthPath": "/h"}, {"name": "small", "healthPath": "/h"}],
        }
    )


@pytest.fixture
def reach():
    reach = ReachabilityMonitor("a:1", "south")
    for member in MEMBERS[1:]:
        reach.record_contact(10.0, member)
    return reach


def test_who_hears_nobody_is_cut_off_after_a_while(reach):
    assert not reach.is_cut_off(9.9 + MEMBER_TIMEOUT_S, MEMBERS, 9.0)
    assert reach.is_cut_off(10.1 + MEMBER_TIMEOUT_S, MEMBERS, 9.0)


def test_a_majority_that_votes_is_not_cut_off(reach):
    """Its primary died: what the two that are left say to each other tells that from a cut."""
    reach.record_contact(10.6, "b:1")
    assert not reach.is_cut_off(11.3, MEMBERS, 10.0)


def test_who_hears_the_primary_is_not_cut_off(reach):
    assert not reach.is_cut_off(20.0, MEMBERS, 19.9)
    assert ReachabilityMonitor("a:1", "south").is_cut_off(20.0, MEMBERS, float("-inf"))


def test_half_is_no_majority():
    reach = ReachabilityMonitor("a:1", "south")
    reach.record_contact(10.0, "b:1")
    assert reach.is_cut_off(10.1, (*MEMBERS, "d:1"), 1.0)
    reach.record_contact(10.0, "d:1")
    assert not reach.is_cut_off(10.1, (*MEMBERS, "d:1"), 1.0)


def test_a_host_is_stranded_by_one_route_that_is_at_home_elsewhere(reach):
    raw = configuration(
        ("Homed.example", ["north"], {"service": "big"}),
        ("homed.example", [], {"service": "big"}),
        ("both.example", ["north", "south"], {"service": "big"}),
        ("free.example", [], {"service": "big"}),
    )
    assert reach.stranded_hosts(raw, ["big"]) == {"homed.example"}


def test_a_host_is_stranded_where_its_services_have_no_upstream(reach):
    raw = configuration(
        ("one.example", [], {"service": "big"}),
        ("two.example", [], {"service": "small"}),
        (
            "split.example",
            [],
            {"weightedSplit": [{"service": "big", "weight": 1}, {"service": "small", "weight": 9}]},
        ),
    )
    assert reach.stranded_hosts(raw, ["big"]) == {"two.example"}
    assert reach.stranded_hosts(raw, []) == {"one.example", "two.example", "split.example"}


def test_nothing_is_stranded_while_no_configuration_is_known(reach):
    assert reach.stranded_hosts(b"", []) == frozenset()


def test_another_configuration_is_read_anew(reach):
    assert reach.stranded_hosts(configuration(("one.example", ["north"], {"service": "big"})), ["big"])
    assert not reach.stranded_hosts(configuration(("one.example", ["south"], {"service": "big"})), ["big"])


def test_the_directory_sends_on_who_asks_for_a_stranded_host():
    directory = Directory({"south-a": "south"}, Random(1), {"ttl_max_s": 5})

    def status(name):
        query = {"name": name, "region": "south", "zone": "south-a"}
        return directory.handle(Request(b"GET", b"/resolution", query), EDGES, {"homed.example"}).status

    assert status("Homed.example") == 503
    assert status("free.example") == 200


def test_a_member_that_hears_no_other_sends_clients_on(tmp_path):
    """Through the control plane: it starts alone, and hears the others again."""

    async def story():
        loop = asyncio.get_running_loop()
        settings = validate(programs.core(1, tmp_path / "data"))
        plane = ControlPlane(settings, loop, Random(1))
        now = loop.time()
        plane.hub.configuration = configuration(
            ("homed.example", ["south"], {"service": "big"}), ("free.example", [], {"service": "big"})
        )
        plane.endpoint_list.apply_poll(
            now,
            [
                {
                    "instanceId": "i-1",
                    "service": "big",
                    "address": "10.9.0.1:80",
                    "zone": "hall-1",
                    "state": "available",
                    "configVersion": "v1",
                    "capacitySlots": 4,
                    "coldLeftMs": 0,
                }
            ],
        )
        plane.hub.update_edges(
            now, [EdgeObservation(EdgeStatus("edge-1", "10.0.0.1:80", "hall-1", "north", 1, READY), 0.0, 5.0)]
        )

        def status(name):
            told = []
            plane.directory_service.resolve(
                Request(b"GET", b"/resolution", {"name": name, "zone": "hall-1"}), told.append
            )
            return told[0].status

        assert (status("homed.example"), status("free.example")) == (503, 200)
        plane.dispatcher.dispatch(
            settings.seed_links[1], CONTROL_CHANNEL + control_messages.encode(EdgeObservations(())), None
        )
        assert (status("homed.example"), status("free.example")) == (200, 200)
        plane.links.close()

    asyncio.run(story())
