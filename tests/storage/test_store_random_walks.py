"""After any writes, failures, exits and power losses, a load returns the state that was guaranteed last."""

import contextlib
import errno
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from shedgrade.simulation.disk import SimulatedDisk
from shedgrade.storage import Store, StoreState, layout, store

KEYS = st.sampled_from(["configuration", "version", "evacuations", "epoch"])
LONG = st.integers(0, 3000).map(lambda size: bytes([size % 251]) * size)
VALUES = st.one_of(st.none(), st.binary(max_size=40), LONG)
GROUPS = st.dictionaries(KEYS, VALUES, max_size=3)
STEPS = st.one_of(
    st.tuples(st.just("write"), GROUPS),
    st.tuples(st.just("write"), GROUPS),
    st.tuples(st.sampled_from(["refused", "killed", "power"]), GROUPS, st.integers(0, 9)),
    st.tuples(st.just("full"), GROUPS),
    st.tuples(st.just("cut start"), st.booleans(), st.integers(0, 5)),
    st.tuples(st.sampled_from(["restart", "restart full", "power loss", "wipe"])),
)


class ProcessEndError(Exception):
    """Ends the simulated process."""


class StoreModel:
    """A store on a simulated disk, and the states that it may hold.

    `base`: the state that the store continues from.
    `possible`: the states that a power loss may leave.
    `written`: whether a write has returned, or a load has found a sound state.
    `doubted`: whether a sync failed and the disk was full at the load, so that a power loss may still remove
    the state that was read.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.disk = SimulatedDisk(self.random)
        self.base, self.possible, self.written, self.doubted = {}, [{}], False, False
        self.start()

    def start(self):
        self.store = Store("simulated", files=self.disk.files)
        result = self.store.load()
        self.store.check_invariants()
        if self.written:
            assert result.state is StoreState.SOUND, result
        elif result.state is not StoreState.SOUND:
            assert result.values == {}
        assert result.values in self.possible, (result, self.possible)
        self.base = result.values
        self.doubted &= not self.store.can_append  # a load that rewrote the state made it durable
        if result.state is StoreState.SOUND and not self.doubted:
            self.possible, self.written = [self.base], True

    def merged(self, group):
        values = {**self.base, **group}
        return {key: value for key, value in values.items() if value is not None}

    def write(self, group):
        values = self.merged(group)
        self.store.write(group)
        self.store.check_invariants()
        self.base, self.possible, self.written, self.doubted = values, [values], True, False

    def full(self, group):
        self.disk.full = True
        self.attempt(group)
        self.disk.full = False

    def attempt(self, group):
        try:
            self.write(group)
        except (OSError, ProcessEndError):
            self.possible.append(self.merged(group))
        self.store.check_invariants()

    def attempt_with_fault(self, error, group, calls):
        remaining = [calls]

        def fail_operation(operation, name):
            remaining[0] -= 1
            if remaining[0] < 0:
                if operation == "sync" and isinstance(error, OSError):
                    self.doubted = True
                raise error

        self.disk.on_operation = fail_operation
        self.attempt(group)
        self.disk.on_operation = None

    def refused(self, group, calls):
        self.attempt_with_fault(OSError(errno.EIO, "refused"), group, calls)

    def killed(self, group, calls):
        self.attempt_with_fault(ProcessEndError(), group, calls)
        self.start()

    def power(self, group, calls):
        self.attempt_with_fault(ProcessEndError(), group, calls)
        self.power_loss()

    def cut_start(self, power, calls):
        """The process ends during a load, or the power is lost."""
        remaining = [calls]

        def fail_operation(operation, name):
            remaining[0] -= 1
            if remaining[0] < 0:
                raise ProcessEndError

        self.disk.on_operation = fail_operation
        with contextlib.suppress(ProcessEndError):
            self.start()
        self.disk.on_operation = None
        if power:
            self.power_loss()
        else:
            self.start()

    def power_loss(self):
        self.disk.power_loss(self.random)
        self.doubted = False
        self.start()

    def restart(self):
        self.start()

    def restart_full(self):
        self.disk.full = True
        self.start()
        self.disk.full = False

    def wipe(self):
        self.disk.wipe()
        self.written, self.possible, self.doubted = False, [{}], False
        self.start()
        assert self.store.load().state is StoreState.EMPTY

    def step(self, kind, *rest):
        getattr(self, kind.replace(" ", "_"))(*rest)


def play(seed, steps):
    model = StoreModel(seed)
    for step in steps:
        model.step(*step)
    model.write({"last": b"word"})
    model.power_loss()


@settings(max_examples=400, deadline=None)
@given(st.integers(0, 2**32), st.lists(STEPS, max_size=25))
@example(0, [("refused", {"version": b"1"}, 2), ("power loss",)])
def test_a_load_returns_the_last_completed_write_or_the_one_in_flight(seed, steps):
    play(seed, steps)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 2**32), st.lists(STEPS, max_size=40), st.integers(1, 4))
def test_a_load_returns_the_same_with_logs_so_short_that_slots_change_often(seed, steps, records):
    usual, store.MAX_LOG_RECORDS = store.MAX_LOG_RECORDS, records
    try:
        play(seed, steps)
    finally:
        store.MAX_LOG_RECORDS = usual


def states_after_power_loss(calls, groups, seeds=range(40)):
    """Writes the groups and cuts the power at each call of the last write. Returns the states found."""
    result = set()
    for seed in seeds:
        for cut in range(calls):
            model = StoreModel(seed)
            for group in groups[:-1]:
                model.write(group)
            model.power(groups[-1], cut)
            result.add(tuple(sorted(model.base.items())))
    return result


def test_power_lost_at_every_call_of_a_log_record_leaves_all_or_nothing():
    before, after = {"a": b"1"}, {"a": b"2" * 3000, "b": b"3"}
    assert states_after_power_loss(4, [before, {"x": None}, after]) == {
        tuple(sorted(before.items())),
        tuple(sorted(after.items())),
    }


def test_power_lost_at_every_call_of_a_slot_leaves_all_or_nothing():
    groups = [{"a": b"1" * 70_000}, {"a": b"2" * 70_000}, {"a": b"3" * 70_000, "b": b"4"}]
    assert states_after_power_loss(4, groups) == {(("a", groups[1]["a"]),), tuple(sorted(groups[2].items()))}


def test_records_of_an_earlier_log_after_a_new_first_record_are_not_applied(monkeypatch):
    monkeypatch.setattr(store, "MAX_LOG_RECORDS", 3)
    # all records have the same size
    groups = [{key: b"%d" % number} for number, key in enumerate("abcdefgh")]
    cleared, result = [dict.fromkeys("abcdefgh")], set()
    for seed in range(60):
        model = StoreModel(seed)
        for group in [*groups, *cleared]:  # slot-a, its log, slot-b, its log, an empty slot-a
            model.write(group)
        assert layout.decode_log(model.disk.contents()["log-a"]).last_lsn < model.store.lsn
        model.power({"z": b"9"}, 2)  # the first record of log-a: written, but not synced
        result.add(tuple(model.base.items()))
    assert result == {(), (("z", b"9"),)}


def test_power_lost_during_the_first_write_leaves_no_state_or_the_write():
    states = set()
    for seed in range(60):
        for cut in range(12):
            model = StoreModel(seed)
            model.power({"a": b"1" * 900}, cut)
            states.add((model.store.load().state, bool(model.base)))
    assert states == {(StoreState.EMPTY, False), (StoreState.DAMAGED, False), (StoreState.SOUND, True)}
