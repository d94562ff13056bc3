"""Home regions of a host's routes, for the directory. No I/O.

Source: PROTOCOL, "Requests": a route with `homeRegions` may be served in those regions only. A client asks
for a host and not for a route, so the home regions of one of its routes apply to the whole host.
"""

from shedgrade.configuration import parse

Regions = frozenset[str] | None
"""Regions, other than the client's own, to which a client may be sent; None: all."""

ANYWHERE: Regions = None  # no route of the host has home regions
NOWHERE_ELSE: Regions = frozenset()  # only the client's own region


class HomeRegions:
    """The regions, other than the client's own, to which clients of a host may be sent, cached for one
    configuration.

    Attributes:
        configuration: the configuration from which `by_host` was computed; None before the first.
        by_host: regions by host in lower case.
    """

    def __init__(self) -> None:
        self.configuration: bytes | None = None
        self.by_host: dict[str, Regions] = {}

    def of_host(self, configuration: bytes, host: str) -> Regions:
        """The regions that are homes of all routes of `host` that have any. `host`: in any case.

        Guards against a member that has just started or lags behind: it does not know the home regions of an
        unknown host, so clients of such a host stay in their own region.
        """
        return self.of_all_hosts(configuration).get(host.lower(), NOWHERE_ELSE)

    def of_all_hosts(self, configuration: bytes) -> dict[str, Regions]:
        """Regions by host in lower case."""
        if configuration is not self.configuration:
            self.by_host = shared_homes(configuration)
            self.configuration = configuration
        return self.by_host


def shared_homes(configuration: bytes) -> dict[str, Regions]:
    """Regions by host in lower case. Routes without home regions are served anywhere and restrict nothing. If
    the home regions of the routes of a host have none in common, the result for that host is empty.
    """
    by_host: dict[str, Regions] = {}
    for route in parse(configuration).routes if configuration else ():
        host = route.host.lower()
        known = by_host.setdefault(host, ANYWHERE)
        if route.home_regions:
            homes = frozenset(route.home_regions)
            by_host[host] = homes if known is None else known & homes
    return by_host
