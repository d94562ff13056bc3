"""Measures what each mechanism of load balancing is worth: runs the program without it, over several seeds.

Usage: python -m benchmarks.ablation SCENE... [--seeds N] [--seconds S] [--jobs N] [--variant NAME]...
       python -m benchmarks.ablation SITE DAY --bench PROGRAM [--seeds N] [--variant NAME]...

Scenes are simulated by `benchmarks/choice.py`. With `--bench`, the operators' bench plays DAY of SITE, one
run after another. Each variant of `ablations.toml` is applied to its own copy of the sources; the working
tree is not changed. The tables show means with their standard errors.
"""

from __future__ import annotations

import argparse
import json
import shutil
import statistics
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from math import sqrt
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TABLE = Path(__file__).with_name("ablations.toml")
UNCHANGED = "as it is"
COPIED = ("shedgrade", "benchmarks", "deploy", "requirements.txt")


@dataclass(frozen=True)
class Edit:
    """A replacement of text: in `file`, every `find` becomes `put`."""

    file: str
    find: str
    put: str


@dataclass(frozen=True)
class Variant:
    """One mechanism switched off.

    Attributes:
        name: name of the mechanism.
        needs: "choice", or "bench" if only the operators' bench shows the effect.
        edits: the replacements that switch it off.
    """

    name: str
    needs: str
    edits: tuple[Edit, ...]


def variants() -> list[Variant]:
    """Returns the variants listed in `ablations.toml`."""
    table = tomllib.loads(TABLE.read_text())["variant"]
    return [Variant(one["name"], one["needs"], tuple(Edit(**edit) for edit in one["edits"])) for one in table]


def apply(edit: Edit, root: Path) -> None:
    """Applies an edit to the sources in `root`.

    Raises:
        ValueError: the file no longer contains the text, so that the variant would measure nothing.
    """
    path = root / edit.file
    text = path.read_text()
    if edit.find not in text:
        raise ValueError(f"{edit.file} does not contain {edit.find!r}")
    path.write_text(text.replace(edit.find, edit.put))


def copy(variant: Variant | None, folder: Path) -> Path:
    """Copies the sources to `folder` and applies the variant's edits; None applies none. Returns `folder`."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / name)
    for edit in variant.edits if variant is not None else ():
        apply(edit, folder)
    return folder


def run_scene(folder: Path, scene: Path, seed: int, seconds: float) -> dict[str, float]:
    """Runs a scene with the sources in `folder`, in a process of its own; returns its figures by name."""
    program = (
        "import json, sys, tomllib; from benchmarks.choice import play;"
        "scene = tomllib.loads(open(sys.argv[1]).read());"
        "print(json.dumps(play(scene, int(sys.argv[2]), 'edges', float(sys.argv[3]))))"
    )
    arguments = [sys.executable, "-c", program, str(scene.resolve()), str(seed), str(seconds)]
    done = subprocess.run(arguments, cwd=folder, capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def run_day(folder: Path, bench: Path, site: Path, day: str, seed: int) -> dict[str, float]:
    """Runs one day of the operators' bench; returns its figures by name, with the number of broken rules."""
    report = folder / f"report-{seed}.json"
    arguments = [str(bench), "run", str(site), day, "--report", str(report)]
    subprocess.run(
        arguments + (["--seed", str(seed)] if seed else []), cwd=folder, capture_output=True, check=False
    )
    day_report = json.loads(report.read_text())
    parts = {name: value for name, _, value in day_report["parts"]}
    return {"worth": day_report["G"], **parts, "rules broken": float(len(day_report["breaks"]))}


def table_row(name: str, found: list[dict[str, float]], columns: list[str]) -> str:
    cells = []
    for column in columns:
        values = [one[column] for one in found]
        spread = statistics.stdev(values) / sqrt(len(values)) if len(values) > 1 else 0.0
        cells.append(f"{statistics.mean(values):.3f} +- {spread:.3f}")
    return f"| {name} | " + " | ".join(cells) + " |"


def table(title: str, plays: dict[str, list[dict[str, float]]]) -> str:
    columns = list(next(iter(plays.values()))[0])
    lines = [f"## {title}", "", f"| without | {' | '.join(columns)} |", "| --- " * (len(columns) + 1) + "|"]
    return "\n".join(lines + [table_row(name, found, columns) for name, found in plays.items()]) + "\n"


def select_variants(names: list[str], needs: tuple[str, ...]) -> dict[str, Variant | None]:
    """Returns the variants to be measured by name, the unchanged program first.

    Without `names`, these are all variants whose `needs` is in `needs`.
    """
    wanted = {one.name: one for one in variants() if (one.name in names if names else one.needs in needs)}
    return {UNCHANGED: None, **wanted}


def measure_scenes(options: argparse.Namespace, folder: Path) -> None:
    copies = {}
    for number, (name, variant) in enumerate(select_variants(options.variant, ("choice",)).items()):
        copies[name] = copy(variant, folder / str(number))
    with ThreadPoolExecutor(options.jobs) as pool:
        for scene in options.what:
            found = {
                name: [
                    pool.submit(run_scene, source_folder, Path(scene), seed, options.seconds)
                    for seed in range(options.seeds)
                ]
                for name, source_folder in copies.items()
            }
            plays = {name: [one.result() for one in them] for name, them in found.items()}
            print(table(f"{Path(scene).stem}, simulated", plays), flush=True)


def measure_days(options: argparse.Namespace, folder: Path) -> None:
    site, day = options.what
    plays: dict[str, list[dict[str, float]]] = {}
    for number, (name, variant) in enumerate(select_variants(options.variant, ("choice", "bench")).items()):
        source_folder = copy(variant, folder / str(number))
        subprocess.run(["git", "init", "-q", str(source_folder)], check=True)
        plays[name] = [
            run_day(source_folder, options.bench.resolve(), Path(site).resolve(), day, seed)
            for seed in range(options.seeds)
        ]
    print(table(f"{Path(site).stem}, {day}", plays))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", nargs="+", help="scenes; with --bench, a site file and the name of a day")
    parser.add_argument("--bench", type=Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--folder", type=Path, help="parent of the copies; default: the temporary folder")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        (measure_days if options.bench else measure_scenes)(options, Path(folder))


if __name__ == "__main__":
    main()
