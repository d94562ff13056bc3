"""Checks orders against the rules: which were accepted, which are in force, which were kept."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator

from shedgrade.lab.system.history import Breach, History, Order


class Configurations:
    """The configurations that were sent and are valid.

    accepted: those that were acknowledged, oldest version first
    unclear: those without a clear answer, which may be in force
    refused: those that were refused
    """

    def __init__(self, orders: Iterable[Order]) -> None:
        puts = [order for order in orders if order.verb == "put" and order.valid]
        # A configuration that was sent twice may stand here twice; both have the same version.
        self.accepted = sorted((order for order in puts if order.accepted), key=lambda order: order.version)
        self.unclear = [order for order in puts if not order.status]
        self.refused = [order for order in puts if order.status and not order.accepted]

    @staticmethod
    def services_for(order: Order, host: str, target: str) -> frozenset[str] | None:
        """Returns the services to which a request may be routed; None without a route."""
        best, found = -1, None
        for route in json.loads(order.body)["routeList"]:
            prefix = route["pathPrefix"]
            if route["host"] == host and target.startswith(prefix) and len(prefix) > best:
                split = route.get("weightedSplit") or [{"service": route.get("service"), "weight": 1}]
                best, found = len(prefix), frozenset(part["service"] for part in split if part["weight"] > 0)
        return found

    def may_be_in_force(self, sent_at: float, slack: float, calm: bool) -> list[Order]:
        """Returns the configurations that may be in force for a request sent at `sent_at`.

        These are the newest that was acknowledged more than `slack` seconds before and all later versions.
        After a disturbance (`calm` is false) they are all that were accepted or got no clear answer.
        """
        old = [order for order in self.accepted if order.ended_at + slack < sent_at] if calm else []
        least = old[-1].version if old else 0
        return [order for order in (*self.accepted, *self.unclear) if order.version >= least]


def acceptance_breaches(told: History) -> Iterator[Breach]:
    """No invalid configuration is acknowledged, and at most one of those that replace the same version."""
    bases = defaultdict(set)
    for order in told.orders:
        if order.verb == "put" and order.accepted:
            if not order.valid:
                yield Breach("CONFIG", f"invalid version {order.version} was acknowledged")
            bases[order.base].add(order.body)
    for base, bodies in bases.items():
        if len(bodies) > 1:
            yield Breach("CONFIG", f"{len(bodies)} changes on top of version {base} were acknowledged")


def acknowledgement_breaches(told: History, bounds: dict[str, float]) -> Iterator[Breach]:
    """Without a disturbance, each order that is accepted or gets no clear answer ends within `ackMs`.

    A configuration has 3 ms more for each of its routes.
    """
    contact, limit = bounds["contactMs"] / 1000, bounds["ackMs"] / 1000
    for order in told.orders:
        allowance = 0.003 * len(json.loads(order.body)["routeList"]) if order.body else 0.0
        took = order.ended_at - order.sent_at
        proper = order.valid and (order.accepted or not order.status)
        if (
            proper
            and took > limit + allowance
            and told.is_undisturbed(order.sent_at - contact, order.ended_at)
        ):
            yield Breach("Acks", f"{order.verb} {order.zone or order.version} waited {took:.1f} s")


def routing_breaches(
    told: History, configurations: Configurations, bounds: dict[str, float]
) -> Iterator[Breach]:
    """Each run, and each 404, agrees with a configuration that may be in force."""
    apply, contact = bounds["configApplyMs"] / 1000, bounds["contactMs"] / 1000
    ever = [*configurations.accepted, *configurations.unclear, *configurations.refused]
    for run in told.runs:
        one = told.tries.get(run.attempt)
        if one is None or run.ran_at is None:
            continue
        host, target = one.kind.host, one.target
        if not is_allowed(ever, host, target, run.service):
            yield Breach("ROUTE", f"{run.service} ran {run.target}, which no configuration allows")
            continue
        calm = told.is_undisturbed(one.sent_at - contact, run.at)
        may = configurations.may_be_in_force(one.sent_at, apply, calm)
        if not is_allowed(may, host, target, run.service):
            yield Breach("CONFIG", f"{run.service} ran {run.target}, as only old or refused versions allow")
    for one in told.tries.values():
        calm = told.is_undisturbed(one.sent_at - contact, one.ended_at)
        may = configurations.may_be_in_force(one.sent_at, apply, calm)
        if (
            one.whole
            and one.status == 404
            and may
            and all(configurations.services_for(order, one.kind.host, one.target) for order in may)
        ):
            yield Breach("CONFIG", f"{one.target} is answered 404 by {one.sidecar}, but has a route")


def is_allowed(may: Iterable[Order], host: str, target: str, service: str) -> bool:
    return any(service in (Configurations.services_for(order, host, target) or ()) for order in may)


def durability_breaches(told: History) -> Iterator[Breach]:
    """Acknowledged orders are in effect at the end."""
    puts = [order for order in told.orders if order.verb == "put" and order.valid]
    acknowledged = max((order.version for order in puts if order.accepted), default=0)
    if acknowledged:
        if told.read_back is None:
            yield Breach("CONFIG", "no configuration came when it was read back")
        else:
            version = json.loads(told.read_back)["configVersion"]
            sent = {
                order.body
                for order in puts
                if order.version == version and (order.accepted or not order.status)
            }
            if version < acknowledged:
                yield Breach("LOST", f"version {version} was read back, {acknowledged} had been acknowledged")
            elif told.read_back not in sent:
                yield Breach("CONFIG", f"what was read back as version {version} is not what was sent")
    if told.evacuated_at_end is not None:
        for zone, last in last_orders_by_zone(told).items():
            if last.accepted and (last.verb == "evacuate") != (zone in told.evacuated_at_end):
                yield Breach("LOST", f"the last order for {zone}, {last.verb}, is not there at the end")


def last_orders_by_zone(told: History) -> dict[str, Order]:
    """Returns the last order for each zone."""
    return {order.zone: order for order in told.orders if order.zone}
