"""Whether the directory's answers kept their promises. Each check gives what it found wrong, as text.

Sources: RULES, HOME and DRAIN: a request with home regions goes to a machine there or in its client's own
region, and no machine is named long after it has ended.
"""

from __future__ import annotations

from shedgrade.simulation.system.history import FOREVER, History, Resolution

GONE_FOR = 7.0  # s after a machine's end beyond which nobody is sent there: contactMs and 3 s
STARTS, ENDS = ("start",), ("ended", "kill", "power lost")  # what machines note of their processes


def check_directory(world) -> list[str]:
    """All findings of the look-ups."""
    regions = {f"{machine.host.ip}": machine.host.region for machine in world.edges}
    spans = down_spans(world.history)
    names = {machine.host.ip: machine.name for machine in world.edges}
    wrong = []
    for resolution in world.history.resolutions:
        hosts = [address.partition(":")[0] for address in resolution.addresses]
        wrong += sent_abroad(resolution, [regions[host] for host in hosts], world.shape.homes)
        wrong += sent_to_the_dead(resolution, [names[host] for host in hosts], spans)
    return wrong


def sent_abroad(resolution: Resolution, regions: list[str], homes: tuple[str, ...]) -> list[str]:
    """Regions that are neither a home nor the client's."""
    if not homes:
        return []
    abroad = sorted({region for region in regions if region != resolution.region and region not in homes})
    return [
        f"{resolution.directory} sends {resolution.client} of {resolution.region} to {region} at "
        f"{resolution.ended:.3f}"
        for region in abroad
    ]


def sent_to_the_dead(
    resolution: Resolution, edges: list[str], spans: dict[str, list[tuple[float, float]]]
) -> list[str]:
    """Edges whose process had ended more than GONE_FOR before the look-up, and has not started since."""
    return [
        f"{resolution.directory} names {edge} at {resolution.ended:.3f}, which ended at {ended:.3f}"
        for edge in edges
        for ended, started in spans.get(edge, ())
        if ended + GONE_FOR < resolution.began and resolution.ended < started
    ]


def down_spans(history: History) -> dict[str, list[tuple[float, float]]]:
    """By machine: from the end of a process to the next start."""
    ended: dict[str, float] = {}
    spans: dict[str, list[tuple[float, float]]] = {}
    for at, what, machine in history.events:
        if what in ENDS:
            ended.setdefault(machine, at)
        elif what in STARTS and machine in ended:
            spans.setdefault(machine, []).append((ended.pop(machine), at))
    for machine, at in ended.items():
        spans.setdefault(machine, []).append((at, FOREVER))
    return spans
