"""How a replica applies committed states and differences between states."""

from random import Random

import pytest

from shedgrade.replication.disk_writer import DiskWriter
from shedgrade.replication.effects import Committed
from shedgrade.replication.messages import LogPosition
from shedgrade.replication.replica_state import ReplicaState, merge


def replica():
    """Returns a replica that has committed (2, 5) and logged up to (2, 7), and its effects."""
    effects = []
    state = ReplicaState(None, DiskWriter(effects, 1.0, 1.0), effects, ("a:1",), False, Random(1))
    state.accepted_epoch = 2
    state.log_position = LogPosition(2, 4)
    state.uncommitted.clear()
    state.change_index.reset(state.log_position)
    for sequence in (5, 6, 7):
        state.append(0.0, sequence, {f"k{sequence}": b"v"}, lambda at: None)
    state.commit(LogPosition(2, 5))
    effects.clear()
    return state, effects


LOGGED = {"k5": b"v", "k6": b"v", "k7": b"v"}


@pytest.mark.parametrize(
    ("base", "position", "expected"),
    [
        (None, (2, 9), {"n": b"1"}),  # the whole state
        ((2, 5), (2, 8), {"k5": b"v", "n": b"1"}),  # from the committed state
        # from before it: the changes also lead from the committed state
        ((2, 4), (2, 8), {"k5": b"v", "n": b"1"}),
        ((2, 7), (2, 8), {**LOGGED, "n": b"1"}),  # from the end of the log, which the primary has too
        ((2, 7), (2, 7), {**LOGGED, "n": b"1"}),
        ((2, 6), (2, 8), None),  # from a position that is neither
        ((2, 5), (2, 4), None),  # to an older position
        (None, (2, 5), None),
        (None, (1, 99), None),
    ],
)
def test_a_committed_state_is_applied_to_a_base_that_the_replica_has(base, position, expected):
    state, effects = replica()
    state.apply_committed(base and LogPosition(*base), LogPosition(*position), {"n": b"1"})
    if expected is None:
        assert effects == [] and state.committed.position == (2, 5)
    else:
        assert state.committed == (*position, expected)
        assert effects == [Committed(*position, expected)]


def test_changes_begin_at_the_newest_base_that_is_known():
    state, _ = replica()
    assert state.changes_since(LogPosition(2, 5), LogPosition(2, 6)) == ((2, 6), {"k7": b"v"})
    assert state.changes_since(LogPosition(1, 1)) == (None, LOGGED)
    base, changes = state.committed_changes_since(LogPosition(2, 5))
    assert base == (2, 5) and merge({"k5": b"v"}, changes) == state.committed.state
    assert state.committed_changes_since(LogPosition(2, 7)) == (None, {"k5": b"v"})


def test_changes_are_applied_to_the_end_of_the_log_or_to_the_committed_state():
    state, _ = replica()
    assert state.apply_delta(None, {"n": b"1", "gone": None}) == {"n": b"1"}
    assert state.apply_delta(LogPosition(2, 7), {"k6": None}) == {"k5": b"v", "k7": b"v"}
    assert state.apply_delta(LogPosition(2, 5), {"n": b"1"}) == {"k5": b"v", "n": b"1"}
    assert state.apply_delta(LogPosition(2, 6), {"n": b"1"}) is None


def test_the_committed_state_never_goes_back():
    state, effects = replica()
    for position in ((2, 5), (2, 4), (1, 9)):
        state.commit_state(LogPosition(*position), {})
    assert state.committed.position == (2, 5) and effects == []
