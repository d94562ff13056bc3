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
LATENCY_LIMITS_S = (0.5, 1.0, 1.5)  # s; the figures give the share of RPCs that took longer than each
MAX_RUN_DELAY_SHARE = 0.05  # greatest share of the run for which a generator may wait for a core


def new_folder(base: Path, name: str) -> Path:
    return base / f"{time.strftime('%Y%m%dT%H%M%S')}-{name}-{os.getpid()}"


def put_state(folder: Path, state: str, reason: str = "") -> None:
    (folder / "state.json").write_bytes(orjson.dumps({"state": state, "why": reason, "pid": os.getpid()}))


def state_of(folder: Path) -> tuple[str, str]:
    """Returns the state of the run (running, done, failed or cut off) and its reason."""
    try:
        stored = orjson.loads((folder / "state.json").read_bytes())
    except (OSError, orjson.JSONDecodeError):
        return "cut off", "no state was written"
    if stored["state"] == "running":
        try:
            os.kill(stored["pid"], 0)
        except OSError:
            return "cut off", "its process was killed"
    return stored["state"], stored["why"]


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
    histograms: dict[str, HdrHistogram] = {}
    statistics = {"late": 0, "troubles": [], "run_delay": 0.0, "rpcs": 0}
    for path in sorted(folder.glob("clients-*.hist.json")):
        try:
            stored = orjson.loads(path.read_bytes())
        except orjson.JSONDecodeError:
            continue
        for name, text in stored["histograms"].items():
            histograms.setdefault(name, histogram()).decode_and_add(text)
        statistics["late"] += stored["late"]
        statistics["troubles"] += stored["troubles"]
        statistics["run_delay"] = max(statistics["run_delay"], stored["run_delay"])
        statistics["rpcs"] += stored["counts"]["rpcs"]
    return histograms, statistics


