"""Runs variants of a scenario as one experiment: interleaved within each round, compared in pairs."""

import os
import signal
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from subprocess import DEVNULL, PIPE, run

import msgspec
import orjson

from shedgrade.lab import results
from shedgrade.lab.processes import LabError
from shedgrade.lab.scenario import Scenario
from shedgrade.lab.statistics import interval
from shedgrade.lab.worker import tied

# By name of the figure: the function that reads it from a summary, and whether a higher value is better.
FIGURES: dict[str, tuple[Callable[[dict], float], bool]] = {
    "service": (lambda s: s["figures"]["service"], True),
    "p50 ms": (lambda s: s["latency_ms"].get("p50", 0.0), False),
    "p99 ms": (lambda s: s["latency_ms"].get("p99", 0.0), False),
    "p99.9 ms": (lambda s: s["latency_ms"].get("p99.9", 0.0), False),
    "wasted": (lambda s: s["figures"]["wasted"], False),
    "crossed": (lambda s: s["figures"]["crossed"], False),
    "cpu us/RPC": (lambda s: s["figures"]["cpu_us_per_rpc"], False),
    "fell over": (lambda s: s["figures"]["fell"], False),
    "breaches": (lambda s: len(s["breaches"]), False),
}


def run_in_process(scenario: Scenario, folder: Path, cores: list[int] | None = None) -> dict:
    """Runs a scenario in a process of its own, pinned to `cores`; returns its summary.

    Raises LabError if the process fails.
    """
    import sys

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "given.json").write_bytes(msgspec.json.encode(scenario))
    process = run(
        [sys.executable, "-m", "shedgrade.lab.experiments", str(folder)],
        stdin=DEVNULL,
        stdout=DEVNULL,
        stderr=PIPE,
        cwd=results.ROOT,
        check=False,
        preexec_fn=tied(cores, signal.SIGTERM),
    )
    if process.returncode:
        raise LabError(
            process.stderr.decode(errors="replace").strip().splitlines()[-1]
            if process.stderr
            else f"exit {process.returncode}"
        )
    return orjson.loads((folder / "summary.json").read_bytes())


def lanes_of(lanes: int) -> list[list[int]]:
    """Splits the available cores evenly into lanes, at most one lane per core."""
    cores = sorted(os.sched_getaffinity(0))
    cores_per_lane = max(1, len(cores) // lanes)
    return [
        cores[lane * cores_per_lane : (lane + 1) * cores_per_lane] for lane in range(min(lanes, len(cores)))
    ]


def run_rounds(
    variants: list[tuple[str, Scenario]],
    rounds: int,
    folder: Path,
    lanes: int = 1,
    report_progress: Callable[[str], None] = lambda line: None,
) -> dict[str, list[dict | None]]:
    """Runs each variant once a round, with a seed for each round; the order alternates between rounds.

    A run without a valid result is repeated once. If the repetition has none either, its place holds None and
    its pair is left out.
    """
    summaries: dict[str, list[dict | None]] = {label: [None] * rounds for label, _ in variants}
    jobs = []
    for number in range(rounds):
        ordered = variants if number % 2 == 0 else variants[::-1]
        jobs += [(number, label, scenario) for label, scenario in ordered]
    free_lanes = lanes_of(lanes)

    def run_job(job: tuple[int, str, Scenario]) -> None:
        number, label, scenario = job
        cores = free_lanes.pop()
        try:
            scenario = msgspec.structs.replace(scenario, seed=scenario.seed + number)
            for attempt in range(2):
                try:
                    summary = run_in_process(
                        scenario, folder / f"{label.replace('/', '_')}-{number}{'-again' * attempt}", cores
                    )
                except LabError as error:
                    report_progress(f"{label} {number}: {error}")
                    continue
                if summary["no_result"]:
                    report_progress(f"{label} {number}: no result: {summary['no_result'][0]}")
                    continue
                summaries[label][number] = summary
                report_progress(
                    f"{label} {number}: service {summary['figures']['service']:.4f}, p99 "
                    f"{summary['latency_ms'].get('p99', 0):.1f} ms, {len(summary['breaches'])} breaches"
                )
                return
        finally:
            free_lanes.append(cores)

    with ThreadPoolExecutor(len(free_lanes)) as pool:
        list(pool.map(run_job, jobs))
    return summaries


def pairs(
    first: list[dict | None], second: list[dict | None], read_figure: Callable[[dict], float]
) -> list[float]:
    """Returns the differences, second minus first, of the rounds in which both runs have a result."""
    return [
        read_figure(b) - read_figure(a)
        for a, b in zip(first, second, strict=True)
        if a is not None and b is not None
    ]


def comparison_table(summaries: dict[str, list[dict | None]]) -> list[str]:
    """Returns a Markdown table: each variant's mean, and its difference to the first with an interval."""
    labels = list(summaries)
    rows = [
        f"| figure | {labels[0]} | "
        + " | ".join(f"{label} | less {labels[0]} (95%)" for label in labels[1:])
        + " |",
        "|" + " --- |" * (2 * len(labels)),
    ]
    for name, (read_figure, _) in FIGURES.items():
        cells = []
        for label in labels:
            values = [read_figure(summary) for summary in summaries[label] if summary is not None]
            cells.append(f"{sum(values) / len(values):.4g}" if values else "-")
            if label != labels[0]:
                differences = pairs(summaries[labels[0]], summaries[label], read_figure)
                cells.append(
                    "{:+.4g} ({:+.4g} to {:+.4g})".format(*interval(differences)) if differences else "-"
                )
        rows.append(f"| {name} | " + " | ".join(cells) + " |")
    counts = ", ".join(
        f"{label} {sum(summary is not None for summary in runs)}" for label, runs in summaries.items()
    )
    return [*rows, "", f"Runs counted: {counts}."]


def main() -> None:
    """Runs the scenario that `run_in_process` has written to the folder given as an argument."""
    import sys

    from shedgrade.lab.runner import run as run_scenario

    folder = Path(sys.argv[1])
    scenario = msgspec.json.decode((folder / "given.json").read_bytes(), type=Scenario)
    try:
        run_scenario(scenario, folder)
    except LabError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
