"""A process that stood still: what waited unread meanwhile is no news."""

import pytest
from controlplane.cut_world import CutWorld
from controlplane.virtual_loop import play

from shedgrade.http.server import Request
from shedgrade.runtime.stall_detection import FRAMES_SETTLING_S, STALL_THRESHOLD_S, StallDetector

STOPPED = 20.0  # s


def test_what_is_read_after_a_stall_may_be_as_old_as_that():
    detector = StallDetector(10.0)
    for now in (10.25, 10.5, 10.5 + STALL_THRESHOLD_S):
        detector.observe(now)
        detector.check_invariants()
        assert detector.unread_s(now) == 0
    detector.observe(31.25)
    detector.check_invariants()
    assert detector.unread_s(31.25) == 20.0 and detector.unread_s(31.5) == 20.25
    detector.observe(31.25 + FRAMES_SETTLING_S)
    detector.check_invariants()
    assert detector.unread_s(31.25 + FRAMES_SETTLING_S) == 0


def test_a_second_stall_right_after_the_first_adds_to_it():
    detector = StallDetector(10.0)
    detector.observe(20.0)
    detector.observe(20.25)
    detector.observe(22.25)
    detector.check_invariants()
    assert detector.unread_s(22.25) == 12.25


def named(core) -> list[str] | int:
    """What its directory answers: addresses, or the status of a refusal."""
    told = []
    core.plane.directory_service.resolve(
        Request(b"GET", b"/resolution", {"name": "a.example", "zone": "hall-1"}), told.append
    )
    return told[0].status


@pytest.mark.parametrize("which", ["primary", "backup", "witness"])
def test_heartbeats_lists_and_asks_that_waited_unread_are_no_news(tmp_path, which):
    """It is stopped, then cut off, then goes on: all that it reads is from before the cut."""

    async def scene(loop):
        world = CutWorld(loop, tmp_path)
        await world.run(3.0)
        await world.put(1)
        stopped = next(core for core in world.cores.values() if core.plane.member.role == which)
        edge = world.start_edge(11, stopped.number)
        await world.run(3.0)
        assert named(stopped) == 200
        stopped.loop.stopped = True
        await world.run(0.9)
        edge.loop.ended = True
        world.edges.clear()
        world.cut(stopped, *world.others(stopped))
        begun = loop.time()
        for version in (2, 3, 4):
            await world.put(version, *world.others(stopped))
            await world.run(1.0)
        await world.run(STOPPED)
        stopped.loop.thaw()
        for _ in range(20):
            assert world.fresh_s(stopped) >= loop.time() - begun
            assert stopped.plane.endpoint_list.age_s(loop.time()) >= loop.time() - begun
            assert named(stopped) == 503
            await world.run(0.1)
        world.heal()
        await world.run(2.0)
        assert world.wrong == [] and world.fresh_s(stopped) < 0.8 and stopped.plane.hub.version == 4

    play(scene)
