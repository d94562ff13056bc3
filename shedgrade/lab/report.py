"""Renders a results folder, complete or cut off, as one page: HTML with embedded plots, or Markdown."""

import base64
import html
import io
from pathlib import Path

import orjson

from shedgrade.lab import results
from shedgrade.lab.scenario import Scenario

BIN = 0.5  # s between two points of a plot
COLOURS = {"asked": "#888888", "served": "#1b7f3b", "in time": "#2255aa"}


def summary_lines(summary: dict) -> list[str]:
    """Returns a summary of the run in a few lines, for a terminal."""
    said, ms, late = summary["figures"], summary["latency_ms"], summary["lateness_ms"]
    found = [
        f"{summary['name']} ({summary['state']}): {said['asked']} RPCs, {said['served']} served, "
        f"{said['in_time']} in time; service {said['service']:.4f}"
    ]
    if ms:
        found.append(
            "latency from the intended moment, ms: "
            + ", ".join(f"{name} {ms[name]:.1f}" for name in ("p50", "p90", "p99", "p99.9", "max"))
        )
    if late:
        found.append(
            f"generator's own lateness, ms: p50 {late['p50']:.2f}, p99 {late['p99']:.2f}, "
            f"max {late['max']:.1f}"
        )
    if summary["closed_ms"]:
        found.append(
            "a closed loop beside it would say, ms: "
            + ", ".join(f"{name} {summary['closed_ms'][name]:.1f}" for name in ("p50", "p99", "max"))
        )
    found.append(
        f"sidecars: {said['cpu_us_per_rpc']:.0f} us CPU an RPC, peak {said['peak_mb']:.0f} MB, "
        f"{said['fds']} descriptors; {said['transmissions']:.3f} transmissions a try, "
        f"{said['crossed']:.1%} across zones, {said['wasted']:.1%} of the work for nobody"
    )
    if said["fell"]:
        found.append(f"upstreams that fell over: {said['fell']}")
    if summary["bad_clients"]["count"]:
        found.append(
            "bad clients: {count}, of which {neither} had neither an error nor a close".format(
                **summary["bad_clients"]
            )
        )
    kinds: dict[str, int] = {}
    for breach in summary["breaches"]:
        key = f"rule {breach['rule']}: {breach['what']}"
        kinds[key] = kinds.get(key, 0) + 1
    found += [f"BREACH of {key}: {count}" for key, count in kinds.items()] or ["the four rules: kept"]
    found += [f"NO RESULT: {why}" for why in summary["no_result"]]
    return found


def bins(times: list[float], length: float) -> list[float]:
    """Returns the rate of events a second in each bin."""
    counts = [0] * (int(length / BIN) + 1)
    for at in times:
        if 0 <= at < length:
            counts[int(at / BIN)] += 1
    return [count / BIN for count in counts]


