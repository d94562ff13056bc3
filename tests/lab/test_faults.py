"""The fault schedule and scenario validation, without I/O: the steps of each fault, and what is rejected."""

from collections import Counter
from pathlib import Path

import pytest
from typer.testing import CliRunner

from shedgrade.cli import app
from shedgrade.lab.arrivals import schedule
from shedgrade.lab.faults import plan
from shedgrade.lab.scenario import ScenarioError, convert, load

SCENARIOS = Path(__file__).parents[2] / "scenarios"


def planned(*faults, **more):
    return plan(
        convert(
            {
                "name": "t",
                "length_s": 30.0,
                "fleet": {
                    "zones": ["a", "b"],
                    "groups": [{"zone": "a", "count": 6}, {"zone": "b", "count": 4}],
                },
                "methods": [{"name": "m"}],
                "load": {"shapes": [{"kind": "steady", "rate": 1.0}], "classes": [{"method": "m"}]},
                "faults": list(faults),
                **more,
            },
            "t",
        )
    )


def steps(*faults, **more):
    return [(step.at, step.who, step.what) for step in planned(*faults, **more)[1]]


def test_a_deploy_replaces_each_upstream_once_in_batches_and_starts_successors_first():
    first, timeline, machines = planned(
        {"kind": "deploy", "at_s": 2.0, "for_s": 10.0, "batch": 0.2, "drain_ms": 1500}
    )
    starts = [step for step in timeline if step.what == "start"]
    kills = Counter(step.who for step in timeline if step.what == "kill")
    assert len(starts) == 10 and len(machines) == 20 and kills == {one.name: 1 for one in first}
    assert Counter(step.at for step in starts) == {2.0: 2, 4.0: 2, 6.0: 2, 8.0: 2, 10.0: 2}
    states = [
        step.args["lifecycle"] for step in timeline if step.who == first[0].name and step.what == "list"
    ]
    assert states == ["terminating", "terminated"]
    assert [one.zone for one in machines[10:]].count("a") == 6


def test_overlapping_faults_pick_only_upstreams_that_are_alive():
    _, timeline, _ = planned(
        {"kind": "deploy", "at_s": 1.0, "for_s": 5.0, "drain_ms": 500},
        {"kind": "shrink", "at_s": 8.0, "share": 0.5, "drain_ms": 500},
        {"kind": "kill", "at_s": 12.0, "share": 1.0},
    )
    kills = Counter(step.who for step in timeline if step.what == "kill")
    assert max(kills.values()) == 1 and len(kills) == 20


def test_lasting_faults_are_switched_on_and_off():
    for kind in ("hang", "refuse", "cut", "spoil"):
        assert [
            (at, what) for at, _, what in steps({"kind": kind, "at_s": 1, "for_s": 2, "upstreams": [3]})
        ] == [(1, kind), (3, kind)]
    assert steps({"kind": "reset", "at_s": 1, "upstreams": [3]}) == [(1, "u0003", "reset")]
    slow = steps({"kind": "slow", "at_s": 1, "for_s": 6, "upstreams": [0], "period_s": 1})
    assert len(slow) >= 5 and slow[-1][0] == 7
    assert [what for _, _, what in steps({"kind": "sidecar_stop", "at_s": 1})] == ["stop", "continue"]
    assert [at for at, _, _ in steps({"kind": "sidecar_kill", "at_s": 1, "for_s": 2})] == [1, 3]


def test_a_zone_loss_kills_or_cuts_its_upstreams_and_a_zone_cut_works_both_ways():
    announced = Counter(
        what for _, _, what in steps({"kind": "zone_loss", "at_s": 1, "for_s": 2, "zone": "b"})
    )
    assert announced == {"kill": 4, "list": 8, "start": 4}
    silent = Counter(
        what
        for _, _, what in steps({"kind": "zone_loss", "at_s": 1, "for_s": 2, "zone": "b", "silent": True})
    )
    assert silent == {"cut": 8}
    _, timeline, _ = planned({"kind": "zone_cut", "at_s": 1, "for_s": 2, "zone": "b"})
    assert sum(step.args["zones"] == ["a"] for step in timeline) == 4
    assert sum(step.args["zones"] == ["b"] for step in timeline) == 6


