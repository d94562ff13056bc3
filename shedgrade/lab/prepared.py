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

NOWHERE = 240  # highest slot whose address refuses connections or belongs to a silent stand-in


def entry(scenario: Scenario, name: str, group: int, slot: int, port: int, zone: int) -> dict:
    """One upstream as discovery lists it, with its address for calls from this zone."""
    host, port = address(zone, slot, port)
    model = scenario.fleet.groups[group]
    return {
        "instanceId": name,
        "hostPort": f"{host}:{port}",
        "zone": model.zone,
        "machineType": model.kind,
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def rows(scenario: Scenario, first: list[Machine]) -> tuple[list[tuple[str, int, int]], list[dict]]:
    """The upstreams of the saved list as (id, group, slot), and the silent stand-ins that the list needs.

    The scenario's share of upstreams is gone; the seed decides which. Each is replaced by a row whose address
    refuses connections, does not answer, or belongs to another upstream.
    """
    saved = scenario.sidecars.saved
    chance = Random(f"{scenario.seed}/saved")
    gone = set(chance.sample(range(len(first)), round(saved.stale * len(first))))
    found, silent = [], []
    for number, one in enumerate(first):
        if number not in gone:
            found.append((one.name, one.group, one.slot))
            continue
        name, slot = f"gone-{number}", NOWHERE - number
        kind = number % 3
        if kind == 1:
            silent.append({"name": name, "group": one.group, "slot": slot})
        elif kind == 2:
            slot = one.slot  # the current upstream at this address is not in the saved list
        found.append((name, one.group, slot))
    return found, silent


def config(scenario: Scenario, saved: SavedStart | None, folder: Path, listens: tuple[str, str]) -> str:
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
        text += inline("quota", scenario.sidecars.quota)
    return text


def inline(name: str, table: dict) -> str:
    """A TOML table with one key per line; nested tables are inline."""

    def spell(value: object) -> str:
        if isinstance(value, dict):
            return "{" + ", ".join(f"{json.dumps(key)} = {spell(one)}" for key, one in value.items()) + "}"
        if isinstance(value, list):
            return "[" + ", ".join(spell(one) for one in value) + "]"
        return json.dumps(value)

    return f"[{name}]\n" + "".join(f"{key} = {spell(value)}\n" for key, value in table.items())


def write(
    scenario: Scenario, number: int, named: list[tuple[str, int, int]], port: int, folder: Path
) -> None:
    """Writes the folder of one sidecar as if discovery had last confirmed its list `age_s` seconds ago."""
    saved, now = scenario.sidecars.saved, WallClock().now()
    back = round(saved.age_s * 1000)
    then = Moment(now.wall_ms - back, now.boot_id, now.since_boot_ms - back)
    zone = scenario.fleet.zones.index(scenario.zone_of(number))
    store = Store(Files(folder), f"n{number}", lambda: then, "never")
    store.open()
    at = [then.wall_ms, then.boot_id, then.since_boot_ms]
    told = [entry(scenario, name, group, slot, port, zone) for name, group, slot in named]
    store.write_batch([{"k": "list", "rows": told, "whole": True, "generation": 7, "at": at}], False)
    store.close()
