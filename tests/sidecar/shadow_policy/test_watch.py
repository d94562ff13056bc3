"""Shadow policy: equal settings count no differences, each other setting its kind, and an error of the
follower changes no answer.
"""

import json
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import pytest
from helpers import World, ask, message, method, on_sockets, request, row, settings
from loguru import logger
from typer.testing import CliRunner

from shedgrade import file_frames, load_balancing
from shedgrade.cli import app, with_features
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import KIND
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.lifecycle.sidecar import Sidecar
from shedgrade.sidecar.shadow_policy.config import ShadowPolicyConfig
from shedgrade.sidecar.shadow_policy.follower import Follower, difference_kind
from shedgrade.sidecar.shadow_policy.part import ShadowPolicyPart
from shedgrade.upstream_pool.errors import ConfigError

METHODS = [method("once"), method(payoff=3.0), method("by_key", "zone", payoff=0.5)]


class Simulation:
    """Drives a balancer with a follower as the dispatcher does: drains, errors, hangs, client disconnects."""

    def __init__(self, seed, over, busy=4, **more):
        self.chance, self.now = Random(seed), 100
        self.base_settings = settings(METHODS, zones=2, balancers=20, **more)
        self.part = ShadowPolicyPart(ShadowPolicyConfig(settings=over), "features")
        self.watched = self.part.decisions(self.base_settings, seed, self.now)
        self.watched.list_changed(self.now, [row(up, up % 2) for up in range(8)], True, True)
        self.ends, self.answers, self.busy = [], [], busy

    def apply_decision(self, active_request, answer):
        self.answers.append(answer)
        if answer is not None and answer[0] >= 0:
            duration = self.chance.choice((5, 20, 60, 300, 2500, answer[1]))
            outcome = (
                load_balancing.TIMED_OUT
                if duration >= answer[1]
                else self.chance.choice(
                    (load_balancing.COMPLETED,) * 9
                    + (load_balancing.REJECTED, load_balancing.FAILED, load_balancing.UNCONNECTED)
                )
            )
            self.ends.append(
                (
                    self.now + min(duration, answer[1]),
                    len(active_request.rpc.attempts) - 1,
                    active_request,
                    outcome,
                )
            )

    def step(self):
        for _ in range(self.chance.choice((0, 1, 1, self.busy))):
            active_request = SimpleNamespace(rpc=None)
            method_index, tenant = self.chance.randrange(3), self.chance.choice((0, 0, 0, 1))
            active_request.rpc = self.watched.admit(
                self.now, method_index, self.now + 9000, False, active_request, tenant
            )
            self.apply_decision(active_request, active_request.rpc.decide(self.now))
        for finished in [one for one in self.ends if one[0] <= self.now]:
            self.ends.remove(finished)
            _, attempt, active_request, outcome = finished
            if attempt in active_request.rpc.rpc.outstanding:
                for stopped in active_request.rpc.attempt_finished(
                    self.now, attempt, outcome, 20, outcome == load_balancing.COMPLETED
                ):
                    active_request.rpc.attempt_finished(self.now, stopped, load_balancing.STOPPED, 20, True)
                self.apply_decision(active_request, active_request.rpc.decide(self.now))
        if self.chance.random() < 0.05:
            up = self.chance.randrange(10)
            state = self.chance.choice((load_balancing.READY,) * 2 + (load_balancing.DRAINING,))
            self.watched.list_changed(self.now, [row(up, up % 2, state, self.now - 500)], False, True)
        if self.chance.random() < 0.05:
            self.watched.draw_admission(1)
            self.watched.uniform(0.5, 1.0)
        for rpc in self.watched.due(self.now):
            self.apply_decision(rpc.tag, rpc.tag.rpc.decide(self.now))
        self.watched.take_released()
        self.now += self.chance.choice((10, 50, 200))

    def run(self, steps=1500):
        for _ in range(steps):
            self.step()
        return self


@pytest.mark.parametrize("seed", range(6))
def test_equal_settings_count_no_difference(seed):
    simulation = Simulation(seed, {}).run()
    assert simulation.watched.rpc_count > 1000 and any(
        answer and answer[0] == load_balancing.EXHAUSTED for answer in simulation.answers
    )
    assert simulation.watched.follower is not None and not simulation.watched.counts, (
        simulation.watched.counts
    )


