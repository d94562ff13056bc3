"""`shedgrade lab ...`: runs, comparisons, sweeps, reports, traces."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from loguru import logger

from shedgrade.cli import LogFormat, fail, start_log
from shedgrade.lab import experiments, report, results, trace
from shedgrade.lab.arrivals import schedule
from shedgrade.lab.decisions import cost
from shedgrade.lab.processes import LabError
from shedgrade.lab.runner import run as run_scenario
from shedgrade.lab.scenario import Scenario, ScenarioError
from shedgrade.lab.scenario import load as load_scenario
from shedgrade.lab.statistics import growth, knee

app = typer.Typer(
    help="Stand-in fleets, open-loop load, faults by script and a judge of the four rules.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
Sets = Annotated[
    list[str] | None, typer.Option("--set", help="key.path=value, changes the scenario; repeatable.")
]
Out = Annotated[Path, typer.Option("--out", help="Folder in which each run gets a folder of its own.")]
FOUND = Path("found")


def read(path: Path, sets: list[str] | None) -> Scenario:
    """Reads a scenario and applies the changes; exits with 2 if it is not valid."""
    try:
        return load_scenario(path, sets or [])
    except ScenarioError as wrong:
        fail(wrong)


def show(line: str) -> None:
    """Shows a progress line if stderr is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{line}", end="", file=sys.stderr, flush=True)


def line_by_line(line: str) -> None:
    """Logs a progress line."""
    logger.info("{}", line)


@app.command()
def run(
    scenario: Path,
    sets: Sets = None,
    out: Out = FOUND,
    seed: int | None = None,
    page: Annotated[str, typer.Option("--report", help="html, md or none.")] = "html",
    log_format: LogFormat = "text",
) -> None:
    """Run one scenario. Exit 0 if the rules were kept, 3 if one was broken, 4 if the run is no result."""
    start_log("INFO", log_format)
    told = read(scenario, sets)
    if seed is not None:
        told.seed = seed
    folder = results.new_folder(out, told.name)
    try:
        summary = run_scenario(told, folder, show)
    except LabError as wrong:
        show("\n")
        fail(wrong)
    show("\n")
    for line in report.summary_lines(summary):
        print(line)
    if page != "none":
        print(f"report: {report.write(folder, page)}")
    raise typer.Exit(4 if summary["no_result"] else 3 if summary["breaches"] else 0)


@app.command()
def check(scenarios: list[Path], sets: Sets = None) -> None:
    """Read scenarios as `run` would; exit 2 and one line for the first that is not sound."""
    for path in scenarios:
        told = read(path, sets)
        try:
            count = len(schedule(told))
        except ScenarioError as wrong:
            fail(wrong)
        print(f"{path}: {told.name}, {count} RPCs in {told.length_s:g} s, {len(told.faults)} faults, good")


def variants(first: Path, second: Path | None, sets: tuple, checkouts: tuple) -> list[tuple[str, Scenario]]:
    """Returns variants A and B of a comparison, each with its own changes and checkout."""
    paths = first, second or first
    found = [read(path, own) for path, own in zip(paths, sets, strict=True)]
    for scenario, checkout in zip(found, checkouts, strict=True):
        if checkout:
            scenario.sidecars.checkout = str(checkout)
    return [("A", found[0]), ("B", found[1])]


@app.command()
def compare(
    first: Path,
    second: Annotated[Path | None, typer.Argument()] = None,
    sets: Sets = None,
    set_a: Annotated[list[str] | None, typer.Option(help="As --set, for A only.")] = None,
    set_b: Annotated[list[str] | None, typer.Option(help="As --set, for B only.")] = None,
    checkout_a: Annotated[Path | None, typer.Option(help="Another clone, whose sidecar is A's.")] = None,
    checkout_b: Annotated[Path | None, typer.Option(help="Another clone, whose sidecar is B's.")] = None,
    rounds: Annotated[int, typer.Option(min=1)] = 6,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = FOUND,
    log_format: LogFormat = "text",
) -> None:
    """Two scenarios, configurations or checkouts: interleaved runs, paired differences with their
    intervals."""
    start_log("INFO", log_format)
    both = variants(
        first,
        second,
        ([*(sets or []), *(set_a or [])], [*(sets or []), *(set_b or [])]),
        (checkout_a, checkout_b),
    )
    folder = results.new_folder(out, "compare")
    found = experiments.series(both, rounds, folder, lanes, line_by_line)
    print("\n".join(experiments.table(found)))
    (folder / "compare.md").write_text("\n".join(experiments.table(found)) + "\n")


@app.command()
def baselines(
    scenario: Path,
    sets: Sets = None,
    rounds: Annotated[int, typer.Option(min=1)] = 4,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = FOUND,
    log_format: LogFormat = "text",
) -> None:
    """The mechanism beside random choice, plain rotation and least in flight, in pairs."""
    start_log("INFO", log_format)
    told = read(scenario, sets)
    four = [
        (
            policy,
            msgspec.structs.replace(told, sidecars=msgspec.structs.replace(told.sidecars, policy=policy)),
        )
        for policy in ("shedgrade", "random", "rotation", "least")
    ]
    folder = results.new_folder(out, f"baselines-{told.name}")
    found = experiments.series(four, rounds, folder, lanes, line_by_line)
    print(f"## {told.name}\n\n" + "\n".join(experiments.table(found)))
    (folder / "baselines.md").write_text("\n".join(experiments.table(found)) + "\n")


