"""What lies in a folder of control state, for people. Changes nothing; not for a folder being written to."""

from pathlib import Path

from shedgrade.storage.files import Files
from shedgrade.storage.recovery import NOT_THERE, Recovered, StoreState, recover


def report(folder: str | Path) -> list[str]:
    """A line a file, a line a finding, and at last what a start would use. OSError if it cannot be read."""
    found = recover(Files(folder))
    lines = []
    for letter in ("a", "b"):
        lines += [slot_line(found, letter), log_line(found, letter)]
    lines += [f"finding: {finding}" for finding in found.findings]
    return [*lines, verdict(found)]


def slot_line(found: Recovered, letter: str) -> str:
    name, slot = f"slot-{letter}", found.slots[letter]
    if slot.reason == NOT_THERE:
        return f"{name}: {NOT_THERE}"
    number = f"number {slot.sequence}, " if slot.sequence >= 0 else ""
    if slot.values is None:
        return f"{name}: {number}{found.sizes[name]} bytes, not sound: {slot.reason}"
    keys = f"{len(slot.values)} keys, " + ("used" if used(found, letter) else "not used")
    return f"{name}: {number}{found.sizes[name]} bytes, sound, {keys}"


def log_line(found: Recovered, letter: str) -> str:
    name, log = f"log-{letter}", found.logs[letter]
    if log.reason in (NOT_THERE, "empty"):
        return f"{name}: {log.reason}"
    size = f"{found.sizes[name]} bytes"
    if log.base < 0:
        return f"{name}: {size}, not sound: {log.reason}"
    goes_on = log.base == found.slots[letter].sequence
    use = "of an earlier slot, not used" if not goes_on else "used" if used(found, letter) else "not used"
    sound = f"sound up to there: {log.reason}" if log.reason else "sound"
    return f"{name}: from number {log.base} to {log.last}, {size}, {len(log.changes)} records, {sound}, {use}"


def used(found: Recovered, letter: str) -> bool:
    return found.state is StoreState.SOUND and found.used == letter


def verdict(found: Recovered) -> str:
    if found.state is StoreState.EMPTY:
        return "empty: no file of control state; a first start, or a disk that was lost"
    if found.state is StoreState.DAMAGED:
        return "damaged: what was written last cannot be read; the member starts without memory"
    sizes = ", ".join(f"{key} {len(value)} bytes" for key, value in sorted(found.values.items()))
    return f"sound: number {found.sequence}, from slot-{found.used}: {sizes or 'no keys'}"
