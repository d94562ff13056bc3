"""Renders a results folder, complete or cut off, as one page: HTML with embedded plots, or Markdown."""

import base64
import html
import io
from pathlib import Path

import orjson

from shedgrade.lab import results
from shedgrade.lab.scenario import Scenario

BIN_S = 0.5  # s between two points of a plot
COLOURS = {"asked": "#888888", "served": "#1b7f3b", "in time": "#2255aa"}


def summary_lines(summary: dict) -> list[str]:
    """Returns a summary of the run in a few lines, for a terminal."""
    figures, latency, lateness = summary["figures"], summary["latency_ms"], summary["lateness_ms"]
    lines = [
        f"{summary['name']} ({summary['state']}): {figures['asked']} RPCs, {figures['served']} served, "
        f"{figures['in_time']} in time; service {figures['service']:.4f}"
    ]
    if latency:
        lines.append(
            "latency from the intended moment, ms: "
            + ", ".join(f"{name} {latency[name]:.1f}" for name in ("p50", "p90", "p99", "p99.9", "max"))
        )
    if lateness:
        lines.append(
            f"generator's own lateness, ms: p50 {lateness['p50']:.2f}, p99 {lateness['p99']:.2f}, "
            f"max {lateness['max']:.1f}"
        )
    if summary["closed_ms"]:
        lines.append(
            "a closed loop beside it would say, ms: "
            + ", ".join(f"{name} {summary['closed_ms'][name]:.1f}" for name in ("p50", "p99", "max"))
        )
    lines.append(
        f"sidecars: {figures['cpu_us_per_rpc']:.0f} us CPU an RPC, peak {figures['peak_mb']:.0f} MB, "
        f"{figures['fds']} descriptors; {figures['transmissions']:.3f} transmissions a try, "
        f"{figures['crossed']:.1%} across zones, {figures['wasted']:.1%} of the work for nobody"
    )
    if figures["fell"]:
        lines.append(f"upstreams that fell over: {figures['fell']}")
    if summary["bad_clients"]["count"]:
        lines.append(
            "bad clients: {count}, of which {neither} had neither an error nor a close".format(
                **summary["bad_clients"]
            )
        )
    kinds: dict[str, int] = {}
    for breach in summary["breaches"]:
        key = f"rule {breach['rule']}: {breach['what']}"
        kinds[key] = kinds.get(key, 0) + 1
    lines += [f"BREACH of {key}: {count}" for key, count in kinds.items()] or ["the four rules: kept"]
    lines += [f"NO RESULT: {reason}" for reason in summary["no_result"]]
    return lines


def bins(times: list[float], length: float) -> list[float]:
    """Returns the rate of events a second in each bin."""
    counts = [0] * (int(length / BIN_S) + 1)
    for at in times:
        if 0 <= at < length:
            counts[int(at / BIN_S)] += 1
    return [count / BIN_S for count in counts]


