"""A stopped process: messages that waited unread meanwhile must not count as recent."""

import pytest
from controlplane.cut_world import PartitionTestCluster
from controlplane.virtual_loop import run_scenario

from shedgrade.http.server import Request
from shedgrade.runtime.stall_detection import FRAMES_SETTLING_S, STALL_THRESHOLD_S, StallDetector

STOP_DURATION_S = 20.0


def test_messages_read_after_a_stall_may_be_as_old_as_the_stall():
    detector = StallDetector(10.0)
    for now in (10.25, 10.5, 10.5 + STALL_THRESHOLD_S):
        detector.observe(now)
        detector.check_invariants()
        assert detector.max_unread_s(now) == 0
    detector.observe(31.25)
    detector.check_invariants()
    assert detector.max_unread_s(31.25) == 20.0 and detector.max_unread_s(31.5) == 20.25
    detector.observe(31.25 + FRAMES_SETTLING_S)
    detector.check_invariants()
    assert detector.max_unread_s(31.25 + FRAMES_SETTLING_S) == 0


def test_a_second_stall_right_after_the_first_adds_to_it():
    detector = StallDetector(10.0)
    detector.observe(20.0)
    detector.observe(20.25)
    detector.observe(22.25)
    detector.check_invariants()
    assert detector.max_unread_s(22.25) == 12.25


def directory_status(core) -> list[str] | int:
    """Returns the status with which the member's directory answers."""
    responses = []
    core.plane.directory_service.resolve(
        Request(b"GET", b"/resolution", {"name": "a.example", "zone": "hall-1"}), responses.append
    )
    return responses[0].status


@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_heartbeats_lists_and_watches_that_waited_unread_do_not_count_as_recent(tmp_path, role):
    """The member is stopped, then cut off, then resumed: all that it reads was sent before the cut."""

    async def scenario(loop):
        cluster = PartitionTestCluster(loop, tmp_path)
        await cluster.run(3.0)
        await cluster.put(1)
        stopped = next(core for core in cluster.cores.values() if core.plane.member.role == role)
        edge = cluster.start_edge(11, stopped.number)
        await cluster.run(3.0)
        assert directory_status(stopped) == 200
        stopped.loop.stopped = True
        await cluster.run(0.9)
        edge.loop.ended = True
        cluster.edges.clear()
        cluster.cut(stopped, *cluster.others(stopped))
        started_at = loop.time()
        for version in (2, 3, 4):
            await cluster.put(version, *cluster.others(stopped))
            await cluster.run(1.0)
        await cluster.run(STOP_DURATION_S)
        stopped.loop.resume()
        for _ in range(20):
            assert cluster.control_age_s(stopped) >= loop.time() - started_at
            assert stopped.plane.endpoint_list.age_s(loop.time()) >= loop.time() - started_at
            assert directory_status(stopped) == 503
            await cluster.run(0.1)
        cluster.heal()
        await cluster.run(2.0)
        assert (
            cluster.violations == []
            and cluster.control_age_s(stopped) < 0.8
            and stopped.plane.hub.version == 4
        )

    run_scenario(scenario)