def spread(recorded: HdrHistogram | None) -> dict:
    """Returns percentiles, maximum and mean in ms, and the count of a histogram in microseconds."""
    if recorded is None or not recorded.total_count:
        return {}
    percentiles = {f"p{p:g}": recorded.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
    return {
        **percentiles,
        "max": recorded.max_value / 1000
        if hasattr(recorded, "max_value")
        else recorded.get_value_at_percentile(100) / 1000,
        "mean": round(recorded.get_mean_value() / 1000, 3),
        "count": recorded.total_count,
    }


def processes(folder: Path) -> dict:
    """Returns the resource use of all sidecar processes together.

    cpu: CPU seconds from each process's first sample to its last, summed
    span: longest time between first and last sample, s
    peak_mb: greatest peak memory of a process, MiB
    fds: greatest number of open file descriptors
    delay: time spent runnable but waiting for a core, from first sample to last, summed, s
    """
    samples_by_pid: dict[int, list[dict]] = {}
    path = folder / "samples.jsonl"
    for sample in lines(path) if path.exists() else ():
        samples_by_pid.setdefault(sample["pid"], []).append(sample)
    return {
        "cpu": sum(samples[-1]["cpu"] - samples[0]["cpu"] for samples in samples_by_pid.values()),
        "span": max(
            (samples[-1]["at"] - samples[0]["at"] for samples in samples_by_pid.values()), default=0.0
        ),
        "peak_mb": max((samples[-1]["peak"] for samples in samples_by_pid.values()), default=0) / 1024,
        "fds": max((sample["fds"] for samples in samples_by_pid.values() for sample in samples), default=0),
        "delay": sum(samples[-1]["delay"] - samples[0]["delay"] for samples in samples_by_pid.values()),
    }


def invalid(scenario: Scenario, folder: Path, lateness: HdrHistogram | None, statistics: dict) -> list[str]:
    """Returns the reasons why this run is no valid result; empty if it is one."""
    reasons = []
    state, reason = state_of(folder)
    if state in ("cut off", "failed"):
        reasons.append(f"{state}: {reason}")
    count = lateness.total_count if lateness is not None else 0
    if count and statistics["late"] > scenario.load.late_share * count:
        reasons.append(
            f"the generator was late: {statistics['late']} of {count} RPCs went out over "
            f"{scenario.load.late_ms:g} ms after their moment, "
            f"at worst {lateness.get_value_at_percentile(100) / 1000:.0f} ms"
        )
    if statistics["run_delay"] > MAX_RUN_DELAY_SHARE * scenario.length_s:
        reasons.append(
            f"a generator waited {statistics['run_delay']:.1f} s for a core: "
            "it shares them with what it measures"
        )
    return reasons + statistics["troubles"]


def figures(scenario: Scenario, all_records: list[dict], folder: Path) -> dict:
    """Returns the figures of the run, computed from its records and process samples."""
    methods = {method.name: method for method in scenario.methods}
    rpcs = [record for record in all_records if record["k"] == "rpc" and record["due"] >= scenario.warmup_s]
    tries = [record for record in all_records if record["k"] == "try" and record["due"] >= scenario.warmup_s]
    transmissions = [
        record
        for record in all_records
        if record["k"] == "tx" and ".closed" not in record["id"] and record["begun"] >= scenario.warmup_s
    ]
    ended = {(record["rpc"]) for record in all_records if record["k"] == "rpc"}
    open_rpcs = {record["rpc"]: record for record in tries if record["rpc"] not in ended}
    possible = sum(methods[record["method"]].payoff for record in rpcs) + sum(
        methods[record["method"]].payoff for record in open_rpcs.values()
    )
    earned = in_time = 0.0
    for record in rpcs:
        method, took = methods[record["method"]], record["end"] - record["due"]
        if record["how"] == "served":
            within_soft_deadline = took <= method.soft_ms / 1000
            in_time += within_soft_deadline
            earned += method.payoff if within_soft_deadline else method.late_payoff
    count = len(rpcs) + len(open_rpcs)
    outcomes = {}
    for record in rpcs:
        outcomes[record["how"]] = outcomes.get(record["how"], 0) + 1
    executed = [tx for tx in transmissions if tx["how"] != "away"]
    own_zones = [
        scenario.fleet.zones.index(scenario.zone_of(int(tx["id"].split(".")[0][1:])))
        for tx in transmissions
        if tx["id"][0] == "n"
    ]
    crossed = sum(
        zone != tx["zone"]
        for zone, tx in zip(own_zones, (t for t in transmissions if t["id"][0] == "n"), strict=True)
    )
    usage = processes(folder)
    span = max(0.001, usage["span"])
    served_work = sum(tx["work"] for tx in transmissions if tx["how"] == "done")
    return {
        "asked": count,
        "served": outcomes.get("served", 0),
        "in_time": int(in_time),
        "hows": outcomes,
        "unfinished": len(open_rpcs),
        "service": round(earned / possible, 5) if possible else 0.0,
        "tries": round(len(tries) / count, 4) if count else 0.0,
        "transmissions": round(len(transmissions) / max(1, len(tries)), 4),
        "crossed": round(crossed / max(1, len(transmissions)), 4),
        "wasted": round(1 - served_work / max(0.001, sum(tx["work"] for tx in executed)), 4),
        **{
            f"over_{limit:g}s": round(
                sum(record["end"] - record["due"] > limit for record in rpcs) / max(1, len(rpcs)), 5
            )
            for limit in LATENCY_LIMITS_S
        },
        "cpu_us_per_rpc": round(
            1e6 * usage["cpu"] / max(1, sum(record["k"] == "try" for record in all_records)), 1
        ),
        "cpu_share": round(usage["cpu"] / span / scenario.sidecars.count, 4),
        "peak_mb": round(usage["peak_mb"], 1),
        "fds": usage["fds"],
        "fell": sum(record["k"] == "fell" for record in all_records),
    }


def summarize(folder: Path) -> dict:
    """Returns figures, breaches and the reasons against a valid result; writes them to summary.json too."""
    scenario = scenario_of(folder)
    all_records = list(records(folder))
    histograms, statistics = merged(folder)
    breaches = judge(scenario, all_records)
    bad_clients = [record for record in all_records if record["k"] == "bad"]
    summary = {
        "name": scenario.name,
        "state": state_of(folder)[0],
        "no_result": invalid(scenario, folder, histograms.get("lateness"), statistics),
        "figures": figures(scenario, all_records, folder),
        "latency_ms": spread(histograms.get("latency")),
        "served_ms": spread(histograms.get("served")),
        "lateness_ms": spread(histograms.get("lateness")),
        "closed_ms": spread(histograms.get("closed")),
        "breaches": [msgspec.to_builtins(record) for record in breaches],
        "bad_clients": {
            "count": len(bad_clients),
            "neither": sum(record["how"] == "neither" for record in bad_clients),
        },
    }
    (folder / "summary.json").write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    return summary
