"""From what lies in a folder to the state it holds. Only reads; `Store` and `storage check` use it."""

from dataclasses import dataclass, field
from enum import StrEnum

from shedgrade.findings import Finding
from shedgrade.storage import layout

OTHER = {"a": "b", "b": "a"}
NAMES = ("slot-a", "log-a", "slot-b", "log-b")
NOT_THERE = "not there"


class StoreState(StrEnum):
    """`EMPTY`: no file of ours. `SOUND`: the values are the last ones written. `DAMAGED`: files are there,
    but what was written last cannot be read: neither a first start nor a member that remembers.
    """

    EMPTY = "empty"
    SOUND = "sound"
    DAMAGED = "damaged"


@dataclass(slots=True)
class Recovered:
    """What a folder holds.

    `values`: empty unless sound. `used`: "a" or "b", the slot in use; "" if none can be read. `sequence`: of
    the values. `highest`: no file has a sequence number over it. `newer`: a file is of a later version of the
    format. `sizes`: bytes of our files, by name.
    """

    state: StoreState = StoreState.EMPTY
    values: dict[str, bytes] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)
    used: str = ""
    sequence: int = 0
    highest: int = 0
    newer: bool = False
    sizes: dict[str, int] = field(default_factory=dict)
    slots: dict[str, layout.Slot] = field(default_factory=dict)
    logs: dict[str, layout.Log] = field(default_factory=dict)


def recover(files) -> Recovered:
    """Reads the folder. OSError if the disk cannot be read; nothing else, whatever the files hold."""
    found, there = Recovered(), set(files.names()).intersection(NAMES)
    for letter in OTHER:
        found.slots[letter], found.logs[letter] = layout.Slot(reason=NOT_THERE), layout.Log(reason=NOT_THERE)
        slot, log = f"slot-{letter}", f"log-{letter}"
        if slot in there:
            data = files.read(slot)
            found.sizes[slot], found.slots[letter] = len(data), layout.read_slot(data)
        if log in there:
            data = files.read(log)
            found.sizes[log], found.logs[letter] = len(data), layout.read_log(data)
    if there:
        decide(found)
    return found


def decide(found: Recovered) -> None:
    """The newer sound slot wins, with the records of its own log.

    It is damaged all the same if a log has a higher number: a log begins only after its slot is synced, and a
    record is written only after the one before it is. A write in flight leaves one torn record at the end, or
    a torn slot beside a log of before; what shows more than that was once promised, and is lost.
    """
    slots, logs = found.slots, found.logs
    newer_slot = any(slot.newer for slot in slots.values())
    found.newer = newer_slot or any(log.newer for log in logs.values())
    logged = max(max(log.last, log.beyond) for log in logs.values())
    found.highest = max(0, logged, *(slot.sequence for slot in slots.values()))
    for letter, slot in slots.items():
        if slot.values is None and slot.reason not in (NOT_THERE, "empty"):
            found.findings.append(Finding(f"slot-{letter}", slot.reason))
    found.state = StoreState.DAMAGED
    sound = [letter for letter, slot in slots.items() if slot.values is not None]
    if sound:
        use(found, max(sound, key=lambda letter: slots[letter].sequence), logged)
    else:
        found.findings.append(Finding("slots", "none can be read"))
    if found.newer:
        found.findings.append(Finding("slots", "a file is of a later version and is not written over"))


def use(found: Recovered, letter: str, logged: int) -> None:
    """Takes the values of this slot and of its log, unless a log has shown a number beyond them."""
    slot, log = found.slots[letter], found.logs[letter]
    found.used, found.sequence = letter, slot.sequence
    changes = []
    if log.base == slot.sequence:
        changes = log.changes
        found.sequence += len(changes)
        if log.reason:
            found.findings.append(Finding(f"log-{letter}", f"{log.reason}; used up to {log.last}"))
    if logged > found.sequence:
        text = f"{logged} was written once, only {found.sequence} can be read"
        found.findings.append(Finding("slots", text))
    elif not found.newer:
        found.state, found.values = StoreState.SOUND, dict(slot.values or {})
        for change in changes:
            layout.apply(found.values, change)