def test_a_restart_elsewhere_has_another_address_and_churn_reuses_addresses():
    first, timeline, _ = planned(
        {"kind": "restart", "at_s": 1, "for_s": 1, "upstreams": [0], "elsewhere": True}
    )
    start = next(step for step in timeline if step.what == "start")
    assert start.who == first[0].name and start.args["slot"] != 0
    _, timeline, machines = planned({"kind": "churn", "at_s": 1, "period_s": 0.5, "drain_ms": 500})
    slots = Counter(step.args["slot"] for step in timeline if step.what == "start")
    assert len(machines) > 50 and max(slots.values()) > 1
    assert len({one.name for one in machines}) == len(machines)


def test_the_same_seed_gives_the_same_plan():
    faults = {"kind": "restart", "at_s": 1, "for_s": 2, "share": 0.3}, {"kind": "churn", "at_s": 4}
    assert steps(*faults) == steps(*faults) != steps(*faults, seed=9)


def test_every_shipped_scenario_is_valid():
    paths = sorted(SCENARIOS.glob("*.toml"))
    kinds = {fault.kind for path in paths for fault in load(path).faults}
    assert len(paths) > 20 and all(schedule(load(path)) for path in paths)
    assert kinds >= {
        "restart",
        "hang",
        "slow",
        "zone_loss",
        "zone_cut",
        "deploy",
        "shrink",
        "grow",
        "churn",
        "spoil",
        "kill",
        "reset",
        "refuse",
        "cut",
        "sidecar_kill",
        "sidecar_term",
        "sidecar_stop",
        "sidecar_reload",
        "discovery_late",
        "discovery_gone",
        "discovery_reset",
    }


GOOD = (SCENARIOS / "demo.toml").read_text()
BAD = {
    "not TOML": ("name", "= =", "not TOML"),
    "unknown key": ("seed = 1", "sede = 1", "sede"),
    "wrong type": ("seed = 1", 'seed = "one"', "seed"),
    "unknown method": ('method = "claim"', 'method = "x"', "classes[0]"),
    "soft over hard": ("soft_ms = 300.0", "soft_ms = 900.0", "methods[0].soft_ms"),
    "negative": ("rate = 230.0", "rate = -1.0", "shapes[0].rate"),
    "unknown zone": ('zone = "north"', 'zone = "n"', "groups[0]"),
    "fault after the end": ("at_s = 8.0", "at_s = 31.0", "faults[0].at_s"),
    "unknown fault": ('"deploy"', '"melt"', "faults[0].kind"),
    "warm-up over the length": ("warmup_s = 2.0", "warmup_s = 30.0", "warmup_s"),
    "unknown shape": ('"wave"', '"cliff"', "shapes[0].kind"),
}


@pytest.mark.parametrize("name", BAD)
def test_a_malformed_scenario_is_rejected_in_one_line_with_file_and_key(tmp_path, name):
    old, new, key = BAD[name]
    assert old in GOOD
    (tmp_path / "bad.toml").write_text(GOOD.replace(old, new, 1))
    result = CliRunner().invoke(app, ["lab", "check", str(tmp_path / "bad.toml")])
    error = result.stderr.strip()
    assert result.exit_code == 2 and "\n" not in error and "bad.toml" in error and key in error, error


def test_overrides_from_the_command_line_are_validated_like_the_file():
    path = SCENARIOS / "demo.toml"
    changed = load(path, ["load.scale=2", "sidecars.policy=random", "fleet.groups.1.cores=3"])
    assert (changed.load.scale, changed.sidecars.policy, changed.fleet.groups[1].cores) == (2.0, "random", 3)
    for change in ("load.scal=2", "load.scale=-1", "load", "fleet.groups.9.cores=3"):
        with pytest.raises(ScenarioError, match="demo.toml"):
            load(path, [change])
