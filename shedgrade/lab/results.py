"""Reads and writes the results folder of a run: JSON Lines, histograms, and the figures computed from them.

    scenario.json  state.json  events.jsonl  samples.jsonl  fleet-N.jsonl  clients-N.jsonl
    clients-N.hist.json  summary.json  n0.log ...

A folder whose run was killed is read up to its last whole record, and its state is "cut off".
"""

import os
import time
from pathlib import Path

import msgspec
import orjson
from hdrh.histogram import HdrHistogram

from shedgrade.lab.generator import histogram
from shedgrade.lab.judge import judge
from shedgrade.lab.scenario import Scenario

ROOT = Path(__file__).resolve().parents[2]
OVER = (0.5, 1.0, 1.5)  # s; the figures give the share of RPCs that took longer than each
WAITED = 0.05  # greatest share of the run for which a generator may wait for a core


def new_folder(base: Path, name: str) -> Path:
    return base / f"{time.strftime('%Y%m%dT%H%M%S')}-{name}-{os.getpid()}"


def put_state(folder: Path, state: str, why: str = "") -> None:
    (folder / "state.json").write_bytes(orjson.dumps({"state": state, "why": why, "pid": os.getpid()}))


def state_of(folder: Path) -> tuple[str, str]:
    """Returns the state of the run (running, done, failed or cut off) and its reason."""
    try:
        told = orjson.loads((folder / "state.json").read_bytes())
    except (OSError, orjson.JSONDecodeError):
        return "cut off", "no state was written"
    if told["state"] == "running":
        try:
            os.kill(told["pid"], 0)
        except OSError:
            return "cut off", "its process was killed"
    return told["state"], told["why"]


def lines(path: Path):
    """Yields whole records; a truncated last record is left out."""
    with path.open("rb") as file:
        for line in file:
            try:
                yield orjson.loads(line)
            except orjson.JSONDecodeError:
                return


def records(folder: Path):
    """Yields all records of a run."""
    for path in sorted(
        (*folder.glob("fleet-*.jsonl"), *folder.glob("clients-*.jsonl"), *folder.glob("events.jsonl"))
    ):
        yield from lines(path)


def scenario_of(folder: Path) -> Scenario:
    return msgspec.json.decode((folder / "scenario.json").read_bytes(), type=Scenario)


def merged(folder: Path) -> tuple[dict[str, HdrHistogram], dict]:
    """Returns the histograms and other statistics of all generators together.

    Histograms are added up, as percentiles can't be averaged.
    """
    sums: dict[str, HdrHistogram] = {}
    said = {"late": 0, "troubles": [], "run_delay": 0.0, "rpcs": 0}
    for path in sorted(folder.glob("clients-*.hist.json")):
        try:
            told = orjson.loads(path.read_bytes())
        except orjson.JSONDecodeError:
            continue
        for name, text in told["histograms"].items():
            sums.setdefault(name, histogram()).decode_and_add(text)
        said["late"] += told["late"]
        said["troubles"] += told["troubles"]
        said["run_delay"] = max(said["run_delay"], told["run_delay"])
        said["rpcs"] += told["counts"]["rpcs"]
    return sums, said


