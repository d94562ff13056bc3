"""Checkers of the committed control states against operators' calls. Each returns violations, as text."""

from __future__ import annotations

from collections.abc import Sequence

from shedgrade.simulation.system.history import CommittedState, History, Operation, OperationKind

ORDERS_OF_ZONES = (OperationKind.EVACUATE, OperationKind.RETURN)
PRECONDITION_FAILED = 412

States = Sequence[CommittedState]


def check_states(states: States, history: History) -> list[str]:
    """All checks of this module. `states`: by position."""
    puts = [operation for operation in history.operations if operation.kind is OperationKind.PUT]
    violations = check_single_chain(states, puts)
    violations += check_acknowledged(states, puts)
    violations += check_refused(states, history, puts)
    violations += check_zones(states, history)
    if not states:
        return [*violations, "nothing was ever committed"]
    return violations + check_final_version(states[-1], puts) + check_final_zones(states[-1], history)


def check_single_chain(states: States, puts: list[Operation]) -> list[str]:
    """Versions only grow from state to state, and each change was made on top of the one before it."""
    violations: list[str] = []
    version, key = 0, ""
    bases: dict[tuple[int, str], set[int]] = {}
    for put in puts:
        bases.setdefault((put.version, put.key), set()).add(put.base)
    for state in states:
        if (state.version, state.key) == (version, key):
            continue
        sent_on = bases.get((state.version, state.key))
        if state.version <= version:
            violations.append(f"version {version} {key} is followed by {state.version} {state.key}")
        elif sent_on is None:
            violations.append(f"nobody sent {state.version} {state.key}")
        elif max(sent_on) < version:
            # Positions that nobody saw may lie between; then the base is a newer one.
            violations.append(f"{state.version} {state.key}, made on top of {sent_on}, follows {version}")
        version, key = state.version, state.key
    return violations


def check_acknowledged(states: States, puts: list[Operation]) -> list[str]:
    """What was acknowledged was committed; one change for each base and each version."""
    violations: list[str] = []
    committed = {(state.version, state.key) for state in states}
    by_base: dict[int, str] = {}
    by_version: dict[int, str] = {}
    for put in puts:
        if not put.acknowledged:
            continue
        if (put.version, put.key) not in committed:
            violations.append(f"acknowledged and never in place: {put.version} {put.key}")
        other = by_base.setdefault(put.base, put.key)
        if other != put.key:
            violations.append(f"two acknowledged on top of {put.base}: {other} and {put.key}")
        other = by_version.setdefault(put.version, put.key)
        if other != put.key:
            violations.append(f"two acknowledged as {put.version}: {other} and {put.key}")
    return violations


def check_refused(states: States, history: History, puts: list[Operation]) -> list[str]:
    """A refused change is never in place, and one that was taken never refused; a valid one gets no 400."""
    violations: list[str] = []
    in_place = {state.key for state in states} | {view.key for view in history.views}
    for put in puts:
        if put.status is None or put.acknowledged:
            continue
        change = f"{put.version} {put.key}"
        if put.status != PRECONDITION_FAILED:
            violations.append(f"{change} on top of {put.base} is valid and got {put.status}")
        if put.key in in_place:
            again = "sent again, " if put.repeat_of is not None else ""
            violations.append(f"taken and refused: {again}{change}, {len(put.attempts)} attempts")
    return violations


def check_zones(states: States, history: History) -> list[str]:
    """An order about a zone does nothing once its operator has ended it and a newer one was acknowledged.

    A change of a zone must have an order that was under way when it was first seen, or that ended without a
    clear answer and with no newer one acknowledged since.
    """
    violations: list[str] = []
    orders: dict[str, list[Operation]] = {}
    for operation in history.operations:
        if operation.kind in ORDERS_OF_ZONES:
            orders.setdefault(operation.zone, []).append(operation)
    evacuated: frozenset[str] = frozenset()
    for state in states:
        for zone in sorted(state.evacuations ^ evacuated):
            kind = OperationKind.EVACUATE if zone in state.evacuations else OperationKind.RETURN
            violations += check_late_order(zone, kind, state.at, orders.get(zone, []))
        evacuated = state.evacuations
    return violations


def check_late_order(zone: str, kind: OperationKind, at: float, orders: list[Operation]) -> list[str]:
    """Whether the change of a zone that was first seen at `at` has an order that may still take effect."""
    begun = [order for order in orders if order.kind is kind and order.invoked_at <= at]
    if any(order.completed_at >= at for order in begun):
        return []
    newer = [order for order in orders if order.acknowledged and order.completed_at < at]
    newest = max(newer, key=lambda order: order.invoked_at, default=None)
    unclear = [order for order in begun if not order.acknowledged]
    if any(newest is None or order.completed_at >= newest.invoked_at for order in unclear):
        return []
    last = f"{newest.kind} acknowledged at {newest.completed_at:.3f}" if newest else "nothing acknowledged"
    return [f"a late {kind} of {zone} takes effect at {at:.3f} after {last}"]


def check_final_version(final: CommittedState, puts: list[Operation]) -> list[str]:
    """The newest acknowledged version is in the last state, or an older one than that."""
    newest = max((put.version for put in puts if put.acknowledged), default=0)
    if final.version < newest:
        return [f"acknowledged and lost: {newest}, the last state has {final.version}"]
    return []


def check_final_zones(final: CommittedState, history: History) -> list[str]:
    """The newest acknowledged order of a zone holds, unless one of the other kind was unclear after it."""
    violations: list[str] = []
    for zone in sorted({operation.zone for operation in history.operations if operation.zone}):
        orders = [operation for operation in history.operations if operation.zone == zone]
        acknowledged = [order for order in orders if order.acknowledged]
        newest = max(acknowledged, key=lambda order: order.invoked_at, default=None)
        if newest is None or any(
            order.kind is not newest.kind and order.completed_at >= newest.invoked_at for order in orders
        ):
            continue
        if (zone in final.evacuations) != (newest.kind is OperationKind.EVACUATE):
            violations.append(
                f"{newest.kind} of {zone} was acknowledged at {newest.completed_at:.3f} and is lost"
            )
    return violations
