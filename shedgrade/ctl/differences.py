"""The differences between two configurations, described in words."""

from collections.abc import Iterator
from dataclasses import fields
from typing import Any, NamedTuple

from shedgrade.configuration import UNLIMITED, Configuration, Route

TIME_LABELS = {"timeout_ms": "time-out", "target_ms": "target", "event_gap_target_ms": "pause between events"}
DESCRIBED_ELSEWHERE = ("service", "weighted_split", "host")  # by the split, or by the route's name


class FieldChange(NamedTuple):
    """A field that differs between two instances of a model."""

    field: str
    before: Any
    after: Any


def describe_differences(old: Configuration, new: Configuration) -> list[str]:
    """A line for each difference: of version, services, routes (by host and path prefix) and limits."""
    lines = []
    if old.version != new.version:
        lines.append(f"version {old.version} -> {new.version}")
    lines += describe_services(old, new)
    lines += describe_routes(old, new)
    lines += [
        f"limits: {change.field} {change.before} -> {change.after}"
        for change in field_changes(old.limits, new.limits)
    ]
    return lines


def describe_services(old: Configuration, new: Configuration) -> list[str]:
    """A line for each service that is added or removed, and for each field of another that differs."""
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    lines = [f"service {name}: added" for name in after if name not in before]
    lines += [f"service {name}: removed" for name in before if name not in after]
    for name in after.keys() & before.keys():
        lines += [
            f"service {name}: {change.field} {format_value(change.before)} -> {format_value(change.after)}"
            for change in field_changes(before[name], after[name])
        ]
    return sorted(lines)


def describe_routes(old: Configuration, new: Configuration) -> list[str]:
    """A line for each route that is added or removed, and for each difference of another."""
    before = routes_by_match(old)
    after = routes_by_match(new)
    lines = []
    for key in sorted(before.keys() | after.keys()):
        name = f"route {''.join(key)}"
        if key not in before:
            lines.append(f"{name}: added, {after[key].route_class} to {format_split(after[key])}")
        elif key not in after:
            lines.append(f"{name}: removed, went to {format_split(before[key])}")
        else:
            lines += [f"{name}: {text}" for text in describe_route(before[key], after[key])]
    return lines


def routes_by_match(configuration: Configuration) -> dict[tuple[str, str], Route]:
    """The routes by host in lower case and path prefix."""
    return {(route.host.lower(), route.path_prefix): route for route in configuration.routes}


def describe_route(old: Route, new: Route) -> list[str]:
    """A line for each difference between two versions of a route."""
    lines = []
    if request_fractions(old) != request_fractions(new):
        verb = "split" if len(request_fractions(new)) > 1 else "moved"
        lines.append(f"{verb}, {format_split(old)} -> {format_split(new)}")
    for change in field_changes(old, new):
        if change.field in DESCRIBED_ELSEWHERE:
            continue
        if change.field in TIME_LABELS:
            lines.append(f"{TIME_LABELS[change.field]} {change.before:g} -> {change.after:g} ms")
        else:
            lines.append(f"{change.field} {format_value(change.before)} -> {format_value(change.after)}")
    return lines


def request_fractions(route: Route) -> dict[str, float]:
    """The fraction of the route's requests that each service gets, by name."""
    return dict(sorted(route.shares().items()))


def format_split(route: Route) -> str:
    """The services that the route's requests go to, with percentages if there are several."""
    fractions = request_fractions(route)
    if len(fractions) == 1:
        return next(iter(fractions))
    return " and ".join(f"{name} {100 * fraction:.3g}%" for name, fraction in fractions.items())


def field_changes(old: Any, new: Any) -> Iterator[FieldChange]:
    """The fields that differ between two instances of one dataclass."""
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield FieldChange(field.name, before, after)


def format_value(value: Any) -> Any:
    """The value of a field as it is printed; in words for no bound and for an empty list."""
    if value == UNLIMITED:
        return "no bound"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "none"
    return value
