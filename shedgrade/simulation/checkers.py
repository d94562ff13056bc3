"""Checkers of a history. Each returns a list of descriptions of the violations found.

The operations are on one register with compare-and-set, so linearizability reduces to four properties: the
committed states form a single chain, acknowledged changes are in it, rejected changes are not, and no read
returns a state older than any operation completed before the read was invoked.
"""

from __future__ import annotations

from collections.abc import Iterable

from shedgrade.replication import ReadResult
from shedgrade.simulation.history import History, Operation, TimeSpan
from shedgrade.simulation.register import CONFLICT, OK, Count, Put, change_line, change_lines, changes_in

STABLE_AFTER_S = 4.0  # time without a fault after which the core counts as stable
ACKNOWLEDGE_WITHIN_S = 5.0  # maximum time from a request to its acknowledgement while the core is stable
RESTART_WITHIN_S = 8.0  # maximum time from all machines being up again to the next acknowledgement


def check(history: History, timely: bool = True) -> list[str]:
    """Returns all violations in a history. `timely`: also checks time limits."""
    violations = list(history.violations)
    violations += check_single_chain(history)
    violations += check_outcomes(history)
    violations += check_reads(history)
    if timely:
        violations += check_latency(history)
        violations += check_restart_times(history)
    return violations


def check_single_chain(history: History) -> list[str]:
    """Checks that committed states are prefixes of one chain, and that changes build on each other."""
    violations: list[str] = []
    chain = b""
    counter = 0
    for position in sorted(history.states):
        state = history.states[position]
        if not state.changes.startswith(chain):
            violations.append(f"chain diverges at {position}: {chain[-60:]!r} and {state.changes[-60:]!r}")
        if state.counter < counter:
            violations.append(f"counter decreases at {position}")
        chain, counter = state.changes, state.counter
    return violations + check_versions(chain)


def check_versions(chain: bytes) -> list[str]:
    """Checks that the base of each change is the version of the previous one, and that versions increase."""
    violations: list[str] = []
    version = 0
    for line in change_lines(chain):
        base, new_version, _ = line.split()
        if int(base) != version or int(new_version) <= version:
            violations.append(f"change {line!r} applied to version {version}")
        version = int(new_version)
    return violations


def check_outcomes(history: History) -> list[str]:
    """Checks that acknowledged changes are in the chain, rejected ones are not, and no base is used twice."""
    committed = {line for state in history.states.values() for line in change_lines(state.changes)}
    final: set[str] = set()
    if history.states:
        final.update(change_lines(history.states[max(history.states)].changes))
    violations: list[str] = []
    by_base: dict[int, str] = {}
    for operation in history.operations:
        put = operation.request
        if not isinstance(put, Put):
            continue
        line = change_line(put)
        if operation.outcome == OK:
            if line not in final:
                violations.append(f"acknowledged change is lost: {line!r}")
            if by_base.setdefault(put.base, line) != line:
                violations.append(f"two changes acknowledged with base {put.base}")
        elif operation.outcome == CONFLICT and line in committed:
            violations.append(f"rejected change is committed: {line!r}")
    return violations


class KnownState:
    """The oldest state that a read may return: what completed operations have acknowledged or read.

    Attributes:
        version: version of the newest acknowledged configuration; None before the first.
        changes: largest number of changes in a state that was read.
        counter: highest counter that was acknowledged or read.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self.changes = 0
        self.counter = 0

    def add(self, operation: Operation) -> None:
        """Updates the state with a completed operation."""
        if isinstance(operation.outcome, ReadResult):
            state = operation.outcome.state
            self.changes = max(self.changes, len(changes_in(state)))
            self.counter = max(self.counter, int(state.get("counter", b"0")))
        elif operation.outcome == OK and isinstance(operation.request, Put):
            self.version = max(self.version or 0, operation.request.version)
        elif operation.outcome == OK and isinstance(operation.request, Count):
            self.counter = max(self.counter, operation.request.number)

    def check_read(self, operation: Operation, reading: ReadResult) -> list[str]:
        """Returns the violations of a read that was invoked after all of this state was known."""
        violations: list[str] = []
        state = reading.state
        is_older = self.version is not None and int(state.get("version", b"0")) < self.version
        if is_older or len(changes_in(state)) < self.changes:
            violations.append(
                f"stale read at {operation.invoked_at:.3f}: {state.get('version')!r} after {self.version}"
            )
        if int(state.get("counter", b"0")) < self.counter:
            violations.append(f"stale counter read at {operation.invoked_at:.3f}")
        return violations


def check_reads(history: History) -> list[str]:
    """Checks that a read returns everything that was acknowledged or read before it was invoked."""
    violations: list[str] = []
    completed = [operation for operation in history.operations if operation.outcome is not None]
    completed.sort(key=lambda operation: operation.completed_at)
    reads = [operation for operation in completed if operation.request is None]
    reads.sort(key=lambda operation: operation.invoked_at)
    known = KnownState()
    added = 0
    for read in reads:
        while added < len(completed) and completed[added].completed_at < read.invoked_at:
            known.add(completed[added])
            added += 1
        if isinstance(read.outcome, ReadResult):
            violations += known.check_read(read, read.outcome)
    return violations


def stable_spans(unstable: Iterable[TimeSpan], end: float, stable_after_s: float) -> list[TimeSpan]:
    """Returns the spans up to `end` (s) with no fault active, nor any in the `stable_after_s` before them."""
    spans: list[TimeSpan] = []
    stable_since = 0.0
    for start, stop in sorted(unstable):
        if start > stable_since:
            spans.append(TimeSpan(stable_since, start))
        stable_since = max(stable_since, stop + stable_after_s)
    if end > stable_since:
        spans.append(TimeSpan(stable_since, end))
    return spans


def check_latency(history: History) -> list[str]:
    """Checks that no request waits longer than ACKNOWLEDGE_WITHIN_S while the core is stable."""
    violations: list[str] = []
    for start, end in stable_spans(history.unstable_spans, history.end, STABLE_AFTER_S):
        for operation in history.operations:
            since = max(operation.invoked_at, start)
            waited = min(operation.completed_at, end) - since
            if waited > ACKNOWLEDGE_WITHIN_S:
                violations.append(
                    f"{operation.request} of {operation.invoked_at:.3f} waits {waited:.2f} s from {since:.3f}"
                )
    return violations


def check_restart_times(history: History) -> list[str]:
    """Checks that a request is acknowledged within RESTART_WITHIN_S of all machines being up again."""
    violations: list[str] = []
    for restart in history.total_restarts:
        until = restart + RESTART_WITHIN_S
        disturbed = any(start < until and end > restart for start, end in history.unstable_spans)
        if until > history.end or disturbed:
            continue
        if not any(
            restart <= operation.completed_at <= until and operation.outcome == OK
            for operation in history.operations
        ):
            violations.append(
                f"nothing acknowledged within {RESTART_WITHIN_S} s of the restart at {restart:.3f}"
            )
    return violations
