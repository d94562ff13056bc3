"""Power loss at every operation of 500 changes, by enumeration: a start finds at least the last acknowledged
state and never a mix of two, and faults planted in the store are found.

CI plays a second loss for each 20th content that a first one leaves; `benchmarks/crash_points.py 500` plays
it for all of them.
"""

import pytest

from shedgrade.simulation.crash_enumeration import CrashEnumeration
from shedgrade.simulation.crash_points import CrashImage, FileImage, survivors
from shedgrade.simulation.disk import SECTOR_BYTES
from shedgrade.storage import Store, recovery, store


@pytest.fixture(autouse=True)
def short_logs(monkeypatch):
    """Makes the slots change often within few changes."""
    monkeypatch.setattr(store, "MAX_LOG_RECORDS", 16)


def test_at_every_loss_of_power_in_500_changes_the_last_acknowledged_state_or_the_next_is_found():
    report = CrashEnumeration(500, second_every=20).play()
    assert report.violations == []
    assert report.first > 5_000 and report.second > 2_500 and report.deaths > 500


class SyncsNoRecord(Store):
    def append_record(self, changes):
        sync, self.files.sync = self.files.sync, lambda name: None
        try:
            return super().append_record(changes)
        finally:
            self.files.sync = sync


class SyncsNoSlot(Store):
    def write_snapshot(self, values):
        sync, self.files.sync = self.files.sync, lambda name: None
        try:
            return super().write_snapshot(values)
        finally:
            self.files.sync = sync


class SyncsNoFolder(Store):
    def write_snapshot(self, values):
        sync, self.files.sync_folder = self.files.sync_folder, lambda: None
        try:
            return super().write_snapshot(values)
        finally:
            self.files.sync_folder = sync


class OverwritesActiveSlot(Store):
    def write_snapshot(self, values):
        if self.names_durable:
            self.active_slot = recovery.OTHER_SLOT[self.active_slot]
        return super().write_snapshot(values)


class AcknowledgesBeforeDurable(Store):
    """Returns from a load without making the state durable."""

    def make_durable(self):
        self.active_synced = True


@pytest.mark.parametrize(
    "faulty", [SyncsNoRecord, SyncsNoSlot, SyncsNoFolder, OverwritesActiveSlot, AcknowledgesBeforeDurable]
)
def test_a_fault_planted_in_the_store_is_found(faulty):
    run = CrashEnumeration(100, second_every=20, make_store=lambda files: faulty("simulated", files=files))
    assert run.play(to_first_finding=True).violations


def test_a_recovery_that_prefers_the_older_slot_is_found(monkeypatch):
    select_state = recovery.select_state

    def prefer_older_slot(folder):
        sound = [letter for letter, slot in folder.slots.items() if slot.values is not None]
        if len(sound) == 2:
            newer = max(sound, key=lambda letter: folder.slots[letter].lsn)
            folder.slots[newer].values = None
            for log in folder.logs.values():
                log.changes, log.lsn_after_damage = [], -1
        select_state(folder)

    monkeypatch.setattr(recovery, "select_state", prefer_older_slot)
    assert CrashEnumeration(100, second_every=20).play(to_first_finding=True).violations


def test_a_recovery_that_applies_the_log_of_another_slot_is_found(monkeypatch):
    select_state = recovery.select_state

    def accept_any_log(folder):
        for letter, log in folder.logs.items():
            if log.base_lsn >= 0:
                log.base_lsn = folder.slots[letter].lsn
        select_state(folder)

    monkeypatch.setattr(recovery, "select_state", accept_any_log)
    assert CrashEnumeration(100, second_every=20).play(to_first_finding=True).violations


def test_survivors_are_all_combinations_of_unsynced_writes_and_new_files():
    def contents(**files):
        return list(survivors(CrashImage(files, "write", 0)))

    unsynced = FileImage(b"ab", ((0, b"X"), (3, None)), True)
    assert {each["a"] for each in contents(a=unsynced)} == {b"ab", b"Xb", b"ab\0", b"Xb\0"}
    new = FileImage(b"", (), False)
    assert len(contents(a=new, b=new)) == 4
    long = FileImage(b"", ((0, b"1" * 3 * SECTOR_BYTES),), True)
    found = {each["a"] for each in contents(a=long)}
    assert {
        b"",
        b"1" * 3 * SECTOR_BYTES,
        b"1" * SECTOR_BYTES,
        b"1" * SECTOR_BYTES + bytes(SECTOR_BYTES) + b"1" * SECTOR_BYTES,
    } <= found