@pytest.mark.parametrize("seed", range(3))
def test_decisions_do_not_depend_on_the_shadow_policy(seed):
    over = {"limits": {"multiplex": 50, "most_transmissions": 1, "retry_after": False}}
    watched, plain = Simulation(seed, over), Simulation(seed, {})
    plain.watched.follower = None
    assert watched.run().answers == plain.run().answers
    assert watched.watched.counts and watched.watched.follower is not None


def test_one_setting_changed_counts_its_kind():
    def kinds(over, **more):
        return Simulation(1, over, **more).run().watched.counts

    assert kinds({"limits": {"most_transmissions": 1}})["no other transmission"] > 0
    more = kinds({"limits": {"most_transmissions": 6}}, limits={"most_transmissions": 1})
    assert more["another transmission"] > 0
    parts = kinds({"limits": {"multiplex": 50}, "balancers": 400})
    assert parts["other upstream"] > 0
    # The retry delay is only given for exhausted requests, so no other kind may differ.
    assert set(kinds({"limits": {"retry_after": False}})) == {"other advice"}
    shares = [{"name": "a", "allowance_per_s": 0.1}, {"name": "b", "allowance_per_s": 900.0}]
    told = kinds({"customers": shares, "excess_payoff": 0.1}, busy=12)
    assert told["exhausted instead of sent"] + told["exhausted instead of held"] > 0


