"""Whether the directory's answers kept their promises. Each check returns its findings.

Sources: RULES, HOME and DRAIN: a request with home regions goes to a machine there or in its client's own
region, and no machine is named long after it has ended.
"""

from __future__ import annotations

from shedgrade.simulation.history import TimeSpan
from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import FOREVER, History, Resolution
from shedgrade.simulation.system.simulated_system import SimulatedSystem

NAMED_AFTER_END_S = 7.0  # after a machine's end beyond which nobody is sent there: contactMs and 3 s
STARTS, ENDS = ("start",), ("ended", "kill", "power lost")  # events of machines


def check_directory(system: SimulatedSystem) -> list[Finding]:
    """All violations by answers to look-ups."""
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
    """Regions that are neither a home nor the client's."""
    if not homes:
        return []
    abroad = sorted({region for region in regions if region != resolution.region and region not in homes})
    return [
        Finding(
            FindingKind.FOREIGN_REGION,
            f"{resolution.directory} sends {resolution.client} of {resolution.region} to {region} at "
            f"{resolution.completed_at:.3f}",
        )
        for region in abroad
    ]


def check_liveness(
    resolution: Resolution, edges: list[str], spans: dict[str, list[TimeSpan]]
) -> list[Finding]:
    """Edges whose process ended more than NAMED_AFTER_END_S before the look-up, and has not started since."""
    return [
        Finding(
            FindingKind.ENDED_EDGE_LISTED,
            f"{resolution.directory} names {edge} at {resolution.completed_at:.3f}, which ended at "
            f"{ended:.3f}",
        )
        for edge in edges
        for ended, started in spans.get(edge, ())
        if ended + NAMED_AFTER_END_S < resolution.invoked_at and resolution.completed_at < started
    ]


def down_spans(history: History) -> dict[str, list[TimeSpan]]:
    """By machine: from the end of a process to the next start."""
    ended: dict[str, float] = {}
    spans: dict[str, list[TimeSpan]] = {}
    for at, what, machine in history.events:
        if what in ENDS:
            ended.setdefault(machine, at)
        elif what in STARTS and machine in ended:
            spans.setdefault(machine, []).append(TimeSpan(ended.pop(machine), at))
    for machine, at in ended.items():
        spans.setdefault(machine, []).append(TimeSpan(at, FOREVER))
    return spans