@app.command()
def sweep(
    scenario: Path,
    param: Annotated[str, typer.Option(help="Key path.")] = "load.scale",
    values: Annotated[str, typer.Option(help="Comma-separated, in rising order.")] = "0.5,1,2,4",
    floor: Annotated[float, typer.Option(help="Service under which a value is past the knee.")] = 0.99,
    sets: Sets = None,
    rounds: Annotated[int, typer.Option(min=1)] = 1,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = FOUND,
    log_format: LogFormat = "text",
) -> None:
    """One parameter over values; finds the knee."""
    start_log("INFO", log_format)
    given = [value.strip() for value in values.split(",")]
    runs = [(f"{param}={value}", read(scenario, [*(sets or []), f"{param}={value}"])) for value in given]
    folder = results.new_folder(out, f"sweep-{runs[0][1].name}")
    found = experiments.series(runs, rounds, folder, lanes, line_by_line)
    rows = [
        f"| {param} | RPCs/s | service | p50 ms | p99 ms | max ms | CPU us/RPC | CPU share | peak MB "
        "| breaches |",
        "|" + " --- |" * 10,
    ]
    points = []
    for value, (label, told) in zip(given, runs, strict=True):
        sound = [one for one in found[label] if one is not None]
        if not sound:
            rows.append(f"| {value} | no result |" + " |" * 8)
            continue

        def mean(read_one, sound=sound) -> float:
            return sum(read_one(one) for one in sound) / len(sound)

        service = mean(lambda one: one["figures"]["service"])
        points.append((float(value), service))
        span = told.length_s - told.warmup_s
        rows.append(
            f"| {value} | {mean(lambda one: one['figures']['asked']) / span:.0f} | {service:.4f} | "
            + " | ".join(
                f"{mean(lambda one, key=key: one['latency_ms'].get(key, 0)):.1f}"
                for key in ("p50", "p99", "max")
            )
            + f" | {mean(lambda one: one['figures']['cpu_us_per_rpc']):.0f}"
            f" | {mean(lambda one: one['figures']['cpu_share']):.2f}"
            f" | {mean(lambda one: one['figures']['peak_mb']):.0f}"
            f" | {mean(lambda one: len(one['breaches'])):.1f} |"
        )
    best = knee(points, lambda service: service >= floor)
    rows += [
        "",
        f"Knee: service stays at {floor:g} or more up to {param} = {best:g}."
        if best is not None
        else f"Knee: service is under {floor:g} at every value.",
    ]
    print("\n".join(rows))
    (folder / "sweep.md").write_text("\n".join(rows) + "\n")


@app.command()
def suite(
    scenarios: list[Path],
    sets: Sets = None,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = FOUND,
    log_format: LogFormat = "text",
) -> None:
    """Each scenario once, a line for each. Exit 3 if a rule was broken, 4 if a run was no result."""
    start_log("WARNING", log_format)
    told = [read(path, sets) for path in scenarios]
    folder = results.new_folder(out, "suite")
    found = experiments.series([(one.name, one) for one in told], 1, folder, lanes, line_by_line)
    print("| scenario | RPCs | service | p50 ms | p99 ms | max ms | transmissions | fell over | breaches |")
    print("|" + " --- |" * 9)
    for one in told:
        summary = found[one.name][0]
        if summary is None:
            print(f"| {one.name} | no result |" + " |" * 7)
            continue
        said, ms = summary["figures"], summary["latency_ms"]
        rules = ", ".join(
            f"{len(own)} of rule {rule}"
            for rule in (1, 2, 3, 4)
            if (own := [breach for breach in summary["breaches"] if breach["rule"] == rule])
        )
        print(
            f"| {one.name} | {said['asked']} | {said['service']:.4f} | {ms.get('p50', 0):.1f} "
            f"| {ms.get('p99', 0):.1f} | {ms.get('max', 0):.1f} | {said['transmissions']:.3f} "
            f"| {said['fell']} | {rules or 'none'} |"
        )
    sound = [runs[0] for runs in found.values()]
    raise typer.Exit(4 if None in sound else 3 if any(one["breaches"] for one in sound) else 0)


@app.command(name="report")
def report_command(
    folder: Path,
    form: Annotated[str, typer.Option("--format", help="html or md.")] = "html",
    out: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """One page from a results folder, also of a run that was cut off."""
    if form not in ("html", "md") or not (folder / "scenario.json").exists():
        fail(ValueError(f"{folder}: no results folder" if form in ("html", "md") else f"--format {form!r}"))
    print(report.write(folder, form, out))


@app.command()
def export(folder: Path, out: Annotated[Path, typer.Argument(help="FILE.jsonl or FILE.csv")]) -> None:
    """A run as a trace that a scenario can read (`load.trace.file`)."""
    if not (folder / "scenario.json").exists():
        fail(ValueError(f"{folder}: no results folder"))
    rows = trace.rows_of([one for one in results.records(folder) if one["k"] == "try"])
    trace.write(out, rows)
    print(f"{out}: {len(rows)} tries, {sum(not row.retry_of for row in rows)} RPCs")


@app.command()
def decisions(upstreams: str = "10,30,100,300,1000", rpcs: int = 20_000) -> None:
    """CPU cost of a decision as the list grows, the module alone."""
    points = []
    print("| upstreams | us an RPC | us a change of the list |\n| --- | --- | --- |")
    for count in upstreams.split(","):
        found = cost(int(count), rpcs)
        points.append((found["upstreams"], found["rpc_us"]))
        print(f"| {found['upstreams']} | {found['rpc_us']} | {found['change_us']} |", flush=True)
    if len(points) > 1:
        print(f"\nThe cost of an RPC grows with the list to the power {growth(points):.2f}.")
