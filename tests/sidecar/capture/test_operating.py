"""Capture and replay of operators' orders, changed settings, the slow start share and long requests."""

from types import SimpleNamespace

from helpers import method, row, settings

from shedgrade import file_frames, load_balancing
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import Ring
from shedgrade.sidecar.shadow_policy.config import merge_settings
from shedgrade.sidecar.shadow_policy.follower import Follower
from shedgrade.sidecar.shadow_policy.shadow import ShadowedBalancer


def tag(name):
    return SimpleNamespace(request=SimpleNamespace(name=name))


def happen(b):
    """Makes orders, setting changes and a long request between other requests; returns what was decided."""
    conf = settings([method("once", soft=9e3, hard=9e3)])
    b.list_changed(0, [row(up) for up in range(3)], True, True)
    found = []
    for now, step in enumerate(("rpc", "out", "rpc", "long", "divide", "tune", "rpc", "back", "rpc", "rpc")):
        now *= 100
        if step in ("out", "back"):
            b.set_withdrawn(now, 1, step == "out")
        elif step == "divide":
            b.set_slow_start_share(0.5)
        elif step == "tune":
            b.update_settings({**conf, "methods": [method("repeatable")], "tick": 5.0})
        else:
            rpc = b.admit(now, 0, now + 80_000, False, tag(b"%d" % now))
            if step == "long":
                rpc.body_received(now, now + 80_000, True, False)
            found.append(rpc.decide(now))
            if step == "long":
                found.append(rpc.body_received(now + 50, now + 80_050, False, True))
            found.append(rpc.attempt_finished(now + 60, 0, load_balancing.COMPLETED, 60, True))
    return found


def test_what_operators_order_is_captured_and_replayed_without_a_difference():
    ring = Ring(1 << 20)
    recorder = Recorder(settings([method("once", soft=9e3, hard=9e3)]), 7, 0, ring)
    happen(recorder)
    recorder.flush()
    _, records, _ = file_frames.read(ring.data(), b"C")
    replay = Replay(records)
    assert list(replay.run()) == [] and replay.calls > 20 and replay.left_out == 0
    assert replay.settings["tick"] == 5.0 and replay.balancer.slow_start_share == 0.5


def test_a_follower_is_told_of_the_same_and_its_own_settings_stay():
    conf = settings([method("once", soft=9e3, hard=9e3)])
    over = {"limits": {"most_transmissions": 1}}
    watched = ShadowedBalancer(
        load_balancing.Balancer(conf, 7, 0),
        lambda: Follower(merge_settings(conf, over), 7, 0),
        lambda fresh: merge_settings(fresh, over),
    )
    alone = load_balancing.Balancer(conf, 7, 0)
    assert happen(watched) == happen(alone)
    assert watched.follower is not None and watched.follower.max_attempts == 1 < watched.inner.max_attempts
    assert (
        watched.follower.deadline_margin == watched.inner.deadline_margin == 100
        and watched.follower.slow_start_share == 0.5
    )
    assert watched.follower.upstreams[1].reinstated_at == alone.upstreams[1].reinstated_at > 0
