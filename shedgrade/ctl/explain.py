"""`explain HOST PATH`: the route of a request and where it may go, by the rules of the data plane."""

import json
from collections.abc import Callable
from fractions import Fraction

from shedgrade.configuration import Route, parse
from shedgrade.ctl.client import ControlClient
from shedgrade.ctl.config import fetch_configuration
from shedgrade.ctl.options import ExitCode, Options
from shedgrade.ctl.output import Output, RejectedError
from shedgrade.ctl.status import StatusDocument
from shedgrade.findings import Finding
from shedgrade.route_matching.routes import RouteTree

CountByRegion = dict[str, int]
MAX_FRACTIONAL = 2**53  # above it, every double is a whole number


def explain(options: Options, output: Output, connect: Callable[[], ControlClient]) -> ExitCode:
    """Prints the route of a request. RejectedError if there is no configuration or no matching route."""
    client = connect()
    raw = fetch_configuration(client)
    if raw is None:
        raise RejectedError(Finding("configuration", "none was put yet"))
    configuration = parse(raw)
    tree = RouteTree(
        (route.host.encode(), route.path_prefix.encode(), route) for route in configuration.routes
    )
    host, path = options.host, options.path.split("?", 1)[0]
    route = tree.find(host.encode(), path.encode())
    if route is None:
        raise RejectedError(Finding(f"{host}{path}", "has no route, so the answer is 404"))
    status = json.loads(client.call("GET", "/status").body)
    upstreams = count_upstreams(status, route)
    data = {
        "configVersion": configuration.version,
        "route": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "routeClass": route.route_class,
        "repeatable": route.is_idempotent(),
        "maxAttempts": route.max_attempts,
        "weights": written_weights(route),
        "homeRegions": route.home_regions,
        "evacuations": status["evacuations"],
        "upstreams": upstreams,
    }
    lines = describe_route(configuration.version, route)
    lines += describe_services(route, upstreams, options.region)
    if status["evacuations"]:
        lines.append(f"evacuated zones get nothing: {', '.join(status['evacuations'])}")
    output.show(lines, data)
    return ExitCode.DONE


def written_weights(route: Route) -> dict[str, float]:
    """The services that may get requests of the route, with their weights as the configuration has them. The
    weights of a service that it names several times are added."""
    weights = dict.fromkeys(route.weights(), Fraction(0)) if route.weighted_split else {}
    for split in route.weighted_split:
        if split.service in weights:
            weights[split.service] += Fraction(split.weight)
    return {name: as_number(weight) for name, weight in weights.items()} or dict(route.weights())


def as_number(value: Fraction) -> float:
    """The number as JSON has it; beyond the range in which doubles have fractions, a whole number."""
    return int(value) if value.denominator == 1 or value > MAX_FRACTIONAL else float(value)


def count_upstreams(status: StatusDocument, route: Route) -> dict[str, CountByRegion]:
    """By service and region, the number of upstreams that may get requests; none in evacuated zones."""
    counts: dict[str, CountByRegion] = {name: {} for name in route.weights()}
    for group in status["upstreams"]["byRegion"]:
        if group["service"] in counts and group["state"] == "available":
            by_region = counts[group["service"]]
            by_region[group["region"]] = by_region.get(group["region"], 0) + group["count"]
    return counts


def describe_route(version: int, route: Route) -> list[str]:
    """The route of the request, and how often the request may be sent."""
    lines = [
        f"configuration {version}: route {route.name or 'without a name'}, "
        f"{route.host}{route.path_prefix}, the longest prefix of that host",
        f"{route.route_class}, priority {route.priority}, target {route.target_ms:g} ms, "
        f"time-out {route.timeout_ms:g} ms",
        "may be executed more than once" if route.is_idempotent() else "executed at most once per request",
        f"each request is sent to at most {max(1, route.max_attempts)} upstreams",
    ]
    if route.session_affinity:
        lines.append("prefers an upstream with its prompt's prefix cached, if not well above the mean load")
    return lines


def describe_services(route: Route, upstreams: dict[str, CountByRegion], own_region: str | None) -> list[str]:
    """Each service with its percentage of the requests and its regions."""
    lines = []
    for name, share in route.shares().items():
        lines.append(f"{100 * share:.3g}% to service {name}:")
        lines += describe_regions(route, upstreams[name], own_region)
    return lines


def describe_regions(route: Route, by_region: CountByRegion, own_region: str | None) -> list[str]:
    """The regions of one service in the order of preference. `own_region`: where the request arrives; None if
    it was not given."""
    home_regions = set(route.home_regions)
    allowed = {
        region: count
        for region, count in sorted(by_region.items())
        if not home_regions or region in home_regions
    }
    if not allowed:
        return ["  no upstream may serve it now: 503 with Retry-After"]
    lines = []
    if own_region is None:
        lead_in = "the own region first; if it is at the load threshold, or has no capacity: "
    elif own_region in allowed:
        count = allowed.pop(own_region)
        lines.append(f"  {own_region}, its own region, first: {count} upstreams in rotation")
        lead_in = "if that is at the load threshold, or has no capacity: "
    else:
        lead_in = f"{own_region} may not serve it, so "
    if sum(allowed.values()):
        lines.append(f"  {lead_in}drawn by upstream count from {format_shares(allowed)}")
    excluded = [region for region in sorted(by_region) if home_regions and region not in home_regions]
    if excluded:
        lines.append(f"  not home regions: {', '.join(excluded)}")
    return lines


def format_shares(by_region: CountByRegion) -> str:
    """Each region with its count and its percentage."""
    total = sum(by_region.values())
    return ", ".join(f"{region} ({count}, {100 * count / total:.3g}%)" for region, count in by_region.items())
