"""Clients that send several requests, with upstreams that answer in any order or break off at any byte.

Random steps against the real front and pool (`stepped_clients`) check that each client reads its own answers,
in order, complete or visibly cut off; that resumed streams neither miss nor repeat an event; and that no
request runs twice that must not.
"""

import pytest
from hypothesis import strategies as st
from random_steps import COUNT, STATUSES, believe_any_id, finds, holds, often, step, steps_of
from stepped_clients import KINDS, EdgeWorld

from shedgrade.dataplane import engine_connection
from shedgrade.dataplane.streams import ResumableStream

PATHS = st.sampled_from(list(KINDS))
SEND = step("send", COUNT, PATHS)
SERVE = step("serve", PATHS, STATUSES)
BREAK_OFF = step("break_off", PATHS, st.integers(0, 300))
STEPS = steps_of(*often(SERVE, 4), *often(SEND, 5), *often(BREAK_OFF, 2))


def test_each_client_reads_its_own_answers():
    holds(EdgeWorld, STEPS)


whole_events = ResumableStream.forward_events


def pass_on_parts(self, piece):
    """A planted fault: part of an event is forwarded, and the whole event is requested again elsewhere."""
    whole_events(self, piece)
    self.output.put(self.partial_event)
    self.partial_event = b""


PLANTED = {
    "the id is not compared": (engine_connection, "attribute", believe_any_id),
    "parts of events are passed on": (ResumableStream, "forward_events", pass_on_parts),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_found(fault, monkeypatch):
    where, name, planted = PLANTED[fault]
    monkeypatch.setattr(where, name, planted)
    finds(EdgeWorld, STEPS)
