"""`explain HOST PATH`: the route of a request, and where it may go, as the data plane decides."""

import json

from shedgrade.configuration import Route, parse
from shedgrade.ctl.config import in_force
from shedgrade.ctl.output import Output, RefusedError
from shedgrade.findings import Finding
from shedgrade.route_matching.routes import RouteTree


def run(options, output: Output, caller) -> int:
    calls = caller()
    raw = in_force(calls)
    if raw is None:
        raise RefusedError(Finding("configuration", "none was put yet"))
    configuration = parse(raw)
    tree = RouteTree(
        (route.host.encode(), route.path_prefix.encode(), route) for route in configuration.routes
    )
    host, path = options["HOST"], options["PATH"].split("?", 1)[0]
    route = tree.find(host.encode(), path.encode())
    if route is None:
        raise RefusedError(Finding(f"{host}{path}", "has no route, so the answer is 404"))
    status = json.loads(calls.call("GET", "/status").body)
    known = regions(status, route)
    data = {
        "configVersion": configuration.version,
        "route": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "routeClass": route.route_class,
        "repeatable": route.is_idempotent(),
        "maxAttempts": route.max_attempts,
        "weights": {name: weight for name, weight in route.weights().items() if weight > 0},
        "homeRegions": route.home_regions,
        "evacuations": status["evacuations"],
        "upstreams": known,
    }
    output.tell(words(configuration.version, route, status, known, options["--region"]), data)
    return 0


def regions(status: dict, route: Route) -> dict[str, dict[str, int]]:
    """By service and region: upstreams that may get requests, those of evacuated zones left out."""
    found: dict[str, dict[str, int]] = {name: {} for name, weight in route.weights().items() if weight > 0}
    for one in status["upstreams"]["byRegion"]:
        if one["service"] in found and one["state"] == "available":
            by_region = found[one["service"]]
            by_region[one["region"]] = by_region.get(one["region"], 0) + one["count"]
    return found


def words(version: int, route: Route, status: dict, known: dict, own: str | None) -> list[str]:
    lines = [
        f"configuration {version}: route {route.name or 'without a name'}, "
        f"{route.host}{route.path_prefix}, the longest prefix of that host",
        f"{route.route_class}, priority {route.priority}, target {route.target_ms:g} ms, "
        f"time-out {route.timeout_ms:g} ms",
        "may run more than once" if route.is_idempotent() else "runs at most once a try",
        f"one try is sent to {max(1, route.max_attempts)} upstreams at the most",
    ]
    if route.session_affinity:
        lines.append("goes to an upstream that holds its prompt's shared parts, if not well above the mean")
    weights = {name: weight for name, weight in route.weights().items() if weight > 0}
    whole = sum(weights.values())
    for name, weight in weights.items():
        lines.append(f"{100 * weight / whole:.3g}% to service {name}:")
        lines += reach(route, known[name], own)
    if status["evacuations"]:
        lines.append(f"evacuated zones get nothing: {', '.join(status['evacuations'])}")
    return lines


def reach(route: Route, by_region: dict[str, int], own: str | None) -> list[str]:
    """The regions of one service in the order in which they are looked at."""
    homes = set(route.home_regions)
    allowed = {region: count for region, count in sorted(by_region.items()) if not homes or region in homes}
    if not allowed:
        return ["  no upstream may serve it now: 503 with when to come back"]
    lines = []
    if own is not None and own in allowed:
        lines.append(f"  {own}, its own region, first: {allowed.pop(own)} upstreams in rotation")
        rest = "if that is at the threshold, or has no room: "
    else:
        rest = "" if own is None else f"{own} may not serve it, so "
        if own is None:
            rest = "the own region first; if it is at the threshold, or has no room: "
    whole = sum(allowed.values())
    if whole:
        lines.append(
            "  "
            + rest
            + "drawn by upstream count from "
            + ", ".join(
                f"{region} ({count}, {100 * count / whole:.3g}%)" for region, count in allowed.items()
            )
        )
    left_out = [region for region in sorted(by_region) if homes and region not in homes]
    if left_out:
        lines.append(f"  not at home there: {', '.join(left_out)}")
    return lines