def plots(folder: Path, scenario: Scenario) -> list[tuple[str, bytes]]:
    """Returns plots as (title, PNG): rate, latency tails, transmissions in flight by zone, sidecar memory.

    Each plot marks the times of the faults.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    records = list(results.records(folder))
    length = scenario.length_s
    rpcs = [record for record in records if record["k"] == "rpc"]
    events = [
        record for record in records if record["k"] in ("fault", "sidecar") and 0 <= record["at"] <= length
    ]
    axis = [number * BIN_S for number in range(int(length / BIN_S) + 1)]
    images = []

    def new_plot(title: str):
        figure, axes = pyplot.subplots(figsize=(10, 2.6), layout="constrained")
        axes.set_title(title, loc="left", fontsize=10)
        axes.set_xlim(0, length)
        seen = set()
        for event in events:
            label = event["what"]
            if event["k"] == "fault" and label == "list":
                continue
            if event["k"] == "sidecar" and label in ("start", "end", "exit"):
                continue
            axes.axvline(event["at"], color="#cc4444", alpha=0.35, linewidth=0.8)
            if (label, int(event["at"])) not in seen and len(seen) < 30:
                seen.add((label, int(event["at"])))
                axes.annotate(
                    label,
                    (event["at"], 0.98),
                    xycoords=("data", "axes fraction"),
                    fontsize=6,
                    rotation=90,
                    va="top",
                    color="#882222",
                )
        return figure, axes

    def save_plot(title: str, figure) -> None:
        data = io.BytesIO()
        figure.savefig(data, format="png", dpi=90)
        pyplot.close(figure)
        images.append((title, data.getvalue()))

    softs = {method.name: method.soft_ms / 1000 for method in scenario.methods}
    served = [record for record in rpcs if record["how"] == "served"]
    figure, axes = new_plot("RPCs a second, by the moment they were meant to be sent")
    for name, times in (
        ("asked", [record["due"] for record in rpcs]),
        ("served", [record["due"] for record in served]),
        (
            "in time",
            [record["due"] for record in served if record["end"] - record["due"] <= softs[record["method"]]],
        ),
    ):
        axes.plot(axis, bins(times, length), label=name, color=COLOURS[name], linewidth=1.2)
    axes.legend(fontsize=7, loc="lower left")
    save_plot("rate", figure)

    figure, axes = new_plot("latency from the intended moment, ms")
    latencies_by_bin: dict[int, list[float]] = {}
    for record in rpcs:
        latencies_by_bin.setdefault(int(record["due"] / BIN_S), []).append(
            (record["end"] - record["due"]) * 1000
        )
    for part, name in ((0.5, "p50"), (0.99, "p99"), (1.0, "max")):
        axes.plot(
            [slot * BIN_S for slot in sorted(latencies_by_bin)],
            [
                sorted(latencies_by_bin[slot])[
                    min(len(latencies_by_bin[slot]) - 1, int(part * len(latencies_by_bin[slot])))
                ]
                for slot in sorted(latencies_by_bin)
            ],
            label=name,
            linewidth=1.0,
        )
    axes.set_yscale("log")
    axes.legend(fontsize=7, loc="upper left")
    save_plot("tails", figure)

    figure, axes = new_plot("transmissions in flight, by the upstream's zone")
    for number, zone in enumerate(scenario.fleet.zones):
        changes = sorted(
            [(tx["begun"], 1) for tx in records if tx["k"] == "tx" and tx["zone"] == number]
            + [(tx["end"], -1) for tx in records if tx["k"] == "tx" and tx["zone"] == number]
        )
        in_flight, times, levels = 0, [], []
        for at, change in changes:
            in_flight += change
            times.append(at)
            levels.append(in_flight)
        axes.step(times, levels, where="post", label=zone, linewidth=0.8)
    axes.legend(fontsize=7, loc="upper left")
    save_plot("in flight", figure)

    samples: dict[int, list[dict]] = {}
    path = folder / "samples.jsonl"
    for record in results.lines(path) if path.exists() else ():
        samples.setdefault(record["sidecar"], []).append(record)
    if samples:
        figure, axes = new_plot("sidecars: resident memory, MB")
        for number, samples_of_sidecar in sorted(samples.items()):
            axes.plot(
                [record["at"] for record in samples_of_sidecar],
                [record["rss"] / 1024 for record in samples_of_sidecar],
                linewidth=0.9,
                label=f"n{number}",
            )
        axes.legend(fontsize=7, loc="lower right")
        save_plot("memory", figure)
    return images


def breach_rows(summary: dict, limit: int = 200) -> list[str]:
    return [
        f"rule {breach['rule']}: {breach['what']}: {orjson.dumps(breach['evidence']).decode()}"
        for breach in summary["breaches"][:limit]
    ]


def write(folder: Path, form: str = "html", out: Path | None = None) -> Path:
    """Writes the report and returns its path. `form`: html (plots embedded) or md (plots beside the file)."""
    scenario = results.scenario_of(folder)
    summary = results.summarize(folder)
    images = plots(folder, scenario)
    out = out or folder / f"report.{form}"
    overview, breaches = summary_lines(summary), breach_rows(summary)
    faults = [
        f"{fault.at_s:g} s: {fault.kind}" + (f" for {fault.for_s:g} s" if fault.for_s else "")
        for fault in scenario.faults
    ]
    if form == "md":
        parts = [f"# {scenario.name}", "", scenario.about, "", *(f"- {line}" for line in overview), ""]
        for title, data in images:
            name = f"{out.stem}-{title.replace(' ', '-')}.png"
            (out.parent / name).write_bytes(data)
            parts += [f"![{title}]({name})", ""]
        parts += [
            "## Faults",
            "",
            *(f"- {line}" for line in faults),
            "",
            "## Breaches",
            "",
            *(f"- {line}" for line in breaches or ["none"]),
        ]
        out.write_text("\n".join(parts) + "\n")
        return out

    def items(rows: list[str]) -> str:
        return "<ul>" + "".join(f"<li>{html.escape(row)}</li>" for row in rows) + "</ul>"

    pictures = "".join(
        f'<p><img alt="{title}" src="data:image/png;base64,{base64.b64encode(data).decode()}"></p>'
        for title, data in images
    )
    out.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(scenario.name)}</title>"
        "<style>body{font:14px sans-serif;max-width:980px;margin:2em auto}img{max-width:100%}</style>"
        f"<h1>{html.escape(scenario.name)}</h1><p>{html.escape(scenario.about)}</p>{items(overview)}{pictures}"
        f"<h2>Faults</h2>{items(faults or ['none'])}<h2>Breaches</h2>{items(breaches or ['none'])}"
    )
    return out
