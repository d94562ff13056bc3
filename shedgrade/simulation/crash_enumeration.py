"""Changes of a replica's store, and what each loss of power among them may leave, by enumeration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from shedgrade.simulation.crash_points import (
    Contents,
    CrashImage,
    Recorder,
    disk_at,
    disk_with,
    survivors,
)
from shedgrade.simulation.disk import SimulatedDisk, SimulatedFiles
from shedgrade.storage import LoadResult, Store, StoreState
from shedgrade.storage.layout import apply_changes

RESTART_EVERY = 97  # changes


def change_of(number: int) -> dict[str, bytes | None]:
    """Change `number` from 1 on. Each names its position in two keys, so that a mix of two is seen."""
    changes: dict[str, bytes | None] = {
        "state/version": b"%d" % number,
        "replication/place": b"%d" % number,
        f"state/taken/{number % 5}": b"%d" % number,
    }
    if number % 3 == 0:
        changes["state/configuration"] = b"%04d" % number * (100 if number % 9 else 300)
    if number % 11 == 0:
        changes[f"state/taken/{(number + 2) % 5}"] = None
    return changes


def expected_states(changes: int) -> list[dict[str, bytes]]:
    """The whole map after each change; the first is empty."""
    found: list[dict[str, bytes]] = [{}]
    for number in range(1, changes + 1):
        values = dict(found[-1])
        apply_changes(values, change_of(number))
        found.append(values)
    return found


def described(image: CrashImage) -> str:
    """Where a crash struck, for a finding."""
    return f"{image.operation}, {image.step} acknowledged"


def open_store(files: SimulatedFiles) -> Store:
    """The program's own store on simulated files."""
    return Store("simulated", files=files)


@dataclass
class CrashReport:
    """What was played and found.

    Attributes:
        violations: as text.
        first: losses of power that were played; `second`: those in the recovery from one.
        deaths: of the process alone, each with a start and then a loss of power.
    """

    violations: list[str] = field(default_factory=list)
    first: int = 0
    second: int = 0
    deaths: int = 0


class CrashEnumeration:
    """Each operation on files of `changes` changes and some restarts is a crash point.

    Each `second_every`-th content that a first loss leaves has a second loss at every operation of the start
    after it. `make_store(files)` opens the store under test."""

    def __init__(
        self, changes: int, second_every: int, make_store: Callable[[SimulatedFiles], Store] = open_store
    ) -> None:
        self.changes = changes
        self.second_every = second_every
        self.make_store = make_store
        self.expected = expected_states(changes)
        self.report = CrashReport()

    def play(self, to_first_finding: bool = False) -> CrashReport:
        """Plays all crash points, or up to the first finding."""
        checked: set[tuple[int, int]] = set()
        for image in self.record():
            if any(file.pending for file in image.files.values()):
                self.play_death(image)
            for contents in survivors(image):
                if not add_if_new(checked, image.step, contents):
                    continue
                self.report.first += 1
                self.check(contents, image, "first loss")
                if self.report.first % self.second_every == 0:
                    self.play_second(contents, image.step)
                if to_first_finding and self.report.violations:
                    return self.report
        return self.report

    def play_second(self, contents: Contents, step: int) -> None:
        """Power is lost again at each operation of the recovery from the first loss."""
        checked: set[tuple[int, int]] = set()
        disk = disk_with(contents)
        recorder = Recorder(disk)
        recorder.step = step
        self.make_store(disk.files).load()
        disk.files.sync_folder()
        for image in recorder.stop():
            for left in survivors(image):
                if add_if_new(checked, step, left):
                    self.report.second += 1
                    self.check(left, image, "second loss")

    def play_death(self, image: CrashImage) -> None:
        """The process ends and another starts: what that one reads is there after each loss of power."""
        self.report.deaths += 1
        disk = disk_at(image)
        loaded = self.make_store(disk.files).load()
        recorder = Recorder(disk)
        disk.files.sync_folder()
        for after in recorder.stop():
            for contents in survivors(after):
                found = self.make_store(disk_with(contents).files).load()
                if found.values != loaded.values:
                    self.report.violations.append(
                        f"death before {described(image)}: what a start read is gone after a loss of power"
                    )
        finding = self.state_finding(loaded, image.step)
        if finding:
            self.report.violations.append(f"death before {described(image)}: {finding}")

    def record(self) -> list[CrashImage]:
        """An image before each operation; `step` is the number of changes acknowledged by then."""
        disk = SimulatedDisk(Random(0))
        recorder, store = Recorder(disk), self.make_store(disk.files)
        store.load()
        for number in range(1, self.changes + 1):
            if number % RESTART_EVERY == 0:
                store = self.make_store(disk.files)
                store.load()
            store.write(change_of(number))
            recorder.step = number
        disk.files.sync_folder()  # a last image, after all
        return recorder.stop()

    def check(self, contents: Contents, image: CrashImage, loss: str) -> None:
        """Adds what is wrong with the state that is found after a loss."""
        finding = self.finding(contents, image.step)
        if finding:
            self.report.violations.append(f"{loss} before {described(image)}: {finding}")

    def finding(self, contents: Contents, step: int) -> str | None:
        """What is wrong with the state that a start finds there, reads and keeps; None if nothing."""
        disk = disk_with(contents)
        found = self.make_store(disk.files).load()
        finding = self.state_finding(found, step)
        if finding or found.state is not StoreState.SOUND:
            return finding
        again = self.make_store(disk.files).load()
        return None if again.values == found.values else "a second start finds another state"

    def state_finding(self, found: LoadResult, step: int) -> str | None:
        """What is wrong with a found state: it must be the last acknowledged one or the next."""
        if found.state is not StoreState.SOUND:
            return None if step == 0 and not found.values else f"{found.state}"
        if found.values in self.expected[step : step + 2]:
            return None
        return f"found {found.values.get('state/version')!r}, or a mix"


def add_if_new(checked: set[tuple[int, int]], step: int, contents: Contents) -> bool:
    """Whether these contents were not checked yet after `step` acknowledged changes."""
    known = len(checked)
    checked.add((step, hash(tuple(sorted(contents.items())))))
    return len(checked) > known
