"""Settings that change while a process runs: what holds, what waits for a start, what is refused."""

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
    """What is logged: its level, its event, its fields."""
    said = []

    def sink(level):
        return lambda event, **fields: said.append((level, event, fields))

    log.set_sink(SimpleNamespace(**{level: sink(level) for level in log.METHODS}))
    yield said
    log.set_sink(None)


class Process:
    """Settings in a file, and one that follows them."""

    def __init__(self, path):
        self.path, self.document, self.applied, self.now = path, deepcopy(DOCUMENT), [], 0.0
        self.write()
        watcher = SettingsFileWatcher(str(path))
        self.reload = SettingsReloader(watcher.settings, watcher, self.applied.append)

    def write(self, text=None):
        """Renamed into place, as a file that is written whole is."""
        new = self.path.with_suffix(".new")
        new.write_text(yaml.safe_dump(self.document) if text is None else text)
        new.rename(self.path)

    def look(self, forced=False):
        self.now += reloader.POLL_INTERVAL_S
        self.reload.poll(self.now, forced)
        return self.applied


@pytest.fixture
def process(tmp_path):
    return Process(tmp_path / "local.yaml")


def test_an_unchanged_file_says_nothing(process, lines):
    assert process.look() == process.look(forced=True) == lines == []


def test_bounds_the_platforms_address_and_zones_hold_without_a_signal(process, lines):
    process.document["timingBounds"]["drainMs"] = 700
    process.document["cloudApi"].update(address="10.200.0.9:8266", ratePerS=12.5)
    process.document["zones"]["south-b"] = "south"
    process.write()
    [settings] = process.look()
    assert settings.bounds["drain_ms"] == 700 and settings.zones["south-b"] == "south"
    assert settings.cloud_api.address == ("10.200.0.9", 8266) and settings.cloud_api.rate_per_s == 12.5
    fields = {"in_force": "zones, timingBounds, cloudApi", "needs_restart": ""}
    assert lines == [("info", "settings reloaded", fields)]
    process.look()
    assert len(process.applied) == 1


def test_what_only_a_start_changes_is_named_as_in_the_file_and_stays(process, lines):
    process.document.update(nodeName="edge-9", seedNodes=["10.1.0.77:8262"], internalPortRange=[7400, 7415])
    process.document["timingBounds"]["drainMs"] = 700
    process.write()
    [settings] = process.look(forced=True)
    assert (settings.node_name, settings.internal_ports) == ("edge-1", (7300, 7315))
    assert settings.seeds == ("10.1.0.14:8262", "10.2.0.41:8262") and settings.bounds["drain_ms"] == 700
    fields = {"in_force": "timingBounds", "needs_restart": "nodeName, internalPortRange, seedNodes"}
    assert lines == [("warning", "settings reloaded", fields)]


def test_without_a_signal_what_waits_for_a_start_is_no_warning(process, lines):
    process.document["initialStart"] = False
    process.write()
    assert process.look() == []
    fields = {"in_force": "", "needs_restart": "initialStart"}
    assert lines == [("info", "settings reloaded", fields)]


def test_a_bad_file_is_told_once_a_line_a_finding_and_the_old_stays(process, lines):
    process.document["timingBounds"]["drainMs"] = "soon"
    process.document["zones"] = 5
    process.write()
    assert process.look() == process.look() == []
    assert len(lines) == 2
    assert all(line[:2] == ("warning", "settings reload rejected") for line in lines)
    assert lines[1][2] == {"place": "timingBounds.drainMs", "finding": "'soon' is not a number"}
    assert process.reload.settings.bounds["drain_ms"] == 4500
    process.write("{ half a fi")
    process.look()
    assert len(lines) == 3
    process.document = deepcopy(DOCUMENT)
    process.document["timingBounds"]["drainMs"] = 900
    process.write()
    assert process.look()[0].bounds["drain_ms"] == 900


def test_the_file_is_looked_at_once_a_second_or_as_told(process, lines):
    process.look()
    process.document["timingBounds"]["drainMs"] = 700
    process.write()
    process.reload.poll(process.now + 0.1)
    assert not process.applied
    process.reload.poll(process.now + 0.2, forced=True)
    assert len(process.applied) == 1


def test_without_a_file_there_is_nothing_to_look_at(process, lines):
    idle = SettingsReloader(process.reload.settings, None, process.applied.append)
    idle.poll(9.0, forced=True)
    assert process.applied == lines == []


def test_a_program_names_the_addresses_and_the_disk_that_it_lacks(process):
    settings = load(str(process.path))
    require(settings, ("front", "readiness"))
    with pytest.raises(SettingsError) as caught:
        require(settings, ("front", "control", "directory"), disk=True)
    assert [str(finding) for finding in caught.value.findings] == [
        "listenAddresses.control: is missing",
        "listenAddresses.directory: is missing",
        "dataDir: is missing",
    ]


def test_doctests():
    assert doctest.testmod(reloader).failed == 0