def plots(folder: Path, scenario: Scenario) -> list[tuple[str, bytes]]:
    """Returns plots as (title, PNG): rate, latency tails, transmissions in flight by zone, sidecar memory.

    Each plot marks the times of the faults.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = list(results.records(folder))
    length = scenario.length_s
    rpcs = [one for one in found if one["k"] == "rpc"]
    events = [one for one in found if one["k"] in ("fault", "sidecar") and 0 <= one["at"] <= length]
    axis = [number * BIN for number in range(int(length / BIN) + 1)]
    made = []

    def figure(title: str):
        picture, place = pyplot.subplots(figsize=(10, 2.6), layout="constrained")
        place.set_title(title, loc="left", fontsize=10)
        place.set_xlim(0, length)
        seen = set()
        for event in events:
            label = event["what"]
            if event["k"] == "fault" and label == "list":
                continue
            if event["k"] == "sidecar" and label in ("start", "end", "exit"):
                continue
            place.axvline(event["at"], color="#cc4444", alpha=0.35, linewidth=0.8)
            if (label, int(event["at"])) not in seen and len(seen) < 30:
                seen.add((label, int(event["at"])))
                place.annotate(
                    label,
                    (event["at"], 0.98),
                    xycoords=("data", "axes fraction"),
                    fontsize=6,
                    rotation=90,
                    va="top",
                    color="#882222",
                )
        return picture, place

    def keep(title: str, picture) -> None:
        data = io.BytesIO()
        picture.savefig(data, format="png", dpi=90)
        pyplot.close(picture)
        made.append((title, data.getvalue()))

    softs = {method.name: method.soft_ms / 1000 for method in scenario.methods}
    served = [one for one in rpcs if one["how"] == "served"]
    picture, place = figure("RPCs a second, by the moment they were meant to be sent")
    for name, times in (
        ("asked", [one["due"] for one in rpcs]),
        ("served", [one["due"] for one in served]),
        ("in time", [one["due"] for one in served if one["end"] - one["due"] <= softs[one["method"]]]),
    ):
        place.plot(axis, bins(times, length), label=name, color=COLOURS[name], linewidth=1.2)
    place.legend(fontsize=7, loc="lower left")
    keep("rate", picture)

    picture, place = figure("latency from the intended moment, ms")
    by: dict[int, list[float]] = {}
    for one in rpcs:
        by.setdefault(int(one["due"] / BIN), []).append((one["end"] - one["due"]) * 1000)
    for part, name in ((0.5, "p50"), (0.99, "p99"), (1.0, "max")):
        place.plot(
            [slot * BIN for slot in sorted(by)],
            [sorted(by[slot])[min(len(by[slot]) - 1, int(part * len(by[slot])))] for slot in sorted(by)],
            label=name,
            linewidth=1.0,
        )
    place.set_yscale("log")
    place.legend(fontsize=7, loc="upper left")
    keep("tails", picture)

    picture, place = figure("transmissions in flight, by the upstream's zone")
    for number, zone in enumerate(scenario.fleet.zones):
        steps = sorted(
            [(tx["begun"], 1) for tx in found if tx["k"] == "tx" and tx["zone"] == number]
            + [(tx["end"], -1) for tx in found if tx["k"] == "tx" and tx["zone"] == number]
        )
        out, times, levels = 0, [], []
        for at, change in steps:
            out += change
            times.append(at)
            levels.append(out)
        place.step(times, levels, where="post", label=zone, linewidth=0.8)
    place.legend(fontsize=7, loc="upper left")
    keep("in flight", picture)

    samples: dict[int, list[dict]] = {}
    path = folder / "samples.jsonl"
    for one in results.lines(path) if path.exists() else ():
        samples.setdefault(one["sidecar"], []).append(one)
    if samples:
        picture, place = figure("sidecars: resident memory, MB")
        for number, own in sorted(samples.items()):
            place.plot(
                [one["at"] for one in own],
                [one["rss"] / 1024 for one in own],
                linewidth=0.9,
                label=f"n{number}",
            )
        place.legend(fontsize=7, loc="lower right")
        keep("memory", picture)
    return made


def breach_rows(summary: dict, most: int = 200) -> list[str]:
    return [
        f"rule {one['rule']}: {one['what']}: {orjson.dumps(one['evidence']).decode()}"
        for one in summary["breaches"][:most]
    ]


def write(folder: Path, form: str = "html", out: Path | None = None) -> Path:
    """Writes the report and returns its path. `form`: html (plots embedded) or md (plots beside the file)."""
    scenario = results.scenario_of(folder)
    summary = results.summarize(folder)
    made = plots(folder, scenario)
    out = out or folder / f"report.{form}"
    told, breaches = summary_lines(summary), breach_rows(summary)
    faults = [
        f"{fault.at_s:g} s: {fault.kind}" + (f" for {fault.for_s:g} s" if fault.for_s else "")
        for fault in scenario.faults
    ]
    if form == "md":
        parts = [f"# {scenario.name}", "", scenario.about, "", *(f"- {line}" for line in told), ""]
        for title, data in made:
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
        for title, data in made
    )
    out.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(scenario.name)}</title>"
        "<style>body{font:14px sans-serif;max-width:980px;margin:2em auto}img{max-width:100%}</style>"
        f"<h1>{html.escape(scenario.name)}</h1><p>{html.escape(scenario.about)}</p>{items(told)}{pictures}"
        f"<h2>Faults</h2>{items(faults or ['none'])}<h2>Breaches</h2>{items(breaches or ['none'])}"
    )
    return out
