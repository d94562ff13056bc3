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


def one(scenario: Scenario, folder: Path, cores: list[int] | None = None) -> dict:
    """Runs a scenario in a process of its own, pinned to `cores`; returns its summary.

    Raises LabError if the process fails.
    """
    import sys

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "given.json").write_bytes(msgspec.json.encode(scenario))
    made = run(
        [sys.executable, "-m", "shedgrade.lab.experiments", str(folder)],
        stdin=DEVNULL,
        stdout=DEVNULL,
        stderr=PIPE,
        cwd=results.ROOT,
        check=False,
        preexec_fn=tied(cores, signal.SIGTERM),
    )
    if made.returncode:
        raise LabError(
            made.stderr.decode(errors="replace").strip().splitlines()[-1]
            if made.stderr
            else f"exit {made.returncode}"
        )
    return orjson.loads((folder / "summary.json").read_bytes())


def lanes_of(lanes: int) -> list[list[int]]:
    """Splits the available cores evenly into lanes, at most one lane per core."""
    cores = sorted(os.sched_getaffinity(0))
    each = max(1, len(cores) // lanes)
    return [cores[lane * each : (lane + 1) * each] for lane in range(min(lanes, len(cores)))]


def series(
    variants: list[tuple[str, Scenario]],
    rounds: int,
    folder: Path,
    lanes: int = 1,
    tell: Callable[[str], None] = lambda line: None,
) -> dict[str, list[dict | None]]:
    """Runs each variant once a round, with a seed for each round; the order alternates between rounds.

    A run without a valid result is repeated once. If the repetition has none either, its place holds None and
    its pair is left out.
    """
    found: dict[str, list[dict | None]] = {label: [None] * rounds for label, _ in variants}
    jobs = []
    for number in range(rounds):
        turned = variants if number % 2 == 0 else variants[::-1]
        jobs += [(number, label, scenario) for label, scenario in turned]
    free = lanes_of(lanes)

    def work(job: tuple[int, str, Scenario]) -> None:
        number, label, scenario = job
        cores = free.pop()
        try:
            scenario = msgspec.structs.replace(scenario, seed=scenario.seed + number)
            for attempt in range(2):
                try:
                    told = one(
                        scenario, folder / f"{label.replace('/', '_')}-{number}{'-again' * attempt}", cores
                    )
                except LabError as wrong:
                    tell(f"{label} {number}: {wrong}")
                    continue
                if told["no_result"]:
                    tell(f"{label} {number}: no result: {told['no_result'][0]}")
                    continue
                found[label][number] = told
                tell(
                    f"{label} {number}: service {told['figures']['service']:.4f}, p99 "
                    f"{told['latency_ms'].get('p99', 0):.1f} ms, {len(told['breaches'])} breaches"
                )
                return
        finally:
            free.append(cores)

    with ThreadPoolExecutor(len(free)) as pool:
        list(pool.map(work, jobs))
    return found


def pairs(first: list[dict | None], second: list[dict | None], read: Callable[[dict], float]) -> list[float]:
    """Returns the differences, second minus first, of the rounds in which both runs have a result."""
    return [read(b) - read(a) for a, b in zip(first, second, strict=True) if a is not None and b is not None]


def table(found: dict[str, list[dict | None]]) -> list[str]:
    """Returns a Markdown table: each variant's mean, and its difference to the first with an interval."""
    labels = list(found)
    rows = [
        f"| figure | {labels[0]} | "
        + " | ".join(f"{label} | less {labels[0]} (95%)" for label in labels[1:])
        + " |",
        "|" + " --- |" * (2 * len(labels)),
    ]
    for name, (read, _) in FIGURES.items():
        cells = []
        for label in labels:
            own = [read(told) for told in found[label] if told is not None]
            cells.append(f"{sum(own) / len(own):.4g}" if own else "-")
            if label != labels[0]:
                differences = pairs(found[labels[0]], found[label], read)
                cells.append(
                    "{:+.4g} ({:+.4g} to {:+.4g})".format(*interval(differences)) if differences else "-"
                )
        rows.append(f"| {name} | " + " | ".join(cells) + " |")
    counted = ", ".join(f"{label} {sum(told is not None for told in runs)}" for label, runs in found.items())
    return [*rows, "", f"Runs counted: {counted}."]


def main() -> None:
    """Runs the scenario that `one` has written to the folder given as an argument."""
    import sys

    from shedgrade.lab.runner import run as run_scenario

    folder = Path(sys.argv[1])
    scenario = msgspec.json.decode((folder / "given.json").read_bytes(), type=Scenario)
    try:
        run_scenario(scenario, folder)
    except LabError as wrong:
        print(wrong, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
