"""Checkers that compare the committed control states with operators' calls. Each returns its findings."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from itertools import accumulate

from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import CommittedState, History, Operation, OperationKind

ZONE_COMMAND_KINDS = (OperationKind.EVACUATE, OperationKind.RETURN)
PRECONDITION_FAILED = 412

States = Sequence[CommittedState]


def check_states(states: States, history: History) -> list[Finding]:
    """Runs all checks of this module. `states`: in order of their positions."""
    puts = [operation for operation in history.operations if operation.kind is OperationKind.PUT]
    violations = check_single_chain(states, puts)
    violations += check_acknowledged(states, puts)
    violations += check_refused(states, history, puts)
    violations += check_refusals_justified(states, puts)
    violations += check_zones(states, history)
    violations += check_freshness(states, history)
    if not states:
        return [*violations, Finding(FindingKind.NOTHING_COMMITTED, "in the whole run")]
    return violations + check_final_version(states[-1], puts) + check_final_zones(states[-1], history)


def check_single_chain(states: States, puts: list[Operation]) -> list[Finding]:
    """Checks that versions only increase, and that each change was made on top of the state before it."""
    violations: list[Finding] = []
    version, key = 0, ""
    bases: dict[tuple[int, str], set[int]] = {}
    for put in puts:
        bases.setdefault((put.version, put.key), set()).add(put.base)
    for state in states:
        if (state.version, state.key) == (version, key):
            continue
        sent_on = bases.get((state.version, state.key))
        if state.version <= version:
            detail = f"version {version} {key} is followed by {state.version} {state.key}"
            violations.append(Finding(FindingKind.BROKEN_CHAIN, detail))
        elif sent_on is None:
            violations.append(Finding(FindingKind.BROKEN_CHAIN, f"nobody sent {state.version} {state.key}"))
        elif max(sent_on) < version:
            # No member may have reported some positions in between; then the base is a newer version.
            detail = f"{state.version} {state.key}, made on top of {sent_on}, follows {version}"
            violations.append(Finding(FindingKind.BROKEN_CHAIN, detail))
        version, key = state.version, state.key
    return violations


def check_acknowledged(states: States, puts: list[Operation]) -> list[Finding]:
    """Checks that acknowledged changes were committed: one at most for each base and for each version."""
    violations: list[Finding] = []
    committed = {(state.version, state.key) for state in states}
    by_base: dict[int, str] = {}
    by_version: dict[int, str] = {}
    for put in puts:
        if not put.acknowledged:
            continue
        if (put.version, put.key) not in committed:
            detail = f"never committed: {put.version} {put.key}"
            violations.append(Finding(FindingKind.LOST_ACKNOWLEDGEMENT, detail))
        other = by_base.setdefault(put.base, put.key)
        if other != put.key:
            detail = f"on top of {put.base}: {other} and {put.key}"
            violations.append(Finding(FindingKind.CONFLICTING_ACKNOWLEDGEMENTS, detail))
        other = by_version.setdefault(put.version, put.key)
        if other != put.key:
            detail = f"as {put.version}: {other} and {put.key}"
            violations.append(Finding(FindingKind.CONFLICTING_ACKNOWLEDGEMENTS, detail))
    return violations


def check_refused(states: States, history: History, puts: list[Operation]) -> list[Finding]:
    """Checks that a refused change never takes effect and that, as all changes are valid, each got a 412."""
    violations: list[Finding] = []
    in_place = {state.key for state in states} | {view.key for view in history.views}
    for put in puts:
        if put.status is None or put.acknowledged:
            continue
        change = f"{put.version} {put.key}"
        if put.status != PRECONDITION_FAILED:
            detail = f"{change} on top of {put.base} is valid and got {put.status}"
            violations.append(Finding(FindingKind.UNFOUNDED_REFUSAL, detail))
        if put.key in in_place:
            again = "sent again, " if put.repeat_of is not None else ""
            detail = f"{again}{change}, {len(put.attempts)} attempts"
            violations.append(Finding(FindingKind.ACCEPTED_AND_REFUSED, detail))
    return violations


def check_refusals_justified(states: States, puts: list[Operation]) -> list[Finding]:
    """Checks that a change is refused for its base only if another version was in place at some moment of the
    call."""
    violations: list[Finding] = []
    by_time = sorted(states, key=lambda state: state.at)
    times = [state.at for state in by_time]
    for put in puts:
        if put.status != PRECONDITION_FAILED or put.repeat_of is not None:
            continue
        first = bisect_left(times, put.invoked_at)
        in_place = by_time[max(first - 1, 0) : bisect_right(times, put.completed_at)]
        before_all = first == 0 and put.base == 0
        if all(state.version == put.base for state in in_place) and (in_place or before_all):
            detail = f"{put.version} {put.key} at {put.completed_at:.3f}, {put.base} was in place throughout"
            violations.append(Finding(FindingKind.UNFOUNDED_REFUSAL, detail))
    return violations


def check_freshness(states: States, history: History) -> list[Finding]:
    """Checks that no member confirms a state as of a time when a newer one had been committed."""
    violations: list[Finding] = []
    by_time = sorted(states, key=lambda state: state.at)
    times = [state.at for state in by_time]
    newest = list(accumulate((state.position for state in by_time), max))
    for answer in history.watch_answers:
        known = bisect_left(times, answer.confirmed_at)
        if known and newest[known - 1] > tuple(answer.position):
            detail = (
                f"{answer.member} tells {answer.edge} at {answer.at:.3f} that {answer.position} is the "
                f"newest as of {answer.confirmed_at:.3f}, when {newest[known - 1]} had been committed"
            )
            violations.append(Finding(FindingKind.STALE_CALLED_FRESH, detail))
    return violations


def check_zones(states: States, history: History) -> list[Finding]:
    """Checks that no zone command takes effect after its end and after the acknowledgement of a newer one.

    A change of a zone must have a command that was in progress when the change was first seen, or that ended
    without a clear answer and with no newer command acknowledged since.
    """
    violations: list[Finding] = []
    commands: dict[str, list[Operation]] = {}
    for operation in history.operations:
        if operation.kind in ZONE_COMMAND_KINDS:
            commands.setdefault(operation.zone, []).append(operation)
    evacuated: frozenset[str] = frozenset()
    for state in states:
        for zone in sorted(state.evacuations ^ evacuated):
            kind = OperationKind.EVACUATE if zone in state.evacuations else OperationKind.RETURN
            violations += check_late_command(zone, kind, state.at, commands.get(zone, []))
        evacuated = state.evacuations
    return violations


def check_late_command(zone: str, kind: OperationKind, at: float, commands: list[Operation]) -> list[Finding]:
    """Checks that the change of a zone, first seen at `at` (s), has a command that may still take effect."""
    started = [command for command in commands if command.kind is kind and command.invoked_at <= at]
    if any(command.completed_at >= at for command in started):
        return []
    newer = [command for command in commands if command.acknowledged and command.completed_at < at]
    newest = max(newer, key=lambda command: command.invoked_at, default=None)
    indeterminate = [command for command in started if not command.acknowledged]
    if any(newest is None or command.completed_at >= newest.invoked_at for command in indeterminate):
        return []
    last = f"{newest.kind} acknowledged at {newest.completed_at:.3f}" if newest else "nothing acknowledged"
    return [Finding(FindingKind.LATE_ZONE_COMMAND, f"{kind} of {zone} takes effect at {at:.3f} after {last}")]


def check_final_version(final: CommittedState, puts: list[Operation]) -> list[Finding]:
    """Checks that the last state has the newest acknowledged version or a newer one."""
    newest = max((put.version for put in puts if put.acknowledged), default=0)
    if final.version < newest:
        return [
            Finding(FindingKind.LOST_ACKNOWLEDGEMENT, f"version {newest}; the last state has {final.version}")
        ]
    return []


def check_final_zones(final: CommittedState, history: History) -> list[Finding]:
    """Checks that each zone's newest acknowledged command holds in the last state, unless a command of the
    other kind may have taken effect after it."""
    violations: list[Finding] = []
    for zone in sorted({operation.zone for operation in history.operations if operation.zone}):
        commands = [operation for operation in history.operations if operation.zone == zone]
        acknowledged = [command for command in commands if command.acknowledged]
        newest = max(acknowledged, key=lambda command: command.invoked_at, default=None)
        if newest is None or any(
            command.kind is not newest.kind and command.completed_at >= newest.invoked_at
            for command in commands
        ):
            continue
        if (zone in final.evacuations) != (newest.kind is OperationKind.EVACUATE):
            detail = f"{newest.kind} of {zone}, acknowledged at {newest.completed_at:.3f}"
            violations.append(Finding(FindingKind.LOST_ACKNOWLEDGEMENT, detail))
    return violations
