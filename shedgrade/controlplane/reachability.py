"""Whether this member is cut off from most others, and which hosts its side then can't serve. No I/O.

Sources: PROTOCOL, "Ingress" (a client asks the nearest directory, and another one after a failure) and
"Requests" (home regions).
"""

from collections.abc import Iterable
from math import inf

import msgspec

from shedgrade.configuration import parse

MEMBER_TIMEOUT_S = 0.8  # without a message, after which another member counts as unreachable


class RouteRequirements(msgspec.Struct, frozen=True):
    """What one region needs to serve a route by itself.

    Attributes:
        host: host of the route, in lower case.
        is_home_region: whether this region is one of the route's homes, or the route has none.
        services: the services that get a share of the route's requests.
    """

    host: str
    is_home_region: bool
    services: frozenset[str]


class ReachabilityMonitor:
    """When this member last heard from each other member, and the routes that it needs to judge hosts.

    Attributes:
        own_address: peer address of this member.
        region: region of this member.
        last_heard_at: by peer address, when another member was last heard, in seconds of a steady clock.
        configuration: the configuration from which `routes` was read; None before the first.
        routes: what each route of `configuration` needs.
    """

    def __init__(self, own_address: str, region: str) -> None:
        self.own_address = own_address
        self.region = region
        self.last_heard_at: dict[str, float] = {}
        self.configuration: bytes | None = None
        self.routes: list[RouteRequirements] = []

    def record_contact(self, now: float, member: str) -> None:
        """Records that a message of that member arrived."""
        self.last_heard_at[member] = now

    def is_cut_off(self, now: float, members: Iterable[str], primary_heard_at: float) -> bool:
        """Returns whether neither the primary nor a majority, counting this member, was heard recently. While
        a new primary is being elected, only a majority is heard. `primary_heard_at`: when this member last
        heard from the primary, or was confirmed as primary.
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
        """Returns whether that member is this one or was heard recently."""
        if member == self.own_address:
            return True
        return now - self.last_heard_at.get(member, -inf) <= MEMBER_TIMEOUT_S

    def unservable_hosts(self, configuration: bytes, local_services: Iterable[str]) -> frozenset[str]:
        """Returns the hosts with a route that the own region can't serve by itself, because the region is
        none of the route's homes or has no endpoint of its services. `local_services`: services with a ready
        endpoint in the own region.
        """
        if configuration is not self.configuration:
            self.configuration = configuration
            self.routes = self.read_routes(configuration)
        local = frozenset(local_services)
        return frozenset(
            route.host for route in self.routes if not (route.is_home_region and route.services & local)
        )

    def read_routes(self, configuration: bytes) -> list[RouteRequirements]:
        """Returns what each route of that configuration needs; nothing before the first configuration."""
        if not configuration:
            return []
        return [
            RouteRequirements(
                route.host.lower(),
                not route.home_regions or self.region in route.home_regions,
                frozenset(route.weights()),
            )
            for route in parse(configuration).routes
        ]
