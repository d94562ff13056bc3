"""Whole runs on loopback, short: real sidecars, stand-in upstreams, faults, and the judge on the results."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest
from typer.testing import CliRunner

from shedgrade.cli import app
from shedgrade.lab import (
    experiments,
    processes,
    report,
    results,
    runner,
    trace,
)
from shedgrade.lab.arrivals import delayed_by_stall, schedule
from shedgrade.lab.processes import LabError
from shedgrade.lab.runner import Run
from shedgrade.lab.scenario import convert, load

pytestmark = pytest.mark.usefixtures("lab_cores")
ROOT = Path(__file__).parents[2]
SCENARIOS = ROOT / "scenarios"
# CI machines may be busy and no test here judges speed, so deadlines and grace times are generous.
TREE = {
    "name": "t",
    "length_s": 3.0,
    "judging": {"grace_ms": 400.0},
    "fleet": {
        "zones": ["a", "b"],
        "discovery": {"notice_ms": [0.0, 50.0]},
        "groups": [
            {"zone": "a", "count": 3, "cores": 2, "cold_ms": 2000.0},
            {"zone": "b", "count": 3, "cores": 2, "cold_ms": 2000.0},
        ],
    },
    "sidecars": {"count": 2},
    "methods": [
        {"name": "once", "soft_ms": 2000.0, "hard_ms": 3000.0},
        {"name": "safe", "repeats": "retriable", "soft_ms": 2000.0, "hard_ms": 3000.0},
    ],
    "load": {
        "shapes": [{"kind": "steady", "rate": 40.0}],
        "late_ms": 500.0,
        "late_share": 0.05,
        "classes": [{"method": "once", "work_ms": 3.0}, {"method": "safe", "work_ms": 3.0}],
    },
}


def tree(**changes):
    return convert({**TREE, **changes}, "t")


def run(tmp_path, scenario):
    return runner.run(scenario, tmp_path / "run")


def test_a_run_without_faults_serves_every_rpc_without_breaches_and_writes_its_folder(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)  # not the repository, and the run's folder is a relative path
    scenario = tree(
        load={**TREE["load"], "processes": 2}, fleet={**TREE["fleet"], "processes": 2, "cross_ms": 2.0}
    )
    summary = run(Path(), scenario)
    figures = summary["figures"]
    assert summary["state"] == "done" and not summary["breaches"] and not summary["no_result"]
    assert figures["asked"] == figures["served"] == len(schedule(scenario)) == summary["latency_ms"]["count"]
    assert figures["cpu_us_per_rpc"] > 0 and 5 < figures["peak_mb"] < 192
    for form, start in (("html", "<!doctype html>"), ("md", "# t")):
        assert report.write(tmp_path / "run", form).read_text().startswith(start)
    assert (
        CliRunner().invoke(app, ["lab", "export", str(tmp_path / "run"), str(tmp_path / "t.csv")]).exit_code
        == 0
    )
    assert len(trace.read(tmp_path / "t.csv")) == figures["asked"]


def test_the_tail_of_a_known_stall_is_reported_in_full_and_a_closed_loop_hides_it(tmp_path):
    scenario = load(SCENARIOS / "stall.toml", ["judging.grace_ms=2000.0"])
    summary = run(tmp_path, scenario)
    events = results.lines(tmp_path / "run/events.jsonl")
    marks = {one["what"]: one["at"] for one in events if one["k"] == "sidecar"}
    start, length = marks["stop"], marks["continue"] - marks["stop"]
    times = [arrival.at for arrival in schedule(scenario)]
    rpcs = [one for one in results.records(tmp_path / "run") if one["k"] == "rpc"]
    # RPCs due within the stall wait for its end, and then for the RPCs queued before them.
    after = [one["end"] - start - length for one in rpcs if start <= one["due"] < start + length - 0.1]
    drained = max(after)
    assert abs(len(after) - delayed_by_stall(times, start, length, 0.1)) <= 2 and min(after) > -0.02
    assert length * 1000 - 20 <= summary["latency_ms"]["max"] <= (length + drained + 0.02) * 1000
    for over in (0.5, 1.0, 1.5):
        found = sum(one["end"] - one["due"] > over for one in rpcs)
        assert (
            delayed_by_stall(times, start, length, over) - 1
            <= found
            <= delayed_by_stall(times, start, length + drained, over) + 1
        )
        assert summary["figures"][f"over_{over:g}s"] == pytest.approx(found / len(times), abs=1e-4)
    assert summary["latency_ms"]["p99"] > 1500
    assert summary["closed_ms"]["p99"] < 500 < summary["closed_ms"]["max"]


def test_every_fault_once_and_the_sidecar_keeps_the_rules(tmp_path):
    """Each fault is carried out, and the judge finds no breach; how well the sidecar serves is not tested."""

    def one(kind, at, **more):
        return {"kind": kind, "at_s": at, **more}

    planned_faults = [
        one("kill", 0.5, upstreams=[0]),
        one("restart", 0.7, for_s=1, upstreams=[1], elsewhere=True),
        one("hang", 0.9, for_s=1.0, upstreams=[3]),
        one("slow", 1.1, for_s=2, upstreams=[2], period_s=0.5),
        one("spoil", 1.3, for_s=1.5, upstreams=[4, 5]),
        one("reset", 1.5, upstreams=[2, 4, 5]),
        one("grow", 1.6, count=3),
        one("refuse", 2.0, for_s=0.7, upstreams=[4]),
        one("cut", 2.1, for_s=1.0, upstreams=[2]),
        one("drain", 2.3, upstreams=[5], drain_ms=700),
        one("discovery_late", 2.5, for_s=1, late_ms=300),
        one("zone_cut", 2.8, for_s=0.7, zone="b"),
        one("deploy", 3.5, for_s=1, share=0.4, drain_ms=700),
        one("shrink", 4.6, count=1, drain_ms=500),
        one("discovery_gone", 4.8, for_s=0.7),
        one("churn", 5.0, for_s=0.8, period_s=0.4, drain_ms=500),
        one("discovery_reset", 5.7),
        one("sidecar_reload", 6.0, sidecar=1),
        one("zone_loss", 6.2, for_s=0.8, zone="b"),
        one("sidecar_stop", 6.6, for_s=0.4),
        one("sidecar_term", 7.2, for_s=0.3),
        one("sidecar_kill", 7.5, for_s=0.3, sidecar=1),
    ]
    scenario = tree(
        length_s=9.5,
        faults=planned_faults,
        callers={"retries": 2, "backoff": "exponential"},
        load={**TREE["load"], "bad_clients": 8.0},
    )
    summary = run(tmp_path, scenario)
    fault_steps = {one["what"] for one in results.lines(tmp_path / "run/events.jsonl") if one["k"] == "fault"}
    assert fault_steps >= {
        "kill",
        "start",
        "hang",
        "speed",
        "spoil",
        "reset",
        "refuse",
        "cut",
        "drain",
        "discovery_late",
        "discovery_gone",
        "discovery_reset",
        "stop",
        "continue",
        "term",
        "reload",
        "start_again",
        "list",
    }
    assert not summary["breaches"], summary["breaches"][:3]
    outcomes = {one["how"] for one in results.records(tmp_path / "run") if one["k"] == "tx"}
    assert outcomes >= {"done", "spoilt"} and summary["figures"]["served"] > 200
    assert summary["bad_clients"]["count"] > 20 and summary["bad_clients"]["neither"] == 0
    report.write(tmp_path / "run")


def test_the_judge_catches_a_sidecar_that_breaks_the_rules(tmp_path, monkeypatch):
    async def start(self, number):
        with (self.folder / "rogue.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(Path(__file__).parent / "rogue.py"),
                stdout=log,
                stderr=log,
                env={**os.environ, "GW_CONFIG": str(self.folder / f"n{number}.json")},
                start_new_session=True,
            )
        self.sidecars[number] = processes.Process("rogue", process)

    monkeypatch.setattr(Run, "start_sidecar", start)
    planned_faults = [
        {"kind": "drain", "at_s": 0.5, "upstreams": [0], "drain_ms": 2400},
        {"kind": "restart", "at_s": 0.2, "for_s": 0.2, "upstreams": [1, 4]},
    ]
    scenario = tree(
        judging={"grace_ms": 100.0},
        methods=[
            {"name": name, "repeats": repeats, "hard_ms": 800.0}
            for name, repeats in (("once", "non-retriable"), ("safe", "non-retriable"))
        ],
        settings={"stop_sending_ms": 100.0},
        faults=planned_faults,
    )
    # The rogue never asks discovery, so the test adds the record of what its agent would have told it.
    folder = tmp_path / "run"
    runner.run(scenario, folder)
    with (folder / "events.jsonl").open("ab") as file:
        file.write(
            orjson.dumps({"k": "told", "sidecar": 0, "up": "u0000", "at": 0.5, "lifecycle": "terminating"})
        )
    found = {(one["rule"], one["what"]) for one in results.summarize(folder)["breaches"]}
    assert found >= {
        (1, "lost: its connection ended without an answer"),
        (1, "an answer that no upstream made"),
        (1, "no final answer in time"),
        (1, "sent after the final answer"),
        (2, "non-retriable, sent again after it may have run"),
        (2, "refused although it may have run"),
        (3, "sent to an upstream that drains or is gone"),
    }, found


def test_a_policy_that_ignores_cold_starts_overloads_upstreams_and_is_reported(tmp_path):
    fleet = {
        "zones": ["a"],
        "discovery": {"notice_ms": [0.0, 10.0]},
        "groups": [
            {
                "zone": "a",
                "count": 2,
                "cores": 8,
                "queue": 500,
                "cold_ms": 200_000.0,
                "cold_from": 0.005,
                "overload_ms": 500.0,
            }
        ],
    }
    # 2.4 s of work per second over four upstreams: 300 ms each per window, where a cold one may get 60 ms.
    planned_faults = [{"kind": "grow", "at_s": 0.5, "count": 2}]
    load = {**TREE["load"], "classes": [{"method": "once", "work_ms": 60.0}]}
    scenario = tree(
        fleet=fleet, faults=planned_faults, load=load, sidecars={"count": 1, "policy": "rotation"}
    )
    summary = run(tmp_path, scenario)
    assert {one["rule"] for one in summary["breaches"]} == {4} and summary["figures"]["fell"] == 2


def test_a_generator_that_was_stopped_makes_the_run_invalid(tmp_path):
    async def stop_generator_during_run():
        lab_run = Run(tree(load={**TREE["load"], "late_ms": 100.0}), tmp_path / "run")
        running = asyncio.create_task(lab_run())
        while not lab_run.start_time or lab_run.now() < 1.0:
            await asyncio.sleep(0.05)
        lab_run.generators[0].process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        lab_run.generators[0].process.send_signal(signal.SIGCONT)
        return await running

    summary = asyncio.run(stop_generator_during_run())
    assert "the generator was late" in summary["no_result"][0] and summary["lateness_ms"]["max"] > 700


def test_a_generator_that_waited_for_a_core_makes_the_run_invalid(tmp_path):
    results.put_state(tmp_path, "done")
    reported = {"late": 0, "troubles": [], "run_delay": 0.1}
    assert results.invalid(tree(), tmp_path, None, reported) == []
    assert (
        "waited 0.2 s for a core"
        in results.invalid(tree(), tmp_path, None, {**reported, "run_delay": 0.2})[0]
    )


def test_recorded_retries_count_with_their_first_try(tmp_path):
    # Every upstream hangs for the first 1.2 s, so that only the retries, due from 1.5 s on, are served.
    rows = []
    for number in range(20):
        # The first RPC is due together with the hang: its work is too long to end before the hang begins.
        rows.append(
            trace.Row(
                at_ms=100 + number * 5 + 300 * bool(number),
                id=f"f{number}",
                method="safe",
                wait_ms=800,
                work_ms=3.0 if number else 300.0,
            )
        )
        rows.append(trace.Row(at_ms=1600 + number * 5, id=f"r{number}", method="safe", retry_of=f"f{number}"))
    trace.write(tmp_path / "t.jsonl", rows)
    scenario = tree(
        load={**TREE["load"], "trace": {"file": str(tmp_path / "t.jsonl"), "retries": "recorded"}},
        settings={"most_transmissions": 1},
        faults=[{"kind": "hang", "at_s": 0.0, "for_s": 1.2, "share": 1.0}],
    )
    summary = run(tmp_path, scenario)
    figures = summary["figures"]
    assert figures["asked"] == 20 and figures["served"] == 20 and figures["tries"] == 2.0
    # Latency counts from the first try, not from the retry.
    assert 1180 <= summary["latency_ms"]["p50"] < 3000


def test_a_run_killed_halfway_keeps_its_records_and_is_marked(tmp_path):
    (tmp_path / "t.json").write_bytes(orjson.dumps({**TREE, "length_s": 20.0}))
    code = (
        "import orjson, sys; from pathlib import Path; from shedgrade.lab import runner, scenario\n"
        "here = Path(sys.argv[1]); tree = orjson.loads((here / 't.json').read_bytes())\n"
        "runner.run(scenario.convert(tree, 't'), here / 'run')"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)], cwd=ROOT, stderr=subprocess.DEVNULL
    )
    folder = tmp_path / "run"
    until = time.monotonic() + 30
    while time.monotonic() < until and not any(one["k"] == "rpc" for one in results.records(folder)):
        time.sleep(0.2)
    process.kill()
    process.wait()
    time.sleep(1.0)  # workers exit at the end of their input, sidecars when their runner dies
    summary = results.summarize(folder)
    assert summary["state"] == "cut off" and "cut off" in summary["no_result"][0]
    assert summary["figures"]["asked"] > 0 and report.write(folder).exists()
    for one in results.lines(folder / "events.jsonl"):
        if one["k"] == "sidecar" and one["what"] == "start":
            assert processes.stat_of(one["pid"]) is None


def test_a_shortage_of_descriptors_is_reported_before_the_run(tmp_path, monkeypatch):
    monkeypatch.setattr(processes, "raise_limit", lambda: 300)
    with pytest.raises(LabError, match="descriptors.*ulimit"):
        run(tmp_path, tree(sidecars={"count": 4}))
    assert results.state_of(tmp_path / "run") == ("failed", results.state_of(tmp_path / "run")[1])


def test_two_variants_are_interleaved_and_compared_in_pairs(tmp_path):
    one, other = tree(length_s=1.5), tree(length_s=1.5, sidecars={"count": 2, "policy": "least"})
    found = experiments.run_rounds([("A", one), ("B", other)], 2, tmp_path, lanes=2)
    rows = experiments.comparison_table(found)
    assert "Runs counted: A 2, B 2." in rows[-1] and rows[2].startswith("| service | 1 | 1 |")


def test_serving_imports_nothing_of_the_lab():
    code = (
        "import shedgrade.cli, sys; print([name for name in sys.modules if name.startswith("
        "('shedgrade.lab', 'shedgrade.cli.', 'msgspec', 'hdrh', 'matplotlib', 'numpy'))])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout
        == "[]\n"
    )
