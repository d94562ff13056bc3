"""Plays changes of a replica's store and checks, by enumeration, its recovery from each loss of power."""

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

CHANGES_PER_RESTART = 97


def make_change(number: int) -> dict[str, bytes | None]:
    """Returns change `number`, from 1 on. Two keys hold its number, which reveals a mix of two states."""
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
    """Returns the whole map after each change; the first is the empty map before any."""
    states: list[dict[str, bytes]] = [{}]
    for number in range(1, changes + 1):
        values = dict(states[-1])
        apply_changes(values, make_change(number))
        states.append(values)
    return states


def describe_crash(image: CrashImage) -> str:
    """Returns the operation before which a crash happened, and the number of acknowledged changes."""
    return f"{image.operation}, {image.step} acknowledged"


def open_store(files: SimulatedFiles) -> Store:
    """Returns the program's own store on simulated files."""
    return Store("simulated", files=files)


@dataclass
class CrashReport:
    """The number of crashes that were played, and the violations found.

    Attributes:
        violations: descriptions of the violations.
        first: number of losses of power during the changes.
        second: number of losses of power during the recovery from another.
        deaths: number of process crashes, each followed by a start and a loss of power.
    """

    violations: list[str] = field(default_factory=list)
    first: int = 0
    second: int = 0
    deaths: int = 0


class CrashEnumeration:
    """Plays `changes` changes with some restarts; each operation on files is a crash point.

    For each `second_every`-th content that a first power loss leaves, also plays a second loss at every
    operation of the following start. `make_store(files)` opens the store under test.
    """

    def __init__(
        self, changes: int, second_every: int, make_store: Callable[[SimulatedFiles], Store] = open_store
    ) -> None:
        self.changes = changes
        self.second_every = second_every
        self.make_store = make_store
        self.expected = expected_states(changes)
        self.report = CrashReport()

    def play(self, to_first_finding: bool = False) -> CrashReport:
        """Plays all crash points, or stops at the first finding."""
        checked: set[tuple[int, int]] = set()
        for image in self.record():
            if any(file.pending for file in image.files.values()):
                self.play_process_crash(image)
            for contents in survivors(image):
                if not add_if_new(checked, image.step, contents):
                    continue
                self.report.first += 1
                self.check(contents, image, "first loss")
                if self.report.first % self.second_every == 0:
                    self.play_second_loss(contents, image.step)
                if to_first_finding and self.report.violations:
                    return self.report
        return self.report

    def play_second_loss(self, contents: Contents, step: int) -> None:
        """Plays a second loss of power at each operation of the recovery from the first."""
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

    def play_process_crash(self, image: CrashImage) -> None:
        """Plays a process crash: what the next start reads must survive any loss of power during it."""
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
                        f"process crash before {describe_crash(image)}: state read at start lost with power"
                    )
        finding = self.state_finding(loaded, image.step)
        if finding:
            self.report.violations.append(f"process crash before {describe_crash(image)}: {finding}")

    def record(self) -> list[CrashImage]:
        """Plays the changes; returns an image before each operation, whose `step` counts changes so far."""
        disk = SimulatedDisk(Random(0))
        recorder, store = Recorder(disk), self.make_store(disk.files)
        store.load()
        for number in range(1, self.changes + 1):
            if number % CHANGES_PER_RESTART == 0:
                store = self.make_store(disk.files)
                store.load()
            store.write(make_change(number))
            recorder.step = number
        disk.files.sync_folder()  # records an image after the last change
        return recorder.stop()

    def check(self, contents: Contents, image: CrashImage, loss: str) -> None:
        """Adds a violation if the state found after a loss is wrong."""
        finding = self.finding(contents, image.step)
        if finding:
            self.report.violations.append(f"{loss} before {describe_crash(image)}: {finding}")

    def finding(self, contents: Contents, step: int) -> str | None:
        """Returns what is wrong with the state that two successive starts find, or None."""
        disk = disk_with(contents)
        found = self.make_store(disk.files).load()
        finding = self.state_finding(found, step)
        if finding or found.state is not StoreState.SOUND:
            return finding
        again = self.make_store(disk.files).load()
        return None if again.values == found.values else "a second start finds a different state"

    def state_finding(self, found: LoadResult, step: int) -> str | None:
        """Returns what is wrong with a state, or None. It must be the last acknowledged or the next one."""
        if found.state is not StoreState.SOUND:
            return None if step == 0 and not found.values else f"{found.state}"
        if found.values in self.expected[step : step + 2]:
            return None
        return f"found version {found.values.get('state/version')!r}, or a mix of two states"


def add_if_new(checked: set[tuple[int, int]], step: int, contents: Contents) -> bool:
    """Adds the contents after `step` acknowledged changes to `checked`; returns whether they are new."""
    known = len(checked)
    checked.add((step, hash(tuple(sorted(contents.items())))))
    return len(checked) > known
