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
COPIED_PATHS = ("conftest.py", "deploy", "docs", "pyproject.toml", "shedgrade", "tests", "tools")
TEST_TIMEOUT_S = 120.0  # for one test; a test that exceeds it has failed, so its mutant is killed
ResultT = TypeVar("ResultT")
TESTS_FAILED_STATUS = 1  # exit status of pytest if a test failed


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
class MutantResult:
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
    """A copy of the repository to which one mutant at a time is applied. `write_count`: number of writes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.write_count = 0
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy2(source, folder / name)

    def write(self, file: str, text: str) -> None:
        """Writes a module with a new modification time, so that Python does not reuse its old bytecode."""
        self.write_count += 1
        path = self.folder / file
        path.write_text(text)
        modified_at = path.stat().st_mtime + 10.0 * self.write_count
        os.utime(path, (modified_at, modified_at))

    def passes(self, test: str) -> bool | None:
        """Returns whether the test passes in this copy; None if it could not be run."""
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
        try:
            done = subprocess.run(command, cwd=self.folder, capture_output=True, timeout=TEST_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return False
        return {0: True, TESTS_FAILED_STATUS: False}.get(done.returncode)

    def run_mutant(self, mutant: Mutant) -> MutantResult:
        """Applies the change, runs its test and reverts the change."""
        text = (ROOT / mutant.file).read_text()
        if text.count(mutant.before) != 1:
            return MutantResult(
                mutant, f"{mutant.file}: text to replace found {text.count(mutant.before)} times, not once"
            )
        self.write(mutant.file, text.replace(mutant.before, mutant.after))
        passed = self.passes(mutant.killer)
        self.write(mutant.file, text)
        if passed is None:
            return MutantResult(mutant, f"{mutant.killer} could not be run")
        return MutantResult(mutant, f"survives {mutant.killer}" if passed else "")


def run_mutants(mutants: list[Mutant], jobs: int) -> Iterator[MutantResult]:
    """Yields a result for each test that fails without any change, then one for each mutant in order."""
    with tempfile.TemporaryDirectory(prefix="mutants-") as folder:
        copies: Queue[ScratchCopy] = Queue()
        for number in range(jobs):
            copy_folder = Path(folder, str(number))
            copy_folder.mkdir()
            copies.put(ScratchCopy(copy_folder))

        def with_copy(call: Callable[[ScratchCopy], ResultT]) -> ResultT:
            copy = copies.get()
            try:
                return call(copy)
            finally:
                copies.put(copy)

        def passes(mutant: Mutant) -> bool | None:
            return with_copy(lambda copy: copy.passes(mutant.killer))

        def run_mutant(mutant: Mutant) -> MutantResult:
            return with_copy(lambda copy: copy.run_mutant(mutant))

        with ThreadPoolExecutor(jobs) as pool:
            one_mutant_per_killer = list({mutant.killer: mutant for mutant in mutants}.values())
            for mutant, passed in zip(
                one_mutant_per_killer, pool.map(passes, one_mutant_per_killer), strict=True
            ):
                if not passed:
                    yield MutantResult(mutant, f"{mutant.killer} does not pass without the change")
            yield from pool.map(run_mutant, mutants)


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
    results = list(run_mutants(mutants, options.jobs))
    problems = [result for result in results if result.problem]
    for result in problems:
        print(f"{result.mutant.name}: {result.problem}")
    killed = sum(not result.problem for result in results)
    print(f"{killed} of {len(mutants)} mutants killed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
