"""What docs/operate/member-lost.md and disk-lost.md describe, with three real core processes on loopback.

The tests don't sleep: the command line itself retries until its deadline.
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
DEADLINE_S = 30.0


class System:
    """Three core processes on loopback addresses that belong to this test process alone."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.processes = folder, {}
        self.ips = {name: f"{NETWORK}.{number + 1}" for number, name in enumerate(NAMES)}
        self.addresses = [f"{ip}:8262" for ip in self.ips.values()]

    def write_settings(self, name: str, initial: bool) -> str:
        ip, zones = self.ips[name], {f"hall-{name}": "north" for name in NAMES}
        settings = {
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
        path.write_text(yaml.safe_dump(settings))
        return str(path)

    def start(self, *names: str, initial: bool = False) -> None:
        for name in names:
            (self.folder / name).mkdir(exist_ok=True)
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "shedgrade.controlplane",
                    "--settings",
                    self.write_settings(name, initial),
                ],
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
            )

    def kill(self, *names: str) -> None:
        for name in names:
            process = self.processes.pop(name)
            process.send_signal(signal.SIGKILL)
            process.wait()

    def run(self, *arguments: str, addresses=None, deadline_s=DEADLINE_S) -> tuple[int, str]:
        out = io.StringIO()
        client = ControlClient(addresses or self.addresses, deadline_s, random=Random())
        return main(list(arguments), out, lambda: client), out.getvalue()

    def status(self, *addresses: str) -> dict:
        code, text = self.run("status", "--json", addresses=addresses)
        assert code == 0
        return json.loads(text)

    def wait_until(self, condition) -> dict:
        """Repeats one evacuation, which needs a majority each time, until `condition` is true of the status;
        returns that status."""
        for _ in range(400):
            assert self.run("evacuate", "hall-core-1")[0] == 0
            status = self.status()
            if condition(status):
                return status
        raise AssertionError(status)

    def primary(self) -> str:
        return primary_of(self.wait_until(lambda status: primary_of(status) in self.processes))


def primary_of(status: dict) -> str | None:
    return next((member["name"] for member in status["members"] if member["role"] == "primary"), None)


def roles(status: dict) -> dict[str, str]:
    return {member["name"]: member["role"] for member in status["members"]}


@pytest.fixture
def system(tmp_path):
    system = System(tmp_path)
    system.start(*NAMES, initial=True)
    raw = tmp_path / "first.json"
    raw.write_text(json.dumps(configuration(3)))
    try:
        assert system.run("config", "put", str(raw))[0] == 0
        system.wait_until(lambda status: sorted(roles(status).values()) == ["backup", "primary", "witness"])
        yield system
    finally:
        system.kill(*system.processes)


def test_a_killed_primary_is_replaced_and_rejoins_with_an_empty_disk(system):
    lost = system.primary()
    epoch_before = system.status()["epoch"]
    system.kill(lost)
    assert system.run("evacuate", "hall-core-2")[0] == 0
    live_addresses = [f"{system.ips[name]}:8262" for name in NAMES if name != lost]
    epoch_after = system.status(*live_addresses)["epoch"]
    assert epoch_after > epoch_before
    shutil.rmtree(system.folder / lost)
    assert system.run("storage", "check", str(system.folder / lost))[0] == 2
    system.start(lost)
    # A further epoch names the member again, with a new incarnation.
    status = system.wait_until(lambda status: lost in roles(status) and status["epoch"] > epoch_after)
    assert status["evacuations"] == ["hall-core-1", "hall-core-2"] and status["configVersion"] == 3
    assert json.loads(system.run("config", "get")[1]) == configuration(3)


def test_members_that_are_all_killed_restart_with_the_acknowledged_configuration(system):
    system.kill(*NAMES)
    for name in NAMES:
        assert system.run("storage", "check", str(system.folder / name))[0] == 0
    system.start(*NAMES)
    assert json.loads(system.run("config", "get")[1]) == configuration(3)


def test_without_a_majority_no_command_is_accepted_until_one_more_member_starts(system):
    system.kill("core-1", "core-2")
    assert system.run("return", "hall-core-1", deadline_s=2.0)[0] == 3
    status = system.status(f"{system.ips['core-3']}:8262")
    assert status["node"] == "core-3" and status["configVersion"] == 3
    system.start("core-1")
    assert system.run("return", "hall-core-1")[0] == 0
