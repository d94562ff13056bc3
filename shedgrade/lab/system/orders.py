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
        longest, services = -1, None
        for route in json.loads(order.body)["routeList"]:
            prefix = route["pathPrefix"]
            if route["host"] == host and target.startswith(prefix) and len(prefix) > longest:
                split = route.get("weightedSplit") or [{"service": route.get("service"), "weight": 1}]
                longest, services = (
                    len(prefix),
                    frozenset(part["service"] for part in split if part["weight"] > 0),
                )
        return services

    def may_be_in_force(self, sent_at: float, slack: float, undisturbed: bool) -> list[Order]:
        """Returns the configurations that may be in force for a request sent at `sent_at`.

        These are the newest that was acknowledged more than `slack` seconds before and all later versions.
        After a disturbance (`undisturbed` is false) they are all that were accepted or got no clear answer.
        """
        settled = (
            [order for order in self.accepted if order.ended_at + slack < sent_at] if undisturbed else []
        )
        oldest_version = settled[-1].version if settled else 0
        return [order for order in (*self.accepted, *self.unclear) if order.version >= oldest_version]


def acceptance_breaches(observed: History) -> Iterator[Breach]:
    """No invalid configuration is acknowledged, and at most one of those that replace the same version."""
    bodies_by_base = defaultdict(set)
    for order in observed.orders:
        if order.verb == "put" and order.accepted:
            if not order.valid:
                yield Breach("CONFIG", f"invalid version {order.version} was acknowledged")
            bodies_by_base[order.base].add(order.body)
    for base, bodies in bodies_by_base.items():
        if len(bodies) > 1:
            yield Breach("CONFIG", f"{len(bodies)} changes on top of version {base} were acknowledged")


def acknowledgement_breaches(observed: History, bounds: dict[str, float]) -> Iterator[Breach]:
    """Without a disturbance, each order that is accepted or gets no clear answer ends within `ackMs`.

    A configuration has 3 ms more for each of its routes.
    """
    contact, limit = bounds["contactMs"] / 1000, bounds["ackMs"] / 1000
    for order in observed.orders:
        allowance = 0.003 * len(json.loads(order.body)["routeList"]) if order.body else 0.0
        duration = order.ended_at - order.sent_at
        bounded = order.valid and (order.accepted or not order.status)
        if (
            bounded
            and duration > limit + allowance
            and observed.is_undisturbed(order.sent_at - contact, order.ended_at)
        ):
            yield Breach("Acks", f"{order.verb} {order.zone or order.version} waited {duration:.1f} s")


def routing_breaches(
    observed: History, configurations: Configurations, bounds: dict[str, float]
) -> Iterator[Breach]:
    """Each run, and each 404, agrees with a configuration that may be in force."""
    apply_time, contact = bounds["configApplyMs"] / 1000, bounds["contactMs"] / 1000
    all_configurations = [*configurations.accepted, *configurations.unclear, *configurations.refused]
    for run in observed.runs:
        client_try = observed.tries.get(run.attempt)
        if client_try is None or run.ran_at is None:
            continue
        host, target = client_try.kind.host, client_try.target
        if not is_allowed(all_configurations, host, target, run.service):
            yield Breach("ROUTE", f"{run.service} ran {run.target}, which no configuration allows")
            continue
        undisturbed = observed.is_undisturbed(client_try.sent_at - contact, run.at)
        candidates = configurations.may_be_in_force(client_try.sent_at, apply_time, undisturbed)
        if not is_allowed(candidates, host, target, run.service):
            yield Breach("CONFIG", f"{run.service} ran {run.target}, as only old or refused versions allow")
    for client_try in observed.tries.values():
        undisturbed = observed.is_undisturbed(client_try.sent_at - contact, client_try.ended_at)
        candidates = configurations.may_be_in_force(client_try.sent_at, apply_time, undisturbed)
        if (
            client_try.whole
            and client_try.status == 404
            and candidates
            and all(
                configurations.services_for(order, client_try.kind.host, client_try.target)
                for order in candidates
            )
        ):
            yield Breach(
                "CONFIG", f"{client_try.target} is answered 404 by {client_try.sidecar}, but has a route"
            )


def is_allowed(configurations: Iterable[Order], host: str, target: str, service: str) -> bool:
    return any(
        service in (Configurations.services_for(order, host, target) or ()) for order in configurations
    )


def durability_breaches(observed: History) -> Iterator[Breach]:
    """Acknowledged orders are in effect at the end."""
    puts = [order for order in observed.orders if order.verb == "put" and order.valid]
    acknowledged = max((order.version for order in puts if order.accepted), default=0)
    if acknowledged:
        if observed.read_back is None:
            yield Breach("CONFIG", "no configuration came when it was read back")
        else:
            version = json.loads(observed.read_back)["configVersion"]
            sent = {
                order.body
                for order in puts
                if order.version == version and (order.accepted or not order.status)
            }
            if version < acknowledged:
                yield Breach("LOST", f"version {version} was read back, {acknowledged} had been acknowledged")
            elif observed.read_back not in sent:
                yield Breach("CONFIG", f"what was read back as version {version} is not what was sent")
    if observed.evacuated_at_end is not None:
        for zone, last in last_orders_by_zone(observed).items():
            if last.accepted and (last.verb == "evacuate") != (zone in observed.evacuated_at_end):
                yield Breach("LOST", f"the last order for {zone}, {last.verb}, is not there at the end")


def last_orders_by_zone(observed: History) -> dict[str, Order]:
    """Returns the last order for each zone."""
    return {order.zone: order for order in observed.orders if order.zone}
