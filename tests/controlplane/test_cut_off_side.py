"""A directory on the minority side of a cut rejects requests for hosts that its side can't serve, so that the
client asks another directory."""

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
                    "homeRegions": home_regions,
                    **targets,
                }
                for number, (host, home_regions, targets) in enumerate(routes)
            ],
            "serviceList": [{"name": "big", "healthPath": "/h"}, {"name": "small", "healthPath": "/h"}],
        }
    )


@pytest.fixture
def monitor():
    monitor = ReachabilityMonitor("a:1", "south")
    for member in MEMBERS[1:]:
        monitor.record_contact(10.0, member)
    return monitor


def test_a_member_that_hears_nobody_is_cut_off_after_the_timeout(monitor):
    assert not monitor.is_cut_off(9.9 + MEMBER_TIMEOUT_S, MEMBERS, 9.0)
    assert monitor.is_cut_off(10.1 + MEMBER_TIMEOUT_S, MEMBERS, 9.0)


def test_a_majority_that_votes_is_not_cut_off(monitor):
    """The primary died. The two remaining members hear each other, which distinguishes this from a cut."""
    monitor.record_contact(10.6, "b:1")
    assert not monitor.is_cut_off(11.3, MEMBERS, 10.0)


def test_a_member_that_hears_the_primary_is_not_cut_off(monitor):
    assert not monitor.is_cut_off(20.0, MEMBERS, 19.9)
    assert ReachabilityMonitor("a:1", "south").is_cut_off(20.0, MEMBERS, float("-inf"))


def test_half_is_no_majority():
    monitor = ReachabilityMonitor("a:1", "south")
    monitor.record_contact(10.0, "b:1")
    assert monitor.is_cut_off(10.1, (*MEMBERS, "d:1"), 1.0)
    monitor.record_contact(10.0, "d:1")
    assert not monitor.is_cut_off(10.1, (*MEMBERS, "d:1"), 1.0)


def test_a_host_is_stranded_by_one_route_with_its_home_elsewhere(monitor):
    raw = configuration(
        ("Homed.example", ["north"], {"service": "big"}),
        ("homed.example", [], {"service": "big"}),
        ("both.example", ["north", "south"], {"service": "big"}),
        ("free.example", [], {"service": "big"}),
    )
    assert monitor.unservable_hosts(raw, ["big"]) == {"homed.example"}


def test_a_host_is_stranded_where_its_services_have_no_upstream(monitor):
    raw = configuration(
        ("one.example", [], {"service": "big"}),
        ("two.example", [], {"service": "small"}),
        (
            "split.example",
            [],
            {"weightedSplit": [{"service": "big", "weight": 1}, {"service": "small", "weight": 9}]},
        ),
    )
    assert monitor.unservable_hosts(raw, ["big"]) == {"two.example"}
    assert monitor.unservable_hosts(raw, []) == {"one.example", "two.example", "split.example"}


def test_no_host_is_stranded_before_a_configuration_is_known(monitor):
    assert monitor.unservable_hosts(b"", []) == frozenset()


def test_a_changed_configuration_is_parsed_again(monitor):
    assert monitor.unservable_hosts(configuration(("one.example", ["north"], {"service": "big"})), ["big"])
    assert not monitor.unservable_hosts(
        configuration(("one.example", ["south"], {"service": "big"})), ["big"]
    )


def test_the_directory_rejects_requests_for_a_stranded_host():
    directory = Directory({"south-a": "south"}, Random(1), {"ttl_max_s": 5})

    def status(name):
        query = {"name": name, "region": "south", "zone": "south-a"}
        return directory.handle(Request(b"GET", b"/resolution", query), EDGES, {"homed.example"}).status

    assert status("Homed.example") == 503
    assert status("free.example") == 200


def test_a_member_that_hears_no_other_rejects_stranded_hosts(tmp_path):
    """The same through the control plane: the member starts alone, and later hears another member."""

    async def scenario():
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
            responses = []
            plane.directory_service.resolve(
                Request(b"GET", b"/resolution", {"name": name, "zone": "hall-1"}), responses.append
            )
            return responses[0].status

        assert (status("homed.example"), status("free.example")) == (503, 200)
        plane.dispatcher.dispatch(
            settings.seed_link_addresses[1],
            CONTROL_CHANNEL + control_messages.encode(EdgeObservations(())),
            None,
        )
        assert (status("homed.example"), status("free.example")) == (200, 200)
        plane.peer_connections.close()

    asyncio.run(scenario())