def spread(one: HdrHistogram | None) -> dict:
    """Returns percentiles, maximum and mean in ms, and the count of a histogram in microseconds."""
    if one is None or not one.total_count:
        return {}
    found = {f"p{p:g}": one.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
    return {
        **found,
        "max": one.max_value / 1000 if hasattr(one, "max_value") else one.get_value_at_percentile(100) / 1000,
        "mean": round(one.get_mean_value() / 1000, 3),
        "count": one.total_count,
    }


def processes(folder: Path) -> dict:
    """Returns the resource use of all sidecar processes together.

    cpu: CPU seconds from each process's first sample to its last, summed
    span: longest time between first and last sample, s
    peak_mb: greatest peak memory of a process, MiB
    fds: greatest number of open file descriptors
    delay: time spent runnable but waiting for a core, from first sample to last, summed, s
    """
    by: dict[int, list[dict]] = {}
    path = folder / "samples.jsonl"
    for entry in lines(path) if path.exists() else ():
        by.setdefault(entry["pid"], []).append(entry)
    return {
        "cpu": sum(found[-1]["cpu"] - found[0]["cpu"] for found in by.values()),
        "span": max((found[-1]["at"] - found[0]["at"] for found in by.values()), default=0.0),
        "peak_mb": max((found[-1]["peak"] for found in by.values()), default=0) / 1024,
        "fds": max((entry["fds"] for found in by.values() for entry in found), default=0),
        "delay": sum(found[-1]["delay"] - found[0]["delay"] for found in by.values()),
    }


def invalid(scenario: Scenario, folder: Path, late: HdrHistogram | None, said: dict) -> list[str]:
    """Returns the reasons why this run is no valid result; empty if it is one."""
    why = []
    state, reason = state_of(folder)
    if state in ("cut off", "failed"):
        why.append(f"{state}: {reason}")
    count = late.total_count if late is not None else 0
    if count and said["late"] > scenario.load.late_share * count:
        why.append(
            f"the generator was late: {said['late']} of {count} RPCs went out over {scenario.load.late_ms:g} "
            f"ms after their moment, at worst {late.get_value_at_percentile(100) / 1000:.0f} ms"
        )
    if said["run_delay"] > WAITED * scenario.length_s:
        why.append(
            f"a generator waited {said['run_delay']:.1f} s for a core: it shares them with what it measures"
        )
    return why + said["troubles"]


def figures(scenario: Scenario, found: list[dict], folder: Path) -> dict:
    """Returns the figures of the run, computed from its records and process samples."""
    methods = {method.name: method for method in scenario.methods}
    rpcs = [one for one in found if one["k"] == "rpc" and one["due"] >= scenario.warmup_s]
    tries = [one for one in found if one["k"] == "try" and one["due"] >= scenario.warmup_s]
    sent = [
        one
        for one in found
        if one["k"] == "tx" and ".closed" not in one["id"] and one["begun"] >= scenario.warmup_s
    ]
    ended = {(one["rpc"]) for one in found if one["k"] == "rpc"}
    open_rpcs = {one["rpc"]: one for one in tries if one["rpc"] not in ended}
    asked = sum(methods[one["method"]].payoff for one in rpcs) + sum(
        methods[one["method"]].payoff for one in open_rpcs.values()
    )
    paid = in_time = 0.0
    for one in rpcs:
        method, took = methods[one["method"]], one["end"] - one["due"]
        if one["how"] == "served":
            soon = took <= method.soft_ms / 1000
            in_time += soon
            paid += method.payoff if soon else method.late_payoff
    count = len(rpcs) + len(open_rpcs)
    hows = {}
    for one in rpcs:
        hows[one["how"]] = hows.get(one["how"], 0) + 1
    works = [tx for tx in sent if tx["how"] != "away"]
    own = [
        scenario.fleet.zones.index(scenario.zone_of(int(tx["id"].split(".")[0][1:])))
        for tx in sent
        if tx["id"][0] == "n"
    ]
    crossed = sum(
        zone != tx["zone"] for zone, tx in zip(own, (t for t in sent if t["id"][0] == "n"), strict=True)
    )
    use = processes(folder)
    span = max(0.001, use["span"])
    served_work = sum(tx["work"] for tx in sent if tx["how"] == "done")
    return {
        "asked": count,
        "served": hows.get("served", 0),
        "in_time": int(in_time),
        "hows": hows,
        "unfinished": len(open_rpcs),
        "service": round(paid / asked, 5) if asked else 0.0,
        "tries": round(len(tries) / count, 4) if count else 0.0,
        "transmissions": round(len(sent) / max(1, len(tries)), 4),
        "crossed": round(crossed / max(1, len(sent)), 4),
        "wasted": round(1 - served_work / max(0.001, sum(tx["work"] for tx in works)), 4),
        **{
            f"over_{limit:g}s": round(
                sum(one["end"] - one["due"] > limit for one in rpcs) / max(1, len(rpcs)), 5
            )
            for limit in OVER
        },
        "cpu_us_per_rpc": round(1e6 * use["cpu"] / max(1, sum(one["k"] == "try" for one in found)), 1),
        "cpu_share": round(use["cpu"] / span / scenario.sidecars.count, 4),
        "peak_mb": round(use["peak_mb"], 1),
        "fds": use["fds"],
        "fell": sum(one["k"] == "fell" for one in found),
    }


def summarize(folder: Path) -> dict:
    """Returns figures, breaches and the reasons against a valid result; writes them to summary.json too."""
    scenario = scenario_of(folder)
    found = list(records(folder))
    sums, said = merged(folder)
    breaches = judge(scenario, found)
    bad = [one for one in found if one["k"] == "bad"]
    summary = {
        "name": scenario.name,
        "state": state_of(folder)[0],
        "no_result": invalid(scenario, folder, sums.get("lateness"), said),
        "figures": figures(scenario, found, folder),
        "latency_ms": spread(sums.get("latency")),
        "served_ms": spread(sums.get("served")),
        "lateness_ms": spread(sums.get("lateness")),
        "closed_ms": spread(sums.get("closed")),
        "breaches": [msgspec.to_builtins(one) for one in breaches],
        "bad_clients": {"count": len(bad), "neither": sum(one["how"] == "neither" for one in bad)},
    }
    (folder / "summary.json").write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    return summary
