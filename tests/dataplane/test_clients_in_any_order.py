"""Clients that send several requests, with upstreams that answer in any order or break off at any byte.

Random steps against the real front and pool (`stepped_clients`) check that each client reads its own answers,
in order, complete or visibly cut off; that resumed streams neither miss nor repeat an event; and that no
request runs twice that must not.
"""

import pytest
from hypothesis import strategies as st
from random_steps import (
    COUNT,
    STATUSES,
    believe_any_id,
    check_fault_is_found,
    check_guarantees,
    repeated,
    step,
    steps_of,
)
from stepped_clients import KINDS, EdgeWorld

from shedgrade.dataplane import engine_connection
from shedgrade.dataplane.streams import ResumableStream

PATHS = st.sampled_from(list(KINDS))
SEND = step("send", COUNT, PATHS)
SERVE = step("serve", PATHS, STATUSES)
BREAK_OFF = step("break_off", PATHS, st.integers(0, 300))
STEPS = steps_of(*repeated(SERVE, 4), *repeated(SEND, 5), *repeated(BREAK_OFF, 2))


def test_each_client_reads_its_own_answers():
    check_guarantees(EdgeWorld, STEPS)


forward_complete_events = ResumableStream.forward_events


def forward_parts(self, piece):
    """A planted fault: part of an event is forwarded, and the whole event is requested again elsewhere."""
    forward_complete_events(self, piece)
    self.output.put(self.partial_event)
    self.partial_event = b""


PLANTED = {
    "the id is not compared": (engine_connection, "attribute", believe_any_id),
    "parts of events are passed on": (ResumableStream, "forward_events", forward_parts),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_found(fault, monkeypatch):
    owner, name, planted = PLANTED[fault]
    monkeypatch.setattr(owner, name, planted)
    check_fault_is_found(EdgeWorld, STEPS)
