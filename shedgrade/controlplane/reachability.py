"""Whether this member is cut off from most others, and whose requests its side can't serve then. No I/O.

Sources: PROTOCOL, "Ingress" (a client asks the nearest directory, and another after a failure) and
"Requests" (home regions).
"""

from collections.abc import Iterable
from math import inf

from shedgrade.configuration import parse

LOST = 0.8  # s without a word after which another member counts as out of reach


class ReachabilityMonitor:
    """What one member hears of the others, by link address. Times are seconds of a steady clock."""

    def __init__(self, own: str, region: str) -> None:
        self.own, self.region = own, region
        self.at: dict[str, float] = {}  # when each other member was last heard
        self.read: bytes | None = None  # the configuration that `routes` are of
        self.routes: list[tuple[str, bool, frozenset[str]]] = []  # host, may be served here, its services

    def heard(self, now: float, member: str) -> None:
        self.at[member] = now

    def cut_off(self, now: float, members: Iterable[str], contact_at: float) -> bool:
        """Neither the primary nor a majority, with this member, was heard lately. While a primary is voted
        for, a majority is. `contact_at`: when this member last heard the primary, or was confirmed as one."""
        if now - contact_at <= LOST:
            return False
        members = tuple(members)
        self.at = {member: self.at[member] for member in members if member in self.at}
        near = sum(member == self.own or now - self.at.get(member, -inf) <= LOST for member in members)
        return 2 * near <= len(members)

    def stranded(self, configuration: bytes, here: Iterable[str]) -> frozenset[str]:
        """Hosts with a route that the own region can't serve by itself: it is none of the route's homes, or
        has no upstream of its services. `here`: services with a ready upstream in the own region."""
        if configuration is not self.read:
            self.read, self.routes = configuration, []
            for route in parse(configuration).routes if configuration else ():
                homes, weights = route.home_regions, route.weights()
                self.routes.append(
                    (
                        route.host.lower(),
                        not homes or self.region in homes,
                        frozenset(name for name in weights if weights[name] > 0),
                    )
                )
        here = frozenset(here)
        return frozenset(host for host, at_home, services in self.routes if not (at_home and services & here))