def test_each_pair_of_answers_has_its_kind():
    follower = Follower(settings(zones=2), 1, 0)
    follower.list_changed(0, [row(up, up // 2) for up in range(4)], True, True)
    rpc = follower.admit(0, 0, 9000)
    sent, final, errored = (0, 50), (load_balancing.EXHAUSTED, 100), (load_balancing.ERRORED, 0)
    pairs = {
        (sent, (0, 9)): None,
        (sent, (1, 50)): "other upstream",
        (sent, (2, 50)): "other zone",
        (sent, final): "exhausted instead of sent",
        (final, sent): "sent instead of exhausted",
        (sent, None): "held instead of sent",
        (None, sent): "sent instead of held",
        (None, final): "exhausted instead of held",
        (final, None): "held instead of exhausted",
        (None, None): None,
        (final, final): None,
        (final, errored): "other answer",
        (final, (load_balancing.EXHAUSTED, 7)): "other advice",
    }
    assert {pair: difference_kind(rpc, *pair) for pair in pairs} == pairs
    rpc.attempts.append(None)
    assert difference_kind(rpc, None, sent) == "another transmission"
    assert difference_kind(rpc, sent, None) == difference_kind(rpc, sent, final) == "no other transmission"


@pytest.mark.parametrize("where", ["admit", "list_changed", "due", "draw_admission"])
def test_an_error_of_the_follower_is_logged_once_and_changes_nothing(where, monkeypatch):
    lines = []
    sink = logger.add(lines.append, level="WARNING", format="{message} {extra}")
    simulation, plain = Simulation(3, {}), Simulation(3, {})
    plain.watched.follower = None

    def broken(*_):
        raise RuntimeError("broken")

    monkeypatch.setattr(simulation.watched.follower, where, broken)
    try:
        assert simulation.run(300).answers == plain.run(300).answers
    finally:
        logger.remove(sink)
    assert simulation.watched.follower is None and len(lines) == 1 and "broken" in lines[0]
    assert simulation.watched.summary().endswith("no longer watched")


def test_each_kind_counts_once_per_rpc():
    simulation = Simulation(5, {"limits": {"multiplex": 50}, "balancers": 400}).run()
    assert max(simulation.watched.counts.values()) <= simulation.watched.rpc_count


class ShadowWorld(World):
    """Creates the sidecar with a follower beside its balancer, as `serve` does."""

    def prepare(self):
        self.part = ShadowPolicyPart(ShadowPolicyConfig(settings=self.over, every_s=1.0), "features")
        before = self.sidecar
        self.sidecar = Sidecar(before.config, before.loop, self.part.decisions)
        self.part.join(self.sidecar)


@pytest.mark.parametrize("over", [{}, {"limits": {"multiplex": 100}, "balancers": 300}])
def test_on_sockets_answers_are_given_and_counts_are_logged_at_the_end(over):
    lines = []

    async def echo(head, body):
        return message(200, body)

    @on_sockets
    async def scenario():
        world = ShadowWorld(*[echo] * 6)
        world.over = over
        async with world:
            for number in range(40):
                assert (await ask(world, request(b"x", name=f"r{number}")))[0] == 200
            await world.tell(world.entry(0, "terminating"))
            for number in range(40):
                assert (await ask(world, request(b"x", name=f"s{number}")))[0] == 200
            assert world.sidecar.pool.balancer.follower is not None

    sink = logger.add(lines.append, level="INFO", format="{message} {extra}")
    try:
        scenario()
    finally:
        logger.remove(sink)
    last = [line for line in lines if line.startswith("shadow policy compared ")][-1]
    assert "'differences': '80 RPCs, " in last
    assert ("other upstream" in last) if over else ("no difference" in last)


class CaptureAndShadowWorld(World):
    """Capture and shadow policy, assembled as `serve` assembles them."""

    def prepare(self):
        before = self.sidecar
        self.sidecar = with_features(before.config, self.features, before.loop)


def test_with_capture_the_recorder_is_wrapped_and_the_capture_replays(tmp_path):
    features = tmp_path / "features.toml"
    features.write_text(f"[watch]\n[capture]\nfolder = '{tmp_path}/c'\n")

    async def echo(head, body):
        return message(200, body)

    @on_sockets
    async def scenario():
        world = CaptureAndShadowWorld(echo, echo, echo)
        world.features = features
        async with world:
            for number in range(30):
                assert (await ask(world, request(b"x", name=f"r{number}")))[0] == 200
            await world.tell(world.entry(0, "terminating"))
            for number in range(10):
                assert (await ask(world, request(b"x", name=f"s{number}")))[0] == 200
            watched = world.sidecar.pool.balancer
            assert isinstance(watched.inner, Recorder) and watched.follower is not None
            assert watched.rpc_count == 40 and not watched.counts
            watched.inner.flush()
            _, records, torn = file_frames.decode_file(watched.inner.ring.data(), KIND)
            assert not torn and list(Replay(records).run()) == []

    scenario()


def test_the_shadow_policy_is_not_imported_when_off():
    code = (
        "import sys, shedgrade.cli, shedgrade.sidecar.lifecycle.sidecar\n"
        "sys.exit(any(name.startswith('shedgrade.sidecar.shadow_policy') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("[watch]\nevery_s = 0\n", "watch.every_s"),
        ("[watch.settings]\nzones = []\n", "watch.settings.zones: can't differ"),
        (
            "[watch.settings.limits]\nmultiplex = 0\n",
            "watch.settings.limits.multiplex: found 0; expected a whole number from 1",
        ),
        ("[watch.settings]\nweight_kind = 'heavy'\n", "watch.settings.weight_kind: found 'heavy'"),
        ("[watch]\nother = 1\n", "watch"),
    ],
)
def test_an_invalid_table_is_reported_in_one_line(tmp_path, text, found):
    path = tmp_path / "features.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_features(path)
    assert found in str(error.value) and str(path) in str(error.value) and "\n" not in str(error.value)


def test_numbers_that_do_not_fit_the_platforms_settings_are_refused_at_the_start(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": "127.0.0.1:7070",
                "discovery": "127.0.0.1:8500",
                "seed": "1",
                "settings": {
                    **settings(),
                    "shapes": ["k"],
                    "limits": {**settings()["limits"], "dial_timeout": 250.0, "idle_close": 15000.0},
                },
            }
        )
    )
    features = tmp_path / "features.toml"
    features.write_text("[watch.settings]\nmy_number = 3\n[watch.settings.limits]\nmultiplex = 9\n")
    run = CliRunner().invoke(app, ["check-config", "--config", str(config), "--features", str(features)])
    assert run.exit_code == 2 and "watch.settings.my_number: found 3" in run.output
    features.write_text("[watch.settings]\nbalancers = 9\n" + features.read_text().split("\n", 1)[1])
    run = CliRunner().invoke(app, ["check-config", "--config", str(config), "--features", str(features)])
    assert run.exit_code == 0, run.output
