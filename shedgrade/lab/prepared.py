"""Saved lists for sidecars to start from, of a given age and with a given share of upstreams gone."""

import json
from pathlib import Path
from random import Random

from shedgrade.lab.faults import Machine
from shedgrade.lab.scenario import SavedStart, Scenario
from shedgrade.lab.upstreams import address
from shedgrade.sidecar.endpoint_snapshot.files import Files
from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment
from shedgrade.sidecar.endpoint_snapshot.store import Store
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock

HIGHEST_GONE_SLOT = 240  # highest slot whose address refuses connections or belongs to a silent stand-in


def entry(scenario: Scenario, name: str, group: int, slot: int, port: int, zone: int) -> dict:
    """One upstream as discovery lists it, with its address for calls from this zone."""
    host, port = address(zone, slot, port)
    settings = scenario.fleet.groups[group]
    return {
        "instanceId": name,
        "hostPort": f"{host}:{port}",
        "zone": settings.zone,
        "machineType": settings.kind,
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def saved_rows(scenario: Scenario, first: list[Machine]) -> tuple[list[tuple[str, int, int]], list[dict]]:
    """The upstreams of the saved list as (id, group, slot), and the silent stand-ins that the list needs.

    The scenario's share of upstreams is gone; the seed decides which. Each is replaced by a row whose address
    refuses connections, does not answer, or belongs to another upstream.
    """
    saved = scenario.sidecars.saved
    rng = Random(f"{scenario.seed}/saved")
    gone = set(rng.sample(range(len(first)), round(saved.stale * len(first))))
    rows, silent = [], []
    for number, machine in enumerate(first):
        if number not in gone:
            rows.append((machine.name, machine.group, machine.slot))
            continue
        name, slot = f"gone-{number}", HIGHEST_GONE_SLOT - number
        problem = number % 3
        if problem == 1:
            silent.append({"name": name, "group": machine.group, "slot": slot})
        elif problem == 2:
            slot = machine.slot  # the current upstream at this address is not in the saved list
        rows.append((name, machine.group, slot))
    return rows, silent


def features_file(
    scenario: Scenario, saved: SavedStart | None, folder: Path, listens: tuple[str, str]
) -> str:
    """The features file of one sidecar; "" if it uses no features.

    `listens` are the addresses of its SOCKS5 and CONNECT listeners.
    """
    text = ""
    if saved is not None:
        text += f'[saved]\nfolder = "{folder}"\nsync = "{saved.sync}"\nstate_s = 1.0\n'
        text += "[saved.trust]\nblind = true\n" if saved.trust == "blind" else ""
    if scenario.sidecars.tunnels:
        text += f'[tunnel]\nsocks = "{listens[0]}"\nconnect = "{listens[1]}"\nmost = 10000\n'
        text += '[[tunnel.routes]]\nnames = ["lab.internal"]\nuse = "inspected"\n'
        text += '[[tunnel.routes]]\nnames = ["raw.internal"]\nuse = "opaque"\n'
        text += f'method = "{scenario.methods[0].name}"\n'
    if scenario.sidecars.capture != "off":
        files = str(scenario.sidecars.capture == "files").lower()
        text += f'[capture]\nfolder = "{folder}-capture"\ncontinuous = {files}\n'
    if scenario.sidecars.quota is not None:
        text += toml_table("quota", scenario.sidecars.quota)
    return text


def toml_table(name: str, table: dict) -> str:
    """A TOML table with one key per line; nested tables are inline."""

    def toml_value(value: object) -> str:
        if isinstance(value, dict):
            return (
                "{"
                + ", ".join(f"{json.dumps(key)} = {toml_value(item)}" for key, item in value.items())
                + "}"
            )
        if isinstance(value, list):
            return "[" + ", ".join(toml_value(item) for item in value) + "]"
        return json.dumps(value)

    return f"[{name}]\n" + "".join(f"{key} = {toml_value(value)}\n" for key, value in table.items())


def write_saved_list(
    scenario: Scenario, number: int, named: list[tuple[str, int, int]], port: int, folder: Path
) -> None:
    """Writes the folder of one sidecar as if discovery had last confirmed its list `age_s` seconds ago."""
    saved, now = scenario.sidecars.saved, WallClock().now()
    age_ms = round(saved.age_s * 1000)
    saved_at = Moment(now.wall_ms - age_ms, now.boot_id, now.since_boot_ms - age_ms)
    zone = scenario.fleet.zones.index(scenario.zone_of(number))
    store = Store(Files(folder), f"n{number}", lambda: saved_at, "never")
    store.open()
    confirmed_at = [saved_at.wall_ms, saved_at.boot_id, saved_at.since_boot_ms]
    entries = [entry(scenario, name, group, slot, port, zone) for name, group, slot in named]
    store.write_batch(
        [{"k": "list", "rows": entries, "whole": True, "generation": 7, "at": confirmed_at}], False
    )
    store.close()
