"""Checkers of the history of a simulated run. Each returns its findings.

The order of all changes follows from the control states that members reported as committed, by their position
(epoch, sequence). Everything else is what operators and edges observed.
"""

from __future__ import annotations

from shedgrade.simulation.checkers import stable_spans
from shedgrade.simulation.system.directory_checkers import check_directory
from shedgrade.simulation.system.edge_checkers import check_edges, check_edges_at_end, check_edges_in_time
from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import Attempt, History, Operation, OperationKind
from shedgrade.simulation.system.simulated_system import SimulatedSystem
from shedgrade.simulation.system.state_checkers import check_states

STABLE_AFTER_S = 4.0  # time without a fault after which the core counts as stable
ACKNOWLEDGE_WITHIN_S = 5.0  # time within which a stable core acknowledges a command
OK, NOT_FOUND = 200, 404


def check(system: SimulatedSystem, timely: bool) -> list[Finding]:
    """Returns all violations.

    `timely`: whether latency is checked too; only for runs in which losses stay within the tolerated number.
    """
    history = system.history
    states = [system.committed_states[position] for position in sorted(system.committed_states)]
    violations = [*history.violations, *system.faults(), *system.monitor.check()]
    violations += check_states(states, history)
    violations += check_reads(history)
    violations += check_edges(history)
    violations += check_edges_in_time(history)
    violations += check_isolated_members(history)
    violations += check_all_completed(history)
    if states:
        violations += check_edges_at_end(history, [edge.name for edge in system.edges], states[-1])
    violations += check_directory(system)
    if timely:
        violations += check_latency(history)
    return violations


def known_version(operation: Operation) -> int:
    """Returns the lowest version that a read may return if it is invoked after this operation completed."""
    if operation.kind is OperationKind.PUT and operation.acknowledged and operation.repeat_of is None:
        return operation.version
    if operation.kind is OperationKind.GET and operation.status == OK:
        return operation.body_version
    return 0


def check_reads(history: History) -> list[Finding]:
    """Checks that a read returns no version older than one acknowledged or read before it was invoked."""
    violations: list[Finding] = []
    completed = [operation for operation in history.operations if operation.status is not None]
    completed.sort(key=lambda operation: operation.completed_at)
    reads = [operation for operation in completed if operation.kind is OperationKind.GET]
    reads.sort(key=lambda operation: operation.invoked_at)
    known = 0
    next_completed = 0
    for read in reads:
        while next_completed < len(completed) and completed[next_completed].completed_at < read.invoked_at:
            known = max(known, known_version(completed[next_completed]))
            next_completed += 1
        version = read.body_version if read.status == OK else 0
        if read.status not in (OK, NOT_FOUND):
            violations.append(
                Finding(FindingKind.READ_FAILED, f"read at {read.invoked_at:.3f} got status {read.status}")
            )
        elif version < known:
            detail = (
                f"read at {read.invoked_at:.3f} returned version {version} after version {known} was known"
            )
            violations.append(Finding(FindingKind.STALE_READ, detail))
    return violations


def check_isolated_members(history: History) -> list[Finding]:
    """Checks that a member reports no success for an attempt throughout which it reached no majority."""
    return [
        Finding(
            FindingKind.ISOLATED_CONFIRMATION,
            f"{attempt.member}, alone, answers {operation.kind} with {attempt.status} at "
            f"{attempt.completed_at:.3f}",
        )
        for operation in history.operations
        for attempt in operation.attempts
        if attempt.status is not None and 200 <= attempt.status < 300 and is_isolated(history, attempt)
    ]


def is_isolated(history: History, attempt: Attempt) -> bool:
    """Whether the member reached no majority for the whole duration of an attempt."""
    spans = history.isolated.get(attempt.member, ())
    return any(span.start < attempt.invoked_at and attempt.completed_at < span.end for span in spans)


def check_all_completed(history: History) -> list[Finding]:
    """Checks that every operation has completed at the end."""
    return [
        Finding(
            FindingKind.NEVER_COMPLETED,
            f"{operation.operator} waits at the end for {operation.kind} {operation.version}{operation.zone} "
            f"since {operation.invoked_at:.3f}",
        )
        for operation in history.operations
        if operation.completed_at > history.end
    ]


def check_latency(history: History) -> list[Finding]:
    """Checks that no command waits longer than ACKNOWLEDGE_WITHIN_S while the core is stable."""
    violations: list[Finding] = []
    commands = [operation for operation in history.operations if operation.kind is not OperationKind.GET]
    for start, end in stable_spans(history.unstable_spans, history.end, STABLE_AFTER_S):
        for command in commands:
            since = max(command.invoked_at, start)
            waited = min(command.completed_at, end) - since
            if waited > ACKNOWLEDGE_WITHIN_S:
                detail = (
                    f"{command.operator}'s {command.kind} {command.version}{command.zone} waits "
                    f"{waited:.2f} s from {since:.3f}"
                )
                violations.append(Finding(FindingKind.SLOW_COMMAND, detail))
    return violations
