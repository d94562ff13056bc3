"""A day of changes of a replica's store, and what each loss of power in it may leave, by enumeration."""

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


def group(number: int) -> dict[str, bytes | None]:
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


def states(changes: int) -> list[dict[str, bytes]]:
    """The whole map after each change; the first is empty."""
    found: list[dict[str, bytes]] = [{}]
    for number in range(1, changes + 1):
        values = dict(found[-1])
        apply_changes(values, group(number))
        found.append(values)
    return found


def open_store(files: SimulatedFiles) -> Store:
    return Store("simulated", files=files)


@dataclass
class CrashReport:
    """`first`: losses of power played in the day; `second`: those in the recovery from one. `deaths`: of the
    process alone, each with a start and then a loss of power."""

    wrong: list[str] = field(default_factory=list)
    first: int = 0
    second: int = 0
    deaths: int = 0


class CrashDay:
    """Each operation of `changes` changes and some restarts is a crash point.

    Each `second_every`-th content that a first loss leaves has a second loss at every operation of the start
    after it. `make_store(files)` opens the store under test."""

    def __init__(
        self, changes: int, second_every: int, make_store: Callable[[SimulatedFiles], Store] = open_store
    ):
        self.changes, self.second_every, self.make_store = changes, second_every, make_store
        self.expected = states(changes)
        self.report = CrashReport()

    def play(self, to_first_finding: bool = False) -> CrashReport:
        seen: set[tuple[int, int]] = set()
        for image in self.record():
            if any(file.pending for file in image.files.values()):
                self.play_death(image)
            for contents in survivors(image):
                if not remember(seen, image.step, contents):
                    continue
                self.report.first += 1
                self.check(contents, image, "first loss")
                if self.report.first % self.second_every == 0:
                    self.play_second(contents, image.step)
                if to_first_finding and self.report.wrong:
                    return self.report
        return self.report

    def play_second(self, contents: Contents, step: int) -> None:
        """Power is lost again at each operation of the recovery from the first loss."""
        seen: set[tuple[int, int]] = set()
        disk = disk_with(contents)
        recorder = Recorder(disk)
        recorder.step = step
        self.make_store(disk.files).load()
        disk.files.sync_folder()
        for image in recorder.stop():
            for left in survivors(image):
                if remember(seen, step, left):
                    self.report.second += 1
                    self.check(left, image, "second loss")

    def play_death(self, image: CrashImage) -> None:
        """The process ends and another starts: what that one tells is there after each loss of power."""
        self.report.deaths += 1
        disk = disk_at(image)
        told = self.make_store(disk.files).load()
        recorder = Recorder(disk)
        disk.files.sync_folder()
        for after in recorder.stop():
            for contents in survivors(after):
                found = self.make_store(disk_with(contents).files).load()
                if found.values != told.values:
                    self.report.wrong.append(
                        f"death before {image.operation}, {image.step} acknowledged: "
                        "what a start told is gone after a loss of power"
                    )
        finding = self.wrong_state(told, image.step)
        if finding:
            self.report.wrong.append(f"death before {image.operation}, {image.step} acknowledged: {finding}")

    def record(self) -> list[CrashImage]:
        """An image before each operation; `step` is the number of changes acknowledged by then."""
        disk = SimulatedDisk(Random(0))
        recorder, store = Recorder(disk), self.make_store(disk.files)
        store.load()
        for number in range(1, self.changes + 1):
            if number % RESTART_EVERY == 0:
                store = self.make_store(disk.files)
                store.load()
            store.write(group(number))
            recorder.step = number
        disk.files.sync_folder()  # a last image, after all
        return recorder.stop()

    def check(self, contents: Contents, image: CrashImage, loss: str) -> None:
        finding = self.finding(contents, image.step)
        if finding:
            self.report.wrong.append(f"{loss} before {image.operation}, {image.step} acknowledged: {finding}")

    def finding(self, contents: Contents, step: int) -> str | None:
        """What is wrong with the state that a start finds there, tells and keeps; None if nothing."""
        disk = disk_with(contents)
        found = self.make_store(disk.files).load()
        wrong = self.wrong_state(found, step)
        if wrong or found.state is not StoreState.SOUND:
            return wrong
        again = self.make_store(disk.files).load()
        return None if again.values == found.values else "a second start finds another state"

    def wrong_state(self, found: LoadResult, step: int) -> str | None:
        if found.state is not StoreState.SOUND:
            return None if step == 0 and not found.values else f"{found.state}"
        if found.values in self.expected[step : step + 2]:
            return None
        return f"found {found.values.get('state/version')!r}, or a mix"


def remember(seen: set[tuple[int, int]], step: int, contents: Contents) -> bool:
    """Whether it is new."""
    known = len(seen)
    seen.add((step, hash(tuple(sorted(contents.items())))))
    return len(seen) > known
