"""Checkers of the directory's responses. Each returns its findings.

Sources: RULES, HOME and DRAIN: a request with home regions goes to a machine in a home region or in its
client's own region, and directories stop listing a machine soon after it has ended.
"""

from __future__ import annotations

from shedgrade.simulation.history import TimeSpan
from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import FOREVER, History, Resolution
from shedgrade.simulation.system.simulated_system import SimulatedSystem

# Time after the end of an edge's process from which directories must not list it: contactMs plus 3 s.
MAX_LISTED_AFTER_END_S = 7.0
START_EVENTS, END_EVENTS = ("start",), ("ended", "kill", "power lost")  # events of machines in the trace


def check_directory(system: SimulatedSystem) -> list[Finding]:
    """Returns all violations in the directories' responses."""
    regions = {machine.host.ip: machine.host.region for machine in system.edges}
    spans = down_spans(system.history)
    names = {machine.host.ip: machine.name for machine in system.edges}
    violations: list[Finding] = []
    for resolution in system.history.resolutions:
        hosts = [address.partition(":")[0] for address in resolution.addresses]
        violations += check_regions(resolution, [regions[host] for host in hosts], system.parameters.homes)
        violations += check_liveness(resolution, [names[host] for host in hosts], spans)
    return violations


def check_regions(resolution: Resolution, regions: list[str], homes: tuple[str, ...]) -> list[Finding]:
    """Checks that all listed edges are in a home region or in the client's region."""
    if not homes:
        return []
    foreign_regions = sorted(
        {region for region in regions if region != resolution.region and region not in homes}
    )
    return [
        Finding(
            FindingKind.FOREIGN_REGION,
            f"{resolution.directory} sends {resolution.client} of {resolution.region} to {region} at "
            f"{resolution.completed_at:.3f}",
        )
        for region in foreign_regions
    ]


def check_liveness(
    resolution: Resolution, edges: list[str], spans: dict[str, list[TimeSpan]]
) -> list[Finding]:
    """Checks that no listed edge was down since more than MAX_LISTED_AFTER_END_S before the look-up."""
    return [
        Finding(
            FindingKind.ENDED_EDGE_LISTED,
            f"{resolution.directory} lists {edge} at {resolution.completed_at:.3f}, although it ended at "
            f"{ended:.3f}",
        )
        for edge in edges
        for ended, started in spans.get(edge, ())
        if ended + MAX_LISTED_AFTER_END_S < resolution.invoked_at and resolution.completed_at < started
    ]


def down_spans(history: History) -> dict[str, list[TimeSpan]]:
    """Returns, by machine, the spans from the end of a process to the next start."""
    ended: dict[str, float] = {}
    spans: dict[str, list[TimeSpan]] = {}
    for at, event, machine in history.events:
        if event in END_EVENTS:
            ended.setdefault(machine, at)
        elif event in START_EVENTS and machine in ended:
            spans.setdefault(machine, []).append(TimeSpan(ended.pop(machine), at))
    for machine, at in ended.items():
        spans.setdefault(machine, []).append(TimeSpan(at, FOREVER))
    return spans
