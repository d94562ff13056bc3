"""Whether this member is cut off from most others, and whose requests its side can't serve then. No I/O.

Sources: PROTOCOL, "Ingress" (a client asks the nearest directory, and another after a failure) and
"Requests" (home regions).
"""

from collections.abc import Iterable
from math import inf

import msgspec

from shedgrade.configuration import parse

MEMBER_TIMEOUT_S = 0.8  # without a message after which another member counts as unreachable


class RouteNeeds(msgspec.Struct, frozen=True):
    """What a route needs so that one region can serve it by itself.

    host: in lower case. is_at_home: whether this region is one of its homes, or it has none. services: that
    have a share of its requests.
    """

    host: str
    is_at_home: bool
    services: frozenset[str]


class ReachabilityMonitor:
    """What one member hears of the others, by link address. Times are seconds of a steady clock.

    own_address: this member's. region: where it runs. last_heard_at: of each other member. configuration: the
    one that `routes` are of; None before the first.
    """

    def __init__(self, own_address: str, region: str) -> None:
        self.own_address = own_address
        self.region = region
        self.last_heard_at: dict[str, float] = {}
        self.configuration: bytes | None = None
        self.routes: list[RouteNeeds] = []

    def heard(self, now: float, member: str) -> None:
        """A message of that member came."""
        self.last_heard_at[member] = now

    def is_cut_off(self, now: float, members: Iterable[str], primary_heard_at: float) -> bool:
        """Whether neither the primary nor a majority, with this member, was heard lately. While a primary is
        elected, a majority is. `primary_heard_at`: when this member last heard the primary, or was confirmed
        as one.
        """
        if now - primary_heard_at <= MEMBER_TIMEOUT_S:
            return False
        members = tuple(members)
        self.last_heard_at = {
            member: self.last_heard_at[member] for member in members if member in self.last_heard_at
        }
        reachable = sum(self.is_reachable(now, member) for member in members)
        return 2 * reachable <= len(members)

    def is_reachable(self, now: float, member: str) -> bool:
        """Whether that member was heard lately, or is this one."""
        if member == self.own_address:
            return True
        return now - self.last_heard_at.get(member, -inf) <= MEMBER_TIMEOUT_S

    def stranded_hosts(self, configuration: bytes, local_services: Iterable[str]) -> frozenset[str]:
        """Hosts with a route that the own region can't serve by itself: it is none of the route's homes, or
        has no endpoint of its services. `local_services`: those with a ready endpoint in the own region.
        """
        if configuration is not self.configuration:
            self.configuration = configuration
            self.routes = self.read_routes(configuration)
        local = frozenset(local_services)
        return frozenset(
            route.host for route in self.routes if not (route.is_at_home and route.services & local)
        )

    def read_routes(self, configuration: bytes) -> list[RouteNeeds]:
        """What each route of that configuration needs; none before the first configuration."""
        if not configuration:
            return []
        return [
            RouteNeeds(
                route.host.lower(),
                not route.home_regions or self.region in route.home_regions,
                frozenset(service for service, weight in route.weights().items() if weight > 0),
            )
            for route in parse(configuration).routes
        ]
