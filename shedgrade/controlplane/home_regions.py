"""Home regions of a host's routes, for the directory. No I/O.

Source: PROTOCOL, "Requests": a route with `homeRegions` may be served in those regions only. A client asks
for a host and not for a route, so what binds one of its routes binds the host.
"""

from shedgrade.configuration import parse

Regions = frozenset[str] | None
"""Regions where else than in its own a client may be sent; None: all."""

ANYWHERE: Regions = None  # no route of the host has homes
NOWHERE_ELSE: Regions = frozenset()  # in its client's own region only


class HomeRegions:
    """Where clients of a host may be sent beside their own region, by the newest configuration it was asked
    with.

    configuration: the one that `by_host` is of; None before the first. by_host: hosts in lower case.
    """

    def __init__(self) -> None:
        self.configuration: bytes | None = None
        self.by_host: dict[str, Regions] = {}

    def of_host(self, configuration: bytes, host: str) -> Regions:
        """`host` as a client wrote it: the regions that are homes of all its routes that have any.

        Guards against a member that has just started or lags behind: of a host that it does not know, it does
        not know the homes either, so clients of it stay in their own region.
        """
        return self.of_all_hosts(configuration).get(host.lower(), NOWHERE_ELSE)

    def of_all_hosts(self, configuration: bytes) -> dict[str, Regions]:
        """By host in lower case."""
        if configuration is not self.configuration:
            self.by_host = shared_homes(configuration)
            self.configuration = configuration
        return self.by_host


def shared_homes(configuration: bytes) -> dict[str, Regions]:
    """By host in lower case. Routes without homes are served anywhere and restrict nothing; routes whose
    homes share no region leave none that all of them may be served in.
    """
    by_host: dict[str, Regions] = {}
    for route in parse(configuration).routes if configuration else ():
        host = route.host.lower()
        known = by_host.setdefault(host, ANYWHERE)
        if route.home_regions:
            homes = frozenset(route.home_regions)
            by_host[host] = homes if known is None else known & homes
    return by_host
