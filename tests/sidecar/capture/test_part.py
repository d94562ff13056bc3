"""Capture in a sidecar on loopback: dumps on a signal and after errors, continuous files, a failing disk, and
the command `replay`.
"""

import asyncio
import os
import re
import runpy
import shutil
import signal
from pathlib import Path

import pytest
from helpers import World, ask, message, on_sockets, request, until
from typer.testing import CliRunner

from shedgrade import file_frames
from shedgrade.cli import app
from shedgrade.sidecar.capture import files
from shedgrade.sidecar.capture.config import CaptureConfig
from shedgrade.sidecar.capture.files import CaptureError, Writer, load
from shedgrade.sidecar.capture.part import CapturePart
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import KIND
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.lifecycle.sidecar import Sidecar
from shedgrade.upstream_pool.errors import ConfigError


async def echo(head, body):
    return message(200, body)


class CaptureWorld(World):
    """Creates the sidecar with the recorder as its balancer, as `serve` does."""

    def prepare(self):
        self.part = CapturePart(self.capture)
        before = self.sidecar
        self.sidecar = Sidecar(before.config, before.loop, self.part.decisions)
        self.part.join(self.sidecar)


def captures(folder):
    return sorted(folder.glob("capture-*.sgc"))


@pytest.mark.parametrize("continuous", [False, True])
def test_requests_on_sockets_are_replayed_and_explained(tmp_path, continuous):
    folder = tmp_path / "deep" / "n1"

    @on_sockets
    async def scenario():
        world = CaptureWorld(echo, echo, echo)
        world.capture = CaptureConfig(folder=str(folder), checkpoint_s=1.0, continuous=continuous)
        async with world:
            for number in range(60):
                status, _, _ = await ask(world, request(b"x", "/m/1", 9000, f"secret-{number}"))
                assert status == 200
            await world.tell(world.entry(0, "terminating"))
            await asyncio.sleep(1.2)
            for number in range(20):
                await ask(world, request(b"x", "/m/1", 9000, f"later-{number}"))
            if not continuous:
                os.kill(os.getpid(), signal.SIGUSR1)
                await until(lambda: captures(folder))
        assert folder.stat().st_mode & 0o777 == 0o700

    scenario()
    (path,) = captures(folder)
    assert path.stat().st_mode & 0o777 == 0o600 and b"secret" not in path.read_bytes()
    records, why = load(path)
    assert not why and any(one["k"] == "state" for one in records)
    for _ in range(3):
        one = Replay(records)
        assert list(one.run()) == [] and one.calls > 200
    # The replay also works from the checkpoint alone.
    middle = next(place for place, one in enumerate(records) if one["k"] == "state")
    assert list(Replay(records[middle:]).run()) == []
    run = CliRunner().invoke(
        app, ["replay", str(path), "--times", "3", "--to-test", str(tmp_path / "test_it.py")]
    )
    assert run.exit_code == 0 and "the same decisions, 3 times" in run.output
    runpy.run_path(str(tmp_path / "test_it.py"))["test_the_same_decisions_are_made"]()
    explanation = CliRunner().invoke(app, ["replay", str(path), "--explain", "later-7"]).output
    assert "sent to" in explanation and "completed after" in explanation and "which answers it" in explanation
    missing = CliRunner().invoke(app, ["replay", str(path), "--explain", "nobody"])
    assert missing.exit_code == 2


def test_an_internal_error_dumps_the_capture_once(tmp_path):
    @on_sockets
    async def scenario():
        world = CaptureWorld(echo)
        world.capture = CaptureConfig(folder=str(tmp_path))
        async with world:
            await ask(world, request(b"x", "/m/1", 9000, "a"))
            # Calls the log sink directly, as an error in the log itself would fail these tests.
            world.part.on_logged_error("fault in the loop: planted\n")
            world.part.on_logged_error("fault in the loop: another at once\n")
            await until(lambda: captures(tmp_path))

    scenario()
    (path,) = captures(tmp_path)
    assert [one["what"] for one in load(path)[0] if one["k"] == "fault"] == ["fault in the loop: planted"]


def test_another_version_is_compared_and_invalid_files_are_refused_in_one_line(tmp_path):
    from shedgrade import load_balancing

    shutil.copytree(Path(load_balancing.__file__).parent, tmp_path / "decide")
    zones = tmp_path / "decide/zones.py"
    source, replaced = re.subn(
        r"^LOAD_MARGIN = .*$", "LOAD_MARGIN = -9.0", zones.read_text(), flags=re.MULTILINE
    )
    assert replaced == 1
    zones.write_text(source)
    from capture_world import capture

    path = tmp_path / "c.sgc"
    path.write_bytes(capture())
    comparison = CliRunner().invoke(app, ["replay", str(path), "--with", str(tmp_path / "decide")]).output
    assert "answers differ" in comparison and ", 0 answers" not in comparison
    for content in (
        b"",
        b"no capture at all, but long enough for one",
        file_frames.encode_header(KIND, 1),
        file_frames.encode_header(b"L", 1),
    ):
        path.write_bytes(content)
        with pytest.raises(CaptureError):
            load(path)
        run = CliRunner().invoke(app, ["replay", str(path)])
        assert run.exit_code == 2 and "Traceback" not in run.output


def test_continuous_files_are_bounded_and_a_failing_disk_is_reported_once_and_retried(tmp_path, monkeypatch):
    monkeypatch.setattr(files, "FILE_BYTES", 2000)
    write_errors = []
    writer = Writer(tmp_path / "n1", 6000, write_errors.append)
    data = file_frames.encode_record({"k": "state", "pad": "x" * 300})
    for number in range(60):
        assert writer.put(data, number % 5 == 0)
        if number % 5 == 4:
            writer.lock.acquire()
            writer.lock.release()
            while writer.pending:
                pass
    writer.close()
    kept = captures(tmp_path / "n1")
    assert 1 <= len(kept) <= 4 and sum(path.stat().st_size for path in kept) < 10_000
    for path in kept:
        file_frames.decode_file(path.read_bytes(), KIND)
    blocked = tmp_path / "file"
    blocked.write_text("")
    writer = Writer(blocked / "n2", 6000, write_errors.append)
    writer.put(data, True)
    while not write_errors:
        pass
    writer.put(data, True)
    writer.close()
    assert len(write_errors) == 1 and "Not a directory" in write_errors[0]
    assert not writer.put(data, False)


def test_invalid_settings_are_refused(tmp_path):
    for text, key in (
        ("folder = ''", "capture.folder"),
        ("folder = 'x'\nids = 'all'", "capture.ids"),
        ("folder = 'x'\nmemory_mb = 0", "capture.memory_mb"),
    ):
        (tmp_path / "f.toml").write_text(f"[capture]\n{text}\n")
        with pytest.raises(ConfigError) as error:
            load_features(tmp_path / "f.toml")
        assert key in str(error.value)
