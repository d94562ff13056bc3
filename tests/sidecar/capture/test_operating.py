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


def run_scenario(balancer):
    """Makes orders, setting changes and a long request between other requests; returns what was decided."""
    base_settings = settings([method("once", soft=9e3, hard=9e3)])
    balancer.list_changed(0, [row(up) for up in range(3)], True, True)
    decisions = []
    for now, step in enumerate(("rpc", "out", "rpc", "long", "divide", "tune", "rpc", "back", "rpc", "rpc")):
        now *= 100
        if step in ("out", "back"):
            balancer.set_withdrawn(now, 1, step == "out")
        elif step == "divide":
            balancer.set_slow_start_share(0.5)
        elif step == "tune":
            balancer.update_settings({**base_settings, "methods": [method("repeatable")], "tick": 5.0})
        else:
            rpc = balancer.admit(now, 0, now + 80_000, False, tag(b"%d" % now))
            if step == "long":
                rpc.body_received(now, now + 80_000, True, False)
            decisions.append(rpc.decide(now))
            if step == "long":
                decisions.append(rpc.body_received(now + 50, now + 80_050, False, True))
            decisions.append(rpc.attempt_finished(now + 60, 0, load_balancing.COMPLETED, 60, True))
    return decisions


def test_operators_orders_and_settings_replay_without_a_difference():
    ring = Ring(1 << 20)
    recorder = Recorder(settings([method("once", soft=9e3, hard=9e3)]), 7, 0, ring)
    run_scenario(recorder)
    recorder.flush()
    _, records, _ = file_frames.decode_file(ring.data(), b"C")
    replay = Replay(records)
    assert list(replay.run()) == [] and replay.calls > 20 and replay.left_out == 0
    assert replay.settings["tick"] == 5.0 and replay.balancer.slow_start_share == 0.5


def test_a_follower_gets_the_same_calls_and_keeps_its_settings():
    base_settings = settings([method("once", soft=9e3, hard=9e3)])
    changes = {"limits": {"most_transmissions": 1}}
    shadowed = ShadowedBalancer(
        load_balancing.Balancer(base_settings, 7, 0),
        lambda: Follower(merge_settings(base_settings, changes), 7, 0),
        lambda fresh: merge_settings(fresh, changes),
    )
    plain = load_balancing.Balancer(base_settings, 7, 0)
    assert run_scenario(shadowed) == run_scenario(plain)
    assert shadowed.follower is not None and shadowed.follower.max_attempts == 1 < shadowed.inner.max_attempts
    assert (
        shadowed.follower.deadline_margin == shadowed.inner.deadline_margin == 100
        and shadowed.follower.slow_start_share == 0.5
    )
    assert shadowed.follower.upstreams[1].reinstated_at == plain.upstreams[1].reinstated_at > 0
