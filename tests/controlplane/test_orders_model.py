"""Operators ordering all at once, seeds of `orders_model.py`; faults planted that it must find.

Many seeds: `SEEDS=1000 python -m pytest -q tests/controlplane/test_orders_model.py`.
"""

import os

import msgspec
import orders_model
import pytest

from shedgrade.controlplane import channels, deduplication, orders
from shedgrade.controlplane.channels import Outcome
from shedgrade.controlplane.deduplication import Past
from shedgrade.controlplane.ordering import Submission, ZoneSubmission
from shedgrade.replication.effects import Decision

SEEDS = int(os.environ.get("SEEDS", "12"))
FOUND_WITHIN = 24  # seeds


@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_is_broken(seed):
    history = orders_model.run(seed)
    assert orders_model.check(history) == []
    assert sum(put.status == 200 for put in history.puts) > 2


def test_the_same_seed_plays_the_same():
    assert orders_model.run(7) == orders_model.run(7)


# --- planted faults


def on_current(state, order):
    """The order, as if it had built on the newest state."""
    if not isinstance(order, orders.ZoneOrder):
        return msgspec.structs.replace(order, base=int(state.get("version") or 0))
    return msgspec.structs.replace(order, revision=orders.zone_revisions(state).get(order.zone, 0))


def decides(monkeypatch, change):
    """Deciding goes by way of `change(state, order, decide)`."""
    real = orders.make_decide

    def make(zones):
        decide = real(zones)
        return lambda state, order: change(state, order, decide)

    monkeypatch.setattr("control_net.make_decide", make)


def base_not_compared(monkeypatch):
    decides(
        monkeypatch,
        lambda state, order, decide: decide(
            state, order if isinstance(order, orders.ZoneOrder) else on_current(state, order)
        ),
    )


def zones_unconditional(monkeypatch):
    decides(
        monkeypatch,
        lambda state, order, decide: decide(
            state, on_current(state, order) if isinstance(order, orders.ZoneOrder) else order
        ),
    )


def known_by_number_alone(monkeypatch):
    def change(state, order, decide):
        if not isinstance(order, orders.ZoneOrder) and order.version == int(state.get("version") or 0):
            return Decision({}, orders.Reply(200))
        return decide(state, order)

    decides(monkeypatch, change)


def forgotten_is_refused(monkeypatch):
    real = deduplication.past

    def past(state, version, raw):
        newest = int(state.get("version") or 0)
        return Past.NEVER_ACCEPTED if version < newest - 4 else real(state, version, raw)

    monkeypatch.setattr("shedgrade.controlplane.orders.deduplication.past", past)


def callers_trusted_to_wait(monkeypatch):
    monkeypatch.setattr(ZoneSubmission, "waited_for", lambda self: True)


def reads_from_memory(monkeypatch):
    real = Submission.attempt

    def attempt(self):
        if self.order is None:
            self.finish(Outcome(None, channels.read_response(self.ordering.member.committed.state)))
        else:
            real(self)

    monkeypatch.setattr(Submission, "attempt", attempt)


FAULTS = (
    base_not_compared,
    zones_unconditional,
    known_by_number_alone,
    forgotten_is_refused,
    callers_trusted_to_wait,
    reads_from_memory,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_planted_faults_are_found(monkeypatch, fault):
    real = deduplication.past
    fault(monkeypatch)
    for seed in range(FOUND_WITHIN):
        history = orders_model.run(seed)
        with monkeypatch.context() as whole:
            whole.setattr("shedgrade.controlplane.deduplication.past", real)
            if orders_model.check(history):
                return
    raise AssertionError(f"not found within {FOUND_WITHIN} seeds")
