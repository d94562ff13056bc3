"""Checkers of the control states that edges applied. Each returns its findings.

An edge is in touch with the core while it runs and reaches every core member that reaches a majority.
"""

from __future__ import annotations

from collections.abc import Iterable

from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import CommittedState, EdgeView, History, OperationKind

STABLE_AFTER_S = 4.0  # time in touch with the core after which an edge must follow its changes
APPLY_WITHIN_S = 9.0  # time within which an edge in touch applies a change, even if the core is unstable


def check_edges(history: History) -> list[Finding]:
    """Checks that an edge's control state and configuration never become older within one process."""
    violations: list[Finding] = []
    last: dict[tuple[str, int], EdgeView] = {}
    for view in history.views:
        previous = last.get((view.edge, view.incarnation))
        if previous is not None and (view.position <= previous.position or view.version < previous.version):
            detail = (
                f"{view.edge} at {view.at:.3f}: {previous.position} with version {previous.version}, "
                f"then {view.position} with version {view.version}"
            )
            violations.append(Finding(FindingKind.EDGE_REGRESSION, detail))
        last[view.edge, view.incarnation] = view
    return violations


def check_edges_in_time(history: History) -> list[Finding]:
    """Checks that an edge in touch applies each acknowledged configuration within APPLY_WITHIN_S."""
    violations: list[Finding] = []
    views: dict[str, list[EdgeView]] = {}
    for view in history.views:
        views.setdefault(view.edge, []).append(view)
    acknowledged = [
        operation
        for operation in history.operations
        if operation.kind is OperationKind.PUT and operation.acknowledged
    ]
    for edge, spans in history.out_of_touch.items():
        for operation in acknowledged:
            start = operation.completed_at - STABLE_AFTER_S
            end = operation.completed_at + APPLY_WITHIN_S
            if end > history.end or any(span.start < end and span.end > start for span in spans):
                continue
            if not any(view.version >= operation.version and view.at <= end for view in views.get(edge, ())):
                detail = (
                    f"{edge} has not applied version {operation.version}, acknowledged at "
                    f"{operation.completed_at:.3f}, by {end:.3f}"
                )
                violations.append(Finding(FindingKind.EDGE_OUTDATED, detail))
    return violations


def check_edges_at_end(history: History, edges: Iterable[str], final: CommittedState) -> list[Finding]:
    """Checks that every edge has applied the last committed state at the end."""
    violations: list[Finding] = []
    last = {view.edge: view for view in history.views}
    for edge in edges:
        view = last.get(edge)
        if view is None or (view.version, frozenset(view.evacuations)) != (final.version, final.evacuations):
            detail = f"{edge} never applied {final.position} with version {final.version}; it has {view}"
            violations.append(Finding(FindingKind.EDGE_OUTDATED, detail))
    return violations
