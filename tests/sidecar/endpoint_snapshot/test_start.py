"""Sidecar processes on loopback that start from disk while discovery is down; and the command line."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from addresses import free_address, host_port
from helpers import World, ask, message, on_sockets, request, settings, until
from typer.testing import CliRunner

from shedgrade.cli import app
from shedgrade.lab import results, runner
from shedgrade.lab.scenario import Fault, load
from shedgrade.sidecar.endpoint_snapshot.config import SavedListConfig
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment
from shedgrade.sidecar.endpoint_snapshot.source import SavedList
from shedgrade.sidecar.endpoint_snapshot.store import Store
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.upstream_pool.errors import ConfigError

pytestmark = pytest.mark.usefixtures("lab_cores")
ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT / "benchmarks"))
START = ROOT / "scenarios" / "saved-start.toml"
MAX_RUNS = 3
SOURCE_CHANGED = "endpoint list source changed"
SHORT_SCENARIO = [
    "length_s=5",
    "fleet.discovery.silent_until_s=3.5",
    "load.shapes.0.rate=60",
    "judging.grace_ms=400",
    "load.late_ms=500",
    "load.late_share=0.05",
    "methods.0.soft_ms=2000",
    "methods.0.hard_ms=3000",
    "callers.wait_ms=3000",
]


def run(tmp_path, *sets):
    """Runs the scenario and returns its summary and the sidecar's log.

    A run is repeated, MAX_RUNS in all, only if the sole reason for its having no result is that the load
    generator waited for a core on a busy machine.
    """
    for _ in range(MAX_RUNS):
        summary = runner.run(load(START, [*SHORT_SCENARIO, *sets]), tmp_path / "run")
        core_waits = [reason for reason in summary["no_result"] if "for a core" in reason]
        if not core_waits or core_waits != summary["no_result"]:
            break
        shutil.rmtree(tmp_path / "run")
    assert not summary["no_result"] and not summary["breaches"], summary["breaches"][:3]
    return summary, (tmp_path / "run" / "n0.log").read_text()


def test_a_sidecar_serves_from_disk_while_discovery_is_down_then_uses_the_live_list(tmp_path):
    summary, log = run(tmp_path, "sidecars.saved.stale=0.5")
    assert summary["figures"]["service"] > 0.97
    assert f"{SOURCE_CHANGED} previous=nothing source=saved" in log
    assert f"{SOURCE_CHANGED} previous=saved source=discovery" in log
    assert "cautious=12" in log
    # Saved endpoints that are not in the live list are removed, and their removal is remembered.
    shown = CliRunner().invoke(app, ["saved", "show", str(tmp_path / "run/saved-0")]).output
    assert "12 rows, 6 removals remembered" in shown and "gone-" not in shown and "as told" in shown


def test_without_a_saved_list_nothing_is_served_until_discovery_is_back(tmp_path):
    summary, log = run(tmp_path, "sidecars.saved.trust=off")
    assert summary["figures"]["service"] < 0.5 and "saved" not in log


def test_a_list_that_is_hours_old_serves_as_a_last_resort_and_is_logged(tmp_path):
    summary, log = run(
        tmp_path,
        "sidecars.saved.age_s=7200",
        "sidecars.saved.stale=0.5",
        "sidecars.saved.cold=true",
        "callers.backoff=exponential",
    )
    assert "WARNING saved endpoint list used" in log and "last_resort=12" in log
    assert summary["figures"]["service"] > 0.9 and summary["figures"]["fell"] == 0


def test_with_only_stale_endpoints_no_request_waits_past_its_timeout(tmp_path):
    summary, _ = run(
        tmp_path,
        "sidecars.saved.stale=1.0",
        "length_s=3",
        "fleet.discovery.silent_until_s=2.9",
        "callers.retries=0",
    )
    assert summary["figures"]["unfinished"] == 0 and summary["latency_ms"]["max"] < 3400


def test_a_sidecar_killed_repeatedly_while_the_list_changes_always_starts(tmp_path):
    fault_schedule = [{"kind": "churn", "at_s": 0.5, "period_s": 0.3, "drain_ms": 400}]
    fault_schedule += [
        {"kind": "sidecar_kill", "at_s": 1.5 + number * 2.0, "for_s": 0.1, "sidecar": 0}
        for number in range(3)
    ]
    scenario = load(
        START,
        [
            *SHORT_SCENARIO,
            "length_s=8",
            "fleet.discovery.silent_until_s=0",
            "sidecars.await_list=true",
            "callers.retries=3",
            "callers.backoff=exponential",
        ],
    )
    scenario.faults = [Fault(**one) for one in fault_schedule]
    summary = runner.run(scenario, tmp_path / "run")
    assert not summary["breaches"], summary["breaches"][:3]
    starts = [
        one
        for one in results.lines(tmp_path / "run/events.jsonl")
        if one["k"] == "sidecar" and one["what"] == "start" and one["sidecar"] == 0
    ]
    log = (tmp_path / "run/n0.log").read_text()
    assert len(starts) == 4 and log.count("after=serving") == 4
    assert "ERROR" not in log and log.count(f"{SOURCE_CHANGED} previous=nothing source=saved") == 4


def test_a_writer_killed_at_any_moment_leaves_a_snapshot_that_was_written(tmp_path):
    from saved import kills

    assert kills(60, tmp_path / "n1")["furthest generation"] > 3


def test_a_folder_that_cannot_be_written_is_logged_and_the_sidecar_serves(tmp_path):
    """The folder would be below a regular file, so it cannot be created and no snapshot can be written."""
    config = {
        "name": "n1",
        "listen": host_port(free_address()),
        "discovery": host_port(free_address()),
        "settings": {
            **settings(),
            "shapes": ["k"],
            "limits": {**settings()["limits"], "dial_timeout": 250.0, "idle_close": 15000.0},
        },
    }
    (tmp_path / "c.json").write_text(json.dumps(config))
    (tmp_path / "file").write_text("")
    (tmp_path / "f.toml").write_text(f'[saved]\nfolder = "{tmp_path}/file/n1"\n')
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "shedgrade",
            "serve",
            "--config",
            str(tmp_path / "c.json"),
            "--features",
            str(tmp_path / "f.toml"),
            "--log-format",
            "json",
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    awaited, watchdog = (
        {"saved endpoint list cannot be written", "after=serving"},
        threading.Timer(20, process.kill),
    )
    watchdog.start()
    try:
        for line in process.stderr:
            record = json.loads(line)
            text = f"{record['text']} after={record.get('after')}"
            awaited -= {words for words in awaited if words in text}
            if not awaited:
                break
        process.send_signal(signal.SIGTERM)
        process.communicate()
    finally:
        watchdog.cancel()
    assert process.returncode == 0 and not awaited


@pytest.mark.parametrize(
    "text, key",
    [
        ("saved = 3", "saved"),
        ("[saved]\nfolder = 3", "saved.folder"),
        ('[saved]\nfolder = ""', "saved.folder"),
        ('[saved]\nfolder = "x"\nfolders = 1', "folders"),
        ('[saved]\nfolder = "x"\nsync = "maybe"', "saved.sync"),
        ('[saved]\nfolder = "x"\n[saved.trust]\ncautious_s = 1', "saved.trust.cautious_s"),
        ('[saved]\nfolder = "x"\n[saved.trust]\nends = 0', "saved.trust.ends"),
        ("[savd]", "savd"),
        ("= 1", "TOML"),
    ],
)
def test_an_invalid_features_file_is_refused_in_one_line(tmp_path, text, key):
    (tmp_path / "f.toml").write_text(text)
    with pytest.raises(ConfigError) as error:
        load_features(tmp_path / "f.toml")
    assert "f.toml" in str(error.value) and key in str(error.value) and "\n" not in str(error.value)


def test_the_example_is_valid_and_without_features_nothing_is_imported():
    assert load_features(ROOT / "deploy/features.example.toml").saved.trust.ends == 3
    code = (
        "import shedgrade.cli, sys; print([name for name in sys.modules if name.startswith("
        "('shedgrade.sidecar.endpoint_snapshot', 'shedgrade.sidecar.lifecycle.features', 'msgspec'))])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout
        == "[]\n"
    )


def test_show_check_and_compact(tmp_path):
    from saved import startup

    startup(20, tmp_path / "n1")
    ask = CliRunner().invoke
    assert "20 rows" in ask(app, ["saved", "show", str(tmp_path / "n1")]).output
    assert ask(app, ["saved", "check", str(tmp_path / "n1")]).exit_code == 0
    assert ask(app, ["saved", "compact", str(tmp_path / "n1")]).exit_code == 0
    newest = max((tmp_path / "n1").glob("snapshot-*"), key=os.path.getmtime)
    newest.write_bytes(newest.read_bytes()[:-5])
    checked = ask(app, ["saved", "check", str(tmp_path / "n1")])
    assert checked.exit_code == 1 and newest.name in checked.output
    assert ask(app, ["saved", "show", str(tmp_path / "nowhere")]).exit_code == 2


# --- replacing the saved list by the live one, in this process


class SavedWorld(World):
    """A sidecar that starts from a saved list of its upstreams, confirmed two minutes ago at generation 7."""

    def __init__(self, folder, *scripts, answer, **more):
        super().__init__(*scripts, known=False, **more)
        self.folder, self.answer = folder, answer

    async def discover(self, head, body):
        self.watches += 1
        if "after=" in head[0]:
            return message(200, await self.changes.get())
        return await self.answer(self)

    def prepare(self):
        now = WallClock().now()
        then = Moment(now.wall_ms - 120_000, now.boot_id, now.since_boot_ms - 120_000)
        store = Store(Files(self.folder), "n", lambda: then, "never")
        store.open()
        store.write_batch(
            [
                {
                    "k": "list",
                    "rows": [self.entry(number) for number in range(len(self.upstreams))],
                    "whole": True,
                    "generation": 7,
                    "at": [then.wall_ms, then.boot_id, then.since_boot_ms],
                }
            ],
            False,
        )
        store.close()
        self.sidecar.pool.saved = SavedList(SavedListConfig(folder=str(self.folder)), "n", self.conf)


def serve(head, body):
    return message(200, body)


@pytest.mark.parametrize("answer_kind", ["older", "empty", "flaps"])
def test_the_first_answer_of_discovery_replaces_the_saved_list_at_once(tmp_path, answer_kind):
    async def answer(world):
        if answer_kind == "flaps" and world.watches < 3:
            return b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        await world.gate.wait()
        rows = [] if answer_kind == "empty" else [world.entry(1)]
        return message(200, json.dumps({"generation": 1, "reset": True, "instances": rows}).encode())

    @on_sockets
    async def scene():
        world = SavedWorld(tmp_path / "n", serve, serve, answer=answer)
        world.gate = asyncio.Event()
        async with world:
            pool = world.sidecar.pool
            for number in range(2):  # the saved endpoints serve meanwhile, one RPC at a time each
                assert (await ask(world, request(name=f"a{number}")))[0] == 200
            assert pool.source == "saved" and all(
                up.probation_successes for up in pool.balancer.upstreams.values()
            )
            world.gate.set()
            await until(
                lambda: pool.source == "discovery" and pool.balancer.ready_count == (answer_kind != "empty")
            )
            before = len(world.upstreams[0].seen)
            for number in range(4):
                assert (await ask(world, request(name=f"b{number}")))[0] == (
                    503 if answer_kind == "empty" else 200
                )
            assert len(world.upstreams[0].seen) == before
            assert "s-0" not in pool.reader.indices.by_id and not any(
                up.probation_successes for up in pool.balancer.upstreams.values()
            )

    scene()
