"""Updates that an edge can't apply: the others are applied, and the rejected ones are requested again.

Guards against a version that is lost without a sign, as it was received and never applied.
"""

from math import inf
from types import SimpleNamespace

import pytest

from shedgrade.control_messages import (
    ControlChange,
    Endpoint,
    EndpointUpdate,
    FleetView,
    WatchRequest,
    WatchResponse,
)
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.dataplane.control_client import ApplyUpdates, UpdateRejectedEvent
from shedgrade.dataplane.control_exchange import ControlExchange
from shedgrade.dataplane.received_state import NO_CONFIGURATION, NO_LIST, REJECTED_RETRY_S, ReceivedState

IN_FORCE = 3
CHANGE = ControlChange(1, 5, 5, b"configuration", ("hall-1",))
ENDPOINT = Endpoint("i-1", "lm", "127.0.0.1:80", "z1", "available")
LIST = EndpointUpdate(4, 1, 0.0, changed=(ENDPOINT,))
COUNT = FleetView(2, ("10.1.0.14:7300",))
UPDATES = (CHANGE, LIST, COUNT)
EXCEPTIONS = (
    ValueError("x"),
    TypeError("x"),
    AttributeError("x"),
    OverflowError("x"),
    IndexError("x"),
    KeyError("x"),
    ZeroDivisionError("x"),
    RecursionError("x"),
    MemoryError("x"),
    AssertionError("x"),
    UnicodeEncodeError("utf-8", "x", 0, 1, "x"),
)


class Watcher:
    """Records the events that it is given, and has one instruction."""

    def __init__(self, updates):
        self.instructions, self.events = [ApplyUpdates(updates)], []

    def take_instructions(self):
        taken, self.instructions = self.instructions, []
        return taken

    def handle_event(self, event):
        self.events.append(event)

    def wake_at(self):
        return inf


@pytest.mark.parametrize("error", EXCEPTIONS, ids=lambda error: type(error).__name__)
@pytest.mark.parametrize("failing", UPDATES, ids=lambda update: type(update).__name__)
def test_any_exception_of_one_update_is_reported_and_the_others_are_applied(failing, error):
    """Guards against a list of expected exceptions: whatever is raised, the rest of the response counts."""
    applied = []

    def apply(updates):
        if updates == (failing,):
            raise error
        applied.extend(updates)

    watcher, loop = Watcher(UPDATES), SimpleNamespace(time=lambda: 7.0)
    ControlExchange(loop, None, watcher, None, apply, lambda: IN_FORCE, None).run_instructions()
    assert applied == [update for update in UPDATES if update != failing]
    assert watcher.events == [UpdateRejectedEvent(7.0, failing, IN_FORCE)]


class Edge:
    """The received state of an edge, and a member's hub that answers its requests at once."""

    def __init__(self, configuration=5):
        self.received, self.now, self.sequence = ReceivedState(), 100.0, 0
        self.hub = WatchHub(self.now)
        self.hub.set_confirmed_at(self.now)
        self.endpoints = EndpointList(lambda: self.now)
        self.endpoints.begin_term(4)
        self.change(configuration)
        self.poll("i-1")

    def change(self, configuration, *zones):
        self.sequence += 1
        text = b'["%s"]' % b'","'.join(zones) if zones else b"[]"
        state = {"configuration": b"{}", "version": b"%d" % configuration, "evacuations": text}
        self.hub.apply_control_state(self.now, 1, self.sequence, state)

    def poll(self, *names):
        entries = [
            {
                "instanceId": name,
                "service": "lm",
                "address": "127.0.0.1:80",
                "zone": "z1",
                "state": "available",
            }
            for name in names
        ]
        self.endpoints.apply_poll(self.now, entries)
        self.hub.set_endpoint_list(self.now, self.endpoints)

    def ask(self):
        """One request and its response. Returns the updates of control state and of the list."""
        received, responses = self.received, []
        request = WatchRequest(
            SimpleNamespace(name="edge-1", incarnation=1, state="ready", shutdown_stage=0),
            received.requested_control(self.now),
            received.endpoint_list,
            0.0,
            received.configuration_version,
            received.list_age_s(self.now),
        )
        self.hub.watch(self.now, request, responses.append)
        response: WatchResponse = responses[0]
        received.take(self.now, response)
        received.release_withheld()
        received.check_invariants()
        updates, received.updates = received.updates, []
        self.known_version = request.configuration_version  # as `status` shows it
        return updates

    def reject(self, update, version_in_force):
        self.received.reject(self.now, update, version_in_force)
        self.received.check_invariants()


