"""Recovers the state from the files in a folder. Reads only; used by `Store` and by `storage check`."""

from dataclasses import dataclass, field
from enum import StrEnum

from shedgrade.findings import Finding
from shedgrade.storage import layout
from shedgrade.storage.files import Folder

OTHER_SLOT = {"a": "b", "b": "a"}
FILE_NAMES = ("slot-a", "log-a", "slot-b", "log-b")
MISSING = "not there"
EMPTY = "empty"


class StoreState(StrEnum):
    """State of a folder.

    `EMPTY`: no file of the store exists.
    `SOUND`: the values are those of the last write.
    `DAMAGED`: files exist, but the last write can't be read. This is neither a first start nor a usable
    state.
    """

    EMPTY = "empty"
    SOUND = "sound"
    DAMAGED = "damaged"


@dataclass(slots=True)
class RecoveredFolder:
    """Content of a folder.

    `values`: empty unless the state is SOUND.
    `findings`: the problems found.
    `active_slot`: "a" or "b", whose snapshot and log are in use; "" if neither slot can be read.
    `lsn`: LSN of the last write in `values`.
    `highest_lsn`: no file has a higher LSN.
    `newer_version`: whether a file was written by a later version of the format.
    `file_sizes`: size of the files in bytes, by name.
    `slots`, `logs`: content of the slots and logs, by letter.
    """

    state: StoreState = StoreState.EMPTY
    values: dict[str, bytes] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)
    active_slot: str = ""
    lsn: int = 0
    highest_lsn: int = 0
    newer_version: bool = False
    file_sizes: dict[str, int] = field(default_factory=dict)
    slots: dict[str, layout.SlotContent] = field(default_factory=dict)
    logs: dict[str, layout.LogContent] = field(default_factory=dict)


def recover(files: Folder) -> RecoveredFolder:
    """Reads a folder. Raises OSError if the disk can't be read, and nothing else, whatever the files hold."""
    folder = RecoveredFolder()
    present = set(files.names()).intersection(FILE_NAMES)
    for letter in OTHER_SLOT:
        folder.slots[letter] = layout.SlotContent(damage=MISSING)
        folder.logs[letter] = layout.LogContent(damage=MISSING)
        slot_name, log_name = f"slot-{letter}", f"log-{letter}"
        if slot_name in present:
            data = files.read(slot_name)
            folder.file_sizes[slot_name] = len(data)
            folder.slots[letter] = layout.decode_slot(data)
        if log_name in present:
            data = files.read(log_name)
            folder.file_sizes[log_name] = len(data)
            folder.logs[letter] = layout.decode_log(data)
    if present:
        select_state(folder)
    return folder


def select_state(folder: RecoveredFolder) -> None:
    """Selects the sound slot with the highest LSN, and applies the records of its own log.

    The state is DAMAGED even so if a log has a higher LSN: a log begins only after its slot is synced, and a
    record is written only after the previous one is synced. A write in flight leaves at most one torn record
    at the end, or a torn slot beside the other slot's log. Anything more means that an acknowledged write is
    lost.
    """
    slots, logs = folder.slots, folder.logs
    newer_slot = any(slot.newer_version for slot in slots.values())
    folder.newer_version = newer_slot or any(log.newer_version for log in logs.values())
    highest_logged = max(max(log.last_lsn, log.lsn_after_damage) for log in logs.values())
    folder.highest_lsn = max(0, highest_logged, *(slot.lsn for slot in slots.values()))
    for letter, slot in slots.items():
        if slot.values is None and slot.damage not in (MISSING, EMPTY):
            folder.findings.append(Finding(f"slot-{letter}", slot.damage))
    folder.state = StoreState.DAMAGED
    sound = [letter for letter, slot in slots.items() if slot.values is not None]
    if sound:
        replay_log(folder, max(sound, key=lambda letter: slots[letter].lsn), highest_logged)
    else:
        folder.findings.append(Finding("slots", "no slot can be read"))
    if folder.newer_version:
        folder.findings.append(Finding("slots", "a file is of a later version and is not overwritten"))


def replay_log(folder: RecoveredFolder, letter: str, highest_logged: int) -> None:
    """Activates this slot and applies its log, unless a log shows an LSN above both."""
    slot, log = folder.slots[letter], folder.logs[letter]
    folder.active_slot = letter
    folder.lsn = slot.lsn
    changes: list[layout.Changes] = []
    if log.base_lsn == slot.lsn:
        changes = log.changes
        folder.lsn += len(changes)
        if log.damage:
            folder.findings.append(Finding(f"log-{letter}", f"{log.damage}; used up to {log.last_lsn}"))
    if highest_logged > folder.lsn:
        text = f"number {highest_logged} was written, only {folder.lsn} can be read"
        folder.findings.append(Finding("slots", text))
    elif not folder.newer_version:
        folder.state = StoreState.SOUND
        folder.values = dict(slot.values or {})
        for change in changes:
            layout.apply_changes(folder.values, change)
