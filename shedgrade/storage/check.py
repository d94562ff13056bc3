"""Human-readable report on a folder of control state. Reads only; the folder must not be in use."""

from pathlib import Path

from shedgrade.storage.files import Files
from shedgrade.storage.layout import UNKNOWN_LSN
from shedgrade.storage.recovery import EMPTY, MISSING, RecoveredFolder, StoreState, recover


def report(path: str | Path) -> list[str]:
    """Returns a line per file, a line per finding, and last what a start would load.

    Raises OSError if the folder cannot be read.
    """
    folder = recover(Files(path))
    lines = []
    for letter in ("a", "b"):
        lines += [slot_line(folder, letter), log_line(folder, letter)]
    lines += [f"finding: {finding}" for finding in folder.findings]
    return [*lines, summary(folder)]


def slot_line(folder: RecoveredFolder, letter: str) -> str:
    """Describes one slot, and whether a start would load it."""
    name, slot = f"slot-{letter}", folder.slots[letter]
    if slot.damage == MISSING:
        return f"{name}: {MISSING}"
    number = f"number {slot.lsn}, " if slot.lsn != UNKNOWN_LSN else ""
    size = folder.file_sizes[name]
    if slot.values is None:
        return f"{name}: {number}{size} bytes, not sound: {slot.damage}"
    use = "used" if is_used(folder, letter) else "not used"
    return f"{name}: {number}{size} bytes, sound, {len(slot.values)} keys, {use}"


def log_line(folder: RecoveredFolder, letter: str) -> str:
    """Describes one log, and whether a start would load it."""
    name, log = f"log-{letter}", folder.logs[letter]
    if log.damage in (MISSING, EMPTY):
        return f"{name}: {log.damage}"
    size = folder.file_sizes[name]
    if log.base_lsn == UNKNOWN_LSN:
        return f"{name}: {size} bytes, not sound: {log.damage}"
    if log.base_lsn != folder.slots[letter].lsn:
        use = "of an earlier slot, not used"
    else:
        use = "used" if is_used(folder, letter) else "not used"
    sound = f"sound up to there: {log.damage}" if log.damage else "sound"
    return (
        f"{name}: from number {log.base_lsn} to {log.last_lsn}, {size} bytes, {len(log.changes)} records, "
        f"{sound}, {use}"
    )


def is_used(folder: RecoveredFolder, letter: str) -> bool:
    """Whether a start would load the values from this slot."""
    return folder.state is StoreState.SOUND and folder.active_slot == letter


def summary(folder: RecoveredFolder) -> str:
    """Describes what a start would load, in one line."""
    if folder.state is StoreState.EMPTY:
        return "empty: no file of control state; a first start, or a disk that was lost"
    if folder.state is StoreState.DAMAGED:
        return "damaged: what was written last cannot be read; the member starts without memory"
    sizes = ", ".join(f"{key} {len(value)} bytes" for key, value in sorted(folder.values.items()))
    return f"sound: number {folder.lsn}, from slot-{folder.active_slot}: {sizes or 'no keys'}"
