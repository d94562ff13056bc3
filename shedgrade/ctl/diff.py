"""What a change of the configuration moves, in words."""

from dataclasses import fields

from shedgrade.configuration import UNLIMITED, Configuration, Route

TIMES = (("timeout_ms", "time-out"), ("target_ms", "target"), ("event_gap_target_ms", "pause between events"))


def difference(old: Configuration, new: Configuration) -> list[str]:
    """A line for each thing that moves: version, services, routes by host and prefix, limits."""
    lines = []
    if old.version != new.version:
        lines.append(f"version {old.version} -> {new.version}")
    lines += services(old, new) + routes(old, new)
    lines += [
        f"limits: {attribute} {before} -> {after}"
        for attribute, before, after in changed(old.limits, new.limits)
    ]
    return lines


def services(old: Configuration, new: Configuration) -> list[str]:
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    lines = [f"service {name}: added" for name in after if name not in before]
    lines += [f"service {name}: removed" for name in before if name not in after]
    for name in after.keys() & before.keys():
        lines += [
            f"service {name}: {attribute} {shown(was)} -> {shown(now)}"
            for attribute, was, now in changed(before[name], after[name])
        ]
    return sorted(lines)


def routes(old: Configuration, new: Configuration) -> list[str]:
    before, after = (
        {(route.host.lower(), route.path_prefix): route for route in one.routes} for one in (old, new)
    )
    lines = []
    for key in sorted(before.keys() | after.keys()):
        name = f"route {''.join(key)}"
        if key not in before:
            lines.append(f"{name}: added, {after[key].route_class} to {goes_to(after[key])}")
        elif key not in after:
            lines.append(f"{name}: removed, went to {goes_to(before[key])}")
        else:
            lines += [f"{name}: {text}" for text in moves(before[key], after[key])]
    return lines


def moves(old: Route, new: Route) -> list[str]:
    lines = []
    if share(old) != share(new):
        word = "split" if len(share(new)) > 1 else "moved"
        lines.append(f"{word}, {goes_to(old)} -> {goes_to(new)}")
    times = dict(TIMES)
    for attribute, before, after in changed(old, new):
        if attribute in ("service", "weighted_split", "host"):
            continue
        if attribute in times:
            lines.append(f"{times[attribute]} {before:g} -> {after:g} ms")
        else:
            lines.append(f"{attribute} {shown(before)} -> {shown(after)}")
    return lines


def share(route: Route) -> dict[str, float]:
    """Of each service, its part of the route's requests."""
    weights = {name: weight for name, weight in route.weights().items() if weight > 0}
    whole = sum(weights.values())
    return {name: weight / whole for name, weight in sorted(weights.items())}


def goes_to(route: Route) -> str:
    parts = share(route)
    if len(parts) == 1:
        return next(iter(parts))
    return " and ".join(f"{name} {100 * part:.3g}%" for name, part in parts.items())


def changed(old: object, new: object) -> list[tuple]:
    """(attribute, before, after) where two of a kind differ."""
    pairs = ((one.name, getattr(old, one.name), getattr(new, one.name)) for one in fields(old))
    return [pair for pair in pairs if pair[1] != pair[2]]


def shown(value: object) -> object:
    if value == UNLIMITED:
        return "no bound"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "none"
    return value
