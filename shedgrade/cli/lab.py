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
DEFAULT_OUT = Path("found")


def read(path: Path, sets: list[str] | None) -> Scenario:
    """Reads a scenario and applies the changes; exits with 2 if it is not valid."""
    try:
        return load_scenario(path, sets or [])
    except ScenarioError as error:
        fail(error)


def show(line: str) -> None:
    """Shows a progress line if stderr is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{line}", end="", file=sys.stderr, flush=True)


def log_line(line: str) -> None:
    """Logs a progress line."""
    logger.info("{}", line)


@app.command()
def run(
    scenario: Path,
    sets: Sets = None,
    out: Out = DEFAULT_OUT,
    seed: int | None = None,
    page: Annotated[str, typer.Option("--report", help="html, md or none.")] = "html",
    log_format: LogFormat = "text",
) -> None:
    """Run one scenario. Exit 0 if the rules were kept, 3 if one was broken, 4 if the run is no result."""
    start_log("INFO", log_format)
    loaded = read(scenario, sets)
    if seed is not None:
        loaded.seed = seed
    folder = results.new_folder(out, loaded.name)
    try:
        summary = run_scenario(loaded, folder, show)
    except LabError as error:
        show("\n")
        fail(error)
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
        loaded = read(path, sets)
        try:
            count = len(schedule(loaded))
        except ScenarioError as error:
            fail(error)
        print(
            f"{path}: {loaded.name}, {count} RPCs in {loaded.length_s:g} s, {len(loaded.faults)} faults, good"
        )


def variants(first: Path, second: Path | None, sets: tuple, checkouts: tuple) -> list[tuple[str, Scenario]]:
    """Returns variants A and B of a comparison, each with its own changes and checkout."""
    paths = first, second or first
    scenarios = [read(path, own_sets) for path, own_sets in zip(paths, sets, strict=True)]
    for scenario, checkout in zip(scenarios, checkouts, strict=True):
        if checkout:
            scenario.sidecars.checkout = str(checkout)
    return [("A", scenarios[0]), ("B", scenarios[1])]


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
    out: Out = DEFAULT_OUT,
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
    summaries = experiments.run_rounds(both, rounds, folder, lanes, log_line)
    print("\n".join(experiments.comparison_table(summaries)))
    (folder / "compare.md").write_text("\n".join(experiments.comparison_table(summaries)) + "\n")


@app.command()
def baselines(
    scenario: Path,
    sets: Sets = None,
    rounds: Annotated[int, typer.Option(min=1)] = 4,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = DEFAULT_OUT,
    log_format: LogFormat = "text",
) -> None:
    """The mechanism beside random choice, plain rotation and least in flight, in pairs."""
    start_log("INFO", log_format)
    loaded = read(scenario, sets)
    policies = [
        (
            policy,
            msgspec.structs.replace(loaded, sidecars=msgspec.structs.replace(loaded.sidecars, policy=policy)),
        )
        for policy in ("shedgrade", "random", "rotation", "least")
    ]
    folder = results.new_folder(out, f"baselines-{loaded.name}")
    summaries = experiments.run_rounds(policies, rounds, folder, lanes, log_line)
    print(f"## {loaded.name}\n\n" + "\n".join(experiments.comparison_table(summaries)))
    (folder / "baselines.md").write_text("\n".join(experiments.comparison_table(summaries)) + "\n")


@app.command()
def sweep(
    scenario: Path,
    param: Annotated[str, typer.Option(help="Key path.")] = "load.scale",
    values: Annotated[str, typer.Option(help="Comma-separated, in rising order.")] = "0.5,1,2,4",
    floor: Annotated[float, typer.Option(help="Service under which a value is past the knee.")] = 0.99,
    sets: Sets = None,
    rounds: Annotated[int, typer.Option(min=1)] = 1,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = DEFAULT_OUT,
    log_format: LogFormat = "text",
) -> None:
    """One parameter over values; finds the knee."""
    start_log("INFO", log_format)
    given = [value.strip() for value in values.split(",")]
    runs = [(f"{param}={value}", read(scenario, [*(sets or []), f"{param}={value}"])) for value in given]
    folder = results.new_folder(out, f"sweep-{runs[0][1].name}")
    summaries = experiments.run_rounds(runs, rounds, folder, lanes, log_line)
    rows = [
        f"| {param} | RPCs/s | service | p50 ms | p99 ms | max ms | CPU us/RPC | CPU share | peak MB "
        "| breaches |",
        "|" + " --- |" * 10,
    ]
    points = []
    for value, (label, loaded) in zip(given, runs, strict=True):
        valid = [summary for summary in summaries[label] if summary is not None]
        if not valid:
            rows.append(f"| {value} | no result |" + " |" * 8)
            continue

        def mean(read_one, valid=valid) -> float:
            return sum(read_one(summary) for summary in valid) / len(valid)

        service = mean(lambda summary: summary["figures"]["service"])
        points.append((float(value), service))
        span = loaded.length_s - loaded.warmup_s
        rows.append(
            f"| {value} | {mean(lambda summary: summary['figures']['asked']) / span:.0f} | {service:.4f} | "
            + " | ".join(
                f"{mean(lambda summary, key=key: summary['latency_ms'].get(key, 0)):.1f}"
                for key in ("p50", "p99", "max")
            )
            + f" | {mean(lambda summary: summary['figures']['cpu_us_per_rpc']):.0f}"
            f" | {mean(lambda summary: summary['figures']['cpu_share']):.2f}"
            f" | {mean(lambda summary: summary['figures']['peak_mb']):.0f}"
            f" | {mean(lambda summary: len(summary['breaches'])):.1f} |"
        )
    knee_value = knee(points, lambda service: service >= floor)
    rows += [
        "",
        f"Knee: service stays at {floor:g} or more up to {param} = {knee_value:g}."
        if knee_value is not None
        else f"Knee: service is under {floor:g} at every value.",
    ]
    print("\n".join(rows))
    (folder / "sweep.md").write_text("\n".join(rows) + "\n")


@app.command()
def suite(
    scenarios: list[Path],
    sets: Sets = None,
    lanes: Annotated[int, typer.Option(min=1)] = 1,
    out: Out = DEFAULT_OUT,
    log_format: LogFormat = "text",
) -> None:
    """Each scenario once, a line for each. Exit 3 if a rule was broken, 4 if a run was no result."""
    start_log("WARNING", log_format)
    loaded = [read(path, sets) for path in scenarios]
    folder = results.new_folder(out, "suite")
    summaries = experiments.run_rounds(
        [(scenario.name, scenario) for scenario in loaded], 1, folder, lanes, log_line
    )
    print("| scenario | RPCs | service | p50 ms | p99 ms | max ms | transmissions | fell over | breaches |")
    print("|" + " --- |" * 9)
    for scenario in loaded:
        summary = summaries[scenario.name][0]
        if summary is None:
            print(f"| {scenario.name} | no result |" + " |" * 7)
            continue
        figures, latency = summary["figures"], summary["latency_ms"]
        rules = ", ".join(
            f"{len(broken)} of rule {rule}"
            for rule in (1, 2, 3, 4)
            if (broken := [breach for breach in summary["breaches"] if breach["rule"] == rule])
        )
        print(
            f"| {scenario.name} | {figures['asked']} | {figures['service']:.4f} "
            f"| {latency.get('p50', 0):.1f} | {latency.get('p99', 0):.1f} | {latency.get('max', 0):.1f} "
            f"| {figures['transmissions']:.3f} | {figures['fell']} | {rules or 'none'} |"
        )
    first_runs = [runs[0] for runs in summaries.values()]
    raise typer.Exit(
        4 if None in first_runs else 3 if any(summary["breaches"] for summary in first_runs) else 0
    )


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
    rows = trace.rows_of([record for record in results.records(folder) if record["k"] == "try"])
    trace.write(out, rows)
    print(f"{out}: {len(rows)} tries, {sum(not row.retry_of for row in rows)} RPCs")


@app.command()
def decisions(upstreams: str = "10,30,100,300,1000", rpcs: int = 20_000) -> None:
    """CPU cost of a decision as the list grows, the module alone."""
    points = []
    print("| upstreams | us an RPC | us a change of the list |\n| --- | --- | --- |")
    for count in upstreams.split(","):
        costs = cost(int(count), rpcs)
        points.append((costs["upstreams"], costs["rpc_us"]))
        print(f"| {costs['upstreams']} | {costs['rpc_us']} | {costs['change_us']} |", flush=True)
    if len(points) > 1:
        print(f"\nThe cost of an RPC grows with the list to the power {growth(points):.2f}.")
