"""What docs/operate/member-lost.md and disk-lost.md say, tried with three real core processes on loopback.

Nothing sleeps here: the command line itself seeks an answer until its deadline.
"""

import io
import json
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
import yaml
from addresses import NETWORK
from control_stand_in import configuration

from shedgrade.ctl.__main__ import main
from shedgrade.ctl.client import ControlClient

ROOT = Path(__file__).resolve().parents[2]
NAMES = ("core-1", "core-2", "core-3")
DEADLINE = 30.0


class System:
    """Three core processes. On a network of the test process."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.processes = folder, {}
        self.ips = {name: f"{NETWORK}.{number + 1}" for number, name in enumerate(NAMES)}
        self.addresses = [f"{ip}:8262" for ip in self.ips.values()]

    def settings(self, name: str, initial: bool) -> str:
        ip, zones = self.ips[name], {f"hall-{name}": "north" for name in NAMES}
        told = {
            "nodeName": name,
            "machineClass": "core",
            "servedRoles": ["control", "registry"],
            "ipAddress": ip,
            "zone": f"hall-{name}",
            "region": "north",
            "zones": zones,
            "listenAddresses": {"control": f"{ip}:8262", "directory": f"{ip}:8263"},
            "internalPortRange": [7300, 7315],
            "seedNodes": self.addresses,
            "initialStart": initial,
            "lossCounted": True,
            "limits": {
                "cpuShare": 1.0,
                "cores": 1,
                "memoryMb": 300,
                "fileDescriptors": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128,
            },
            "dataDir": str(self.folder / name),
            "heartbeatMs": 1200,
            "activeContracts": ["base"],
            "toleratedLosses": {"machines": 1, "zones": 1, "regions": 1},
            "timingBounds": {},
            "cloudApi": {"address": f"{ip}:1", "ratePerS": 40.0, "dutyList": [], "maxLagMs": 800},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(told))
        return str(path)

    def start(self, *names: str, initial: bool = False) -> None:
        for name in names:
            (self.folder / name).mkdir(exist_ok=True)
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "shedgrade.controlplane", "--settings", self.settings(name, initial)],
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
            )

    def kill(self, *names: str) -> None:
        for name in names:
            process = self.processes.pop(name)
            process.send_signal(signal.SIGKILL)
            process.wait()

    def run(self, *arguments: str, addresses=None, deadline=DEADLINE) -> tuple[int, str]:
        out = io.StringIO()
        used = ControlClient(addresses or self.addresses, deadline, random=Random())
        return main(list(arguments), out, lambda: used), out.getvalue()

    def status(self, *addresses: str) -> dict:
        code, text = self.run("status", "--json", addresses=addresses)
        assert code == 0
        return json.loads(text)

    def until(self, holds) -> dict:
        """Puts the same evacuation in place again, which needs a majority each time, until `holds` of what
        the status says."""
        for _ in range(400):
            assert self.run("evacuate", "hall-core-1")[0] == 0
            found = self.status()
            if holds(found):
                return found
        raise AssertionError(found)

    def primary(self) -> str:
        return primary(self.until(lambda found: primary(found) in self.processes))


def primary(found: dict) -> str | None:
    return next((one["name"] for one in found["members"] if one["role"] == "primary"), None)


def roles(found: dict) -> dict[str, str]:
    return {one["name"]: one["role"] for one in found["members"]}


@pytest.fixture
def system(tmp_path):
    made = System(tmp_path)
    made.start(*NAMES, initial=True)
    raw = tmp_path / "first.json"
    raw.write_text(json.dumps(configuration(3)))
    try:
        assert made.run("config", "put", str(raw))[0] == 0
        made.until(lambda found: sorted(roles(found).values()) == ["backup", "primary", "witness"])
        yield made
    finally:
        made.kill(*made.processes)


def test_a_lost_primary_is_replaced_and_comes_back_also_with_an_empty_disk(system):
    lost = system.primary()
    before = system.status()["epoch"]
    system.kill(lost)
    assert system.run("evacuate", "hall-core-2")[0] == 0
    live = [f"{system.ips[name]}:8262" for name in NAMES if name != lost]
    after = system.status(*live)["epoch"]
    assert after > before
    shutil.rmtree(system.folder / lost)
    assert system.run("storage", "check", str(system.folder / lost))[0] == 2
    system.start(lost)
    # Named again, under a new life, by a further epoch.
    found = system.until(lambda found: lost in roles(found) and found["epoch"] > after)
    assert found["evacuations"] == ["hall-core-1", "hall-core-2"] and found["configVersion"] == 3
    assert json.loads(system.run("config", "get")[1]) == configuration(3)


def test_all_killed_come_back_with_what_was_acknowledged(system):
    system.kill(*NAMES)
    for name in NAMES:
        assert system.run("storage", "check", str(system.folder / name))[0] == 0
    system.start(*NAMES)
    assert json.loads(system.run("config", "get")[1]) == configuration(3)


def test_without_a_majority_no_order_is_taken_and_one_more_is_enough(system):
    system.kill("core-1", "core-2")
    assert system.run("return", "hall-core-1", deadline=2.0)[0] == 3
    alone = system.status(f"{system.ips['core-3']}:8262")
    assert alone["node"] == "core-3" and alone["configVersion"] == 3
    system.start("core-1")
    assert system.run("return", "hall-core-1")[0] == 0