def control(updates):
    return [update for update in updates if isinstance(update, ControlChange)]


@pytest.mark.parametrize("in_force", [IN_FORCE, NO_CONFIGURATION])
def test_a_rejected_configuration_is_requested_again_until_it_is_applied(in_force):
    edge = Edge()
    for _ in range(3):
        (change,) = control(edge.ask())
        assert (change.configuration_version, change.configuration) == (5, b"{}")
        edge.reject(change, in_force)
        edge.now += REJECTED_RETRY_S / 2
        assert control(edge.ask()) == []  # not at once: the member answers without delay
        assert edge.known_version == in_force
        edge.now += REJECTED_RETRY_S / 2
    assert len(control(edge.ask())) == 1
    edge.now += 2 * REJECTED_RETRY_S
    assert control(edge.ask()) == [] and edge.known_version == 5


def test_a_later_change_brings_the_rejected_configuration_along():
    """It would leave out a configuration that was received, and the edge would keep the older one."""
    edge = Edge()
    (change,) = control(edge.ask())
    edge.reject(change, IN_FORCE)
    edge.change(5, b"hall-1")
    (later,) = control(edge.ask())
    assert (later.configuration, later.evacuations) == (b"{}", ("hall-1",))
    edge.now += 2 * REJECTED_RETRY_S
    assert control(edge.ask()) == []


def test_a_configuration_rejected_after_a_change_that_left_it_out_is_requested_again():
    edge = Edge()
    (first,) = control(edge.ask())
    edge.change(5, b"hall-1")
    (second,) = control(edge.ask())
    assert second.configuration is None
    edge.reject(first, IN_FORCE)  # both were received before the first was applied
    edge.now += REJECTED_RETRY_S
    (again,) = control(edge.ask())
    assert (again.configuration, again.evacuations) == (b"{}", ("hall-1",))


def test_a_rejected_configuration_that_a_newer_one_replaces_is_not_requested():
    edge = Edge()
    (first,) = control(edge.ask())
    edge.change(6)
    assert len(control(edge.ask())) == 1
    edge.reject(first, IN_FORCE)
    edge.now += 2 * REJECTED_RETRY_S
    assert control(edge.ask()) == [] and edge.known_version == 6


def test_no_older_state_is_taken_while_a_rejected_one_is_requested():
    edge = Edge()
    edge.change(5, b"hall-1")
    (change,) = control(edge.ask())
    edge.reject(change, IN_FORCE)
    older = ControlChange(1, change.sequence - 1, 5, b"{}", ())
    assert edge.received.newer_control(older) is None
    assert edge.received.newer_control(change) is not None


def test_after_a_rejected_list_the_whole_one_is_requested():
    """A delta to a list that was received and not applied would be applied to another list."""
    edge = Edge()
    edge.ask()
    edge.now += 0.4
    edge.poll("i-1", "i-2")
    (delta,) = (update for update in edge.ask() if isinstance(update, EndpointUpdate))
    assert not delta.is_full
    edge.reject(delta, IN_FORCE)
    assert edge.received.endpoint_list == NO_LIST
    edge.now += 0.4
    edge.poll("i-2")
    further = EndpointUpdate(4, 3, 0.0, 4, 2, removed=("i-1",))
    assert not edge.received.is_newer_list(edge.now, further)
    (whole,) = (update for update in edge.ask() if isinstance(update, EndpointUpdate))
    assert whole.is_full and {endpoint.id for endpoint in whole.changed} == {"i-2"}


def test_rejected_counts_are_taken_from_the_next_response():
    received = ReceivedState()
    received.take_counts(COUNT)
    received.reject(1.0, COUNT, IN_FORCE)
    received.updates = []
    received.take_counts(COUNT)
    assert received.updates == [COUNT]
