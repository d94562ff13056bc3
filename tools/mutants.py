"""Applies listed mutants to the program, each of which a named test must kill.

    python -m tools.mutants [--jobs N] [FILE]

`tests/mutants.toml` lists the mutants: a small change to one file, and the test that must fail with it. Each
change is applied in a scratch copy of the repository, where only its test is run. The exit status is 1 if a
mutant survives, a change no longer applies, or a test fails without the change.

Full runs of a mutation testing tool (`docs/mutants.md`) take hours; this list keeps the mutants they found.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from queue import Queue
from typing import TypeVar

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("conftest.py", "deploy", "docs", "pyproject.toml", "shedgrade", "tests", "tools")
TIMEOUT_S = 120.0  # for one test; a test that exceeds it has failed, so its mutant is killed
ResultT = TypeVar("ResultT")
FAILED = 1  # exit status of pytest if a test failed


class MutantListError(Exception):
    """The list of mutants is malformed; the message says where."""


@dataclass(frozen=True)
class Mutant:
    """One change to one file.

    Attributes:
        name: unique name of the mutant.
        file: path of the file, relative to the repository.
        before: text that is replaced; it occurs exactly once in the file.
        after: text that replaces it.
        killer: node id of the test that must fail with the change.
    """

    name: str
    file: str
    before: str
    after: str
    killer: str


@dataclass(frozen=True)
class Verdict:
    """Result for one mutant. `problem`: why it was not killed, empty if it was."""

    mutant: Mutant
    problem: str


def read_mutants(path: Path) -> list[Mutant]:
    """Reads the list. Raises MutantListError if a mutant has a wrong set of fields, or two share a name."""
    mutants = []
    for number, table in enumerate(tomllib.loads(path.read_text()).get("mutant", []), 1):
        try:
            mutants.append(Mutant(**table))
        except TypeError as error:
            raise MutantListError(f"mutant {number}: {error}") from error
    names = [mutant.name for mutant in mutants]
    if len(set(names)) < len(names):
        raise MutantListError("two mutants have the same name")
    return mutants


class ScratchCopy:
    """A copy of the repository to which one mutant at a time is applied. `changes`: number of writes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.changes = 0
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy2(source, folder / name)

    def write(self, file: str, text: str) -> None:
        """Writes a module with a new modification time, so that Python does not reuse its old bytecode."""
        self.changes += 1
        path = self.folder / file
        path.write_text(text)
        changed_at = path.stat().st_mtime + 10.0 * self.changes
        os.utime(path, (changed_at, changed_at))

    def passes(self, test: str) -> bool | None:
        """Returns whether the test passes in this copy; None if it could not be run."""
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
        try:
            done = subprocess.run(command, cwd=self.folder, capture_output=True, timeout=TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return False
        return {0: True, FAILED: False}.get(done.returncode)

    def judge(self, mutant: Mutant) -> Verdict:
        """Applies the change, runs its test and reverts the change."""
        text = (ROOT / mutant.file).read_text()
        if text.count(mutant.before) != 1:
            return Verdict(
                mutant, f"{mutant.file}: text to replace found {text.count(mutant.before)} times, not once"
            )
        self.write(mutant.file, text.replace(mutant.before, mutant.after))
        passed = self.passes(mutant.killer)
        self.write(mutant.file, text)
        if passed is None:
            return Verdict(mutant, f"{mutant.killer} could not be run")
        return Verdict(mutant, f"survives {mutant.killer}" if passed else "")


def judge_all(mutants: list[Mutant], jobs: int) -> Iterator[Verdict]:
    """Yields a result for each test that fails without any change, then one for each mutant in order."""
    with tempfile.TemporaryDirectory(prefix="mutants-") as folder:
        copies: Queue[ScratchCopy] = Queue()
        for number in range(jobs):
            place = Path(folder, str(number))
            place.mkdir()
            copies.put(ScratchCopy(place))

        def in_a_copy(call: Callable[[ScratchCopy], ResultT]) -> ResultT:
            copy = copies.get()
            try:
                return call(copy)
            finally:
                copies.put(copy)

        def passes(mutant: Mutant) -> bool | None:
            return in_a_copy(lambda copy: copy.passes(mutant.killer))

        def judge(mutant: Mutant) -> Verdict:
            return in_a_copy(lambda copy: copy.judge(mutant))

        with ThreadPoolExecutor(jobs) as pool:
            one_by_killer = list({mutant.killer: mutant for mutant in mutants}.values())
            for mutant, passed in zip(one_by_killer, pool.map(passes, one_by_killer), strict=True):
                if not passed:
                    yield Verdict(mutant, f"{mutant.killer} does not pass without the change")
            yield from pool.map(judge, mutants)


def main(arguments: list[str] | None = None) -> int:
    """Prints each problem and the number of mutants killed. Returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", nargs="?", type=Path, default=ROOT / "tests" / "mutants.toml")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args(arguments)
    try:
        mutants = read_mutants(options.file)
    except (OSError, ValueError, MutantListError) as error:
        print(f"{options.file}: {error}")
        return 1
    verdicts = list(judge_all(mutants, options.jobs))
    problems = [verdict for verdict in verdicts if verdict.problem]
    for verdict in problems:
        print(f"{verdict.mutant.name}: {verdict.problem}")
    killed = sum(not verdict.problem for verdict in verdicts)
    print(f"{killed} of {len(mutants)} mutants killed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
