"""Settings that change while a process runs: which take effect, need a restart, or are rejected."""

import doctest
from copy import deepcopy
from types import SimpleNamespace

import pytest
import yaml
from test_settings_validation import DOCUMENT

from shedgrade.process_settings import (
    SettingsError,
    SettingsFileWatcher,
    SettingsReloader,
    load,
    reloader,
    require,
)
from shedgrade.runtime import log


@pytest.fixture
def lines():
    """Log lines, each as (level, event, fields)."""
    logged = []

    def sink(level):
        return lambda event, **fields: logged.append((level, event, fields))

    log.set_sink(SimpleNamespace(**{level: sink(level) for level in log.LOG_METHODS}))
    yield logged
    log.set_sink(None)


class Process:
    """A settings file, and a reloader that watches it."""

    def __init__(self, path):
        self.path, self.document, self.applied, self.now = path, deepcopy(DOCUMENT), [], 0.0
        self.write()
        watcher = SettingsFileWatcher(str(path))
        self.reloader = SettingsReloader(watcher.settings, watcher, self.applied.append)

    def write(self, text=None):
        """Renames a new file into place, so that it is never read half written."""
        new = self.path.with_suffix(".new")
        new.write_text(yaml.safe_dump(self.document) if text is None else text)
        new.rename(self.path)

    def poll(self, forced=False):
        self.now += reloader.POLL_INTERVAL_S
        self.reloader.poll(self.now, forced)
        return self.applied


@pytest.fixture
def process(tmp_path):
    return Process(tmp_path / "local.yaml")


def test_an_unchanged_file_logs_nothing(process, lines):
    assert process.poll() == process.poll(forced=True) == lines == []


def test_bounds_the_platforms_address_and_zones_take_effect_without_a_signal(process, lines):
    process.document["timingBounds"]["drainMs"] = 700
    process.document["cloudApi"].update(address="10.200.0.9:8266", ratePerS=12.5)
    process.document["zones"]["south-b"] = "south"
    process.write()
    [settings] = process.poll()
    assert settings.bounds["drain_ms"] == 700 and settings.zones["south-b"] == "south"
    assert settings.cloud_api.address == ("10.200.0.9", 8266) and settings.cloud_api.rate_per_s == 12.5
    fields = {"in_force": "zones, timingBounds, cloudApi", "needs_restart": ""}
    assert lines == [("info", "settings reloaded", fields)]
    process.poll()
    assert len(process.applied) == 1


def test_fields_that_need_a_restart_are_logged_by_their_names_in_the_file_and_stay(process, lines):
    process.document.update(nodeName="edge-9", seedNodes=["10.1.0.77:8262"], internalPortRange=[7400, 7415])
    process.document["timingBounds"]["drainMs"] = 700
    process.write()
    [settings] = process.poll(forced=True)
    assert (settings.node_name, settings.internal_port_range) == ("edge-1", (7300, 7315))
    assert settings.seeds == ("10.1.0.14:8262", "10.2.0.41:8262") and settings.bounds["drain_ms"] == 700
    fields = {"in_force": "timingBounds", "needs_restart": "nodeName, internalPortRange, seedNodes"}
    assert lines == [("warning", "settings reloaded", fields)]


def test_a_needed_restart_is_no_warning_without_a_signal(process, lines):
    process.document["initialStart"] = False
    process.write()
    assert process.poll() == []
    fields = {"in_force": "", "needs_restart": "initialStart"}
    assert lines == [("info", "settings reloaded", fields)]


def test_an_invalid_file_is_logged_once_with_a_line_a_finding_and_the_old_settings_stay(process, lines):
    process.document["timingBounds"]["drainMs"] = "soon"
    process.document["zones"] = 5
    process.write()
    assert process.poll() == process.poll() == []
    assert len(lines) == 2
    assert all(line[:2] == ("warning", "settings reload rejected") for line in lines)
    assert lines[1][2] == {"place": "timingBounds.drainMs", "finding": "'soon' is not a number"}
    assert process.reloader.settings.bounds["drain_ms"] == 4500
    process.write("{ half a fi")
    process.poll()
    assert len(lines) == 3
    process.document = deepcopy(DOCUMENT)
    process.document["timingBounds"]["drainMs"] = 900
    process.write()
    assert process.poll()[0].bounds["drain_ms"] == 900


def test_the_file_is_checked_once_a_second_or_when_forced(process, lines):
    process.poll()
    process.document["timingBounds"]["drainMs"] = 700
    process.write()
    process.reloader.poll(process.now + 0.1)
    assert not process.applied
    process.reloader.poll(process.now + 0.2, forced=True)
    assert len(process.applied) == 1


def test_without_a_file_nothing_is_polled(process, lines):
    idle = SettingsReloader(process.reloader.settings, None, process.applied.append)
    idle.poll(9.0, forced=True)
    assert process.applied == lines == []


def test_required_addresses_and_disk_that_are_missing_are_findings(process):
    settings = load(str(process.path))
    require(settings, ("front", "readiness"))
    with pytest.raises(SettingsError) as raised:
        require(settings, ("front", "control", "directory"), disk=True)
    assert [str(finding) for finding in raised.value.findings] == [
        "listenAddresses.control: is missing",
        "listenAddresses.directory: is missing",
        "dataDir: is missing",
    ]


def test_doctests():
    assert doctest.testmod(reloader).failed == 0
