"""The route table, without I/O: maps a destination to a pool and a way to use it, or refuses it. The first
match applies."""

import ipaddress

from msgspec import Struct

from shedgrade.sidecar.tunnel.destinations import Destination, DestinationError, destination

OPAQUE, INSPECTED, REFUSE = "opaque", "inspected", "refuse"


class RouteError(ValueError):
    """An invalid route; the text has its key and the reason."""


class Route(Struct):
    """One validated route.

    Attributes:
        names, suffixes, ranges: host names, suffixes with a leading dot, and IP networks; one must match.
        ports: (low, high) pairs, both inclusive; any port if empty.
        use: OPAQUE, INSPECTED or REFUSE.
        pool: the name of the pool.
        method: the method in the pool's settings as which an opaque tunnel is opened.
    """

    names: frozenset[str]
    suffixes: tuple[str, ...]
    ranges: tuple
    ports: tuple[tuple[int, int], ...]
    use: str
    pool: str = ""
    method: str = ""

    def matches(self, target: Destination) -> bool:
        """Whether the port, and the name or address, of a destination match."""
        if self.ports and not any(low <= target.port <= high for low, high in self.ports):
            return False
        if target.address:
            address = ipaddress.ip_address(target.host)
            return target.host in self.names or any(
                address.version == one.version and address in one for one in self.ranges
            )
        return target.host in self.names or any(target.host.endswith(suffix) for suffix in self.suffixes)


def parse_names(texts: list[str]) -> frozenset[str]:
    """Normalises names and addresses. RouteError if one is invalid."""
    found = set()
    for text in texts:
        try:
            found.add(destination(text, 1).host)
        except DestinationError as error:
            raise RouteError(f"names: {error}") from error
    return frozenset(found)


def parse_suffixes(texts: list[str]) -> tuple[str, ...]:
    """Parses suffixes: `.example.test` matches the names below it, neither itself nor part of a label.
    RouteError if one is invalid."""
    found = []
    for text in texts:
        if not text.startswith("."):
            raise RouteError(f"suffixes: {text!r} does not begin with a dot")
        try:
            found.append("." + destination(text[1:], 1).host)
        except DestinationError as error:
            raise RouteError(f"suffixes: {error}") from error
    return tuple(found)


def parse_ranges(texts: list[str]) -> tuple:
    """Parses IP networks. RouteError if one is invalid."""
    try:
        return tuple(ipaddress.ip_network(text) for text in texts)
    except ValueError as error:
        raise RouteError(f"ranges: {error}") from error


def parse_ports(given: list) -> tuple[tuple[int, int], ...]:
    """Turns ports and [low, high] pairs into inclusive ranges. RouteError if one is invalid."""
    found = []
    for one in given:
        low, high = one if isinstance(one, list) else (one, one)
        if not 0 < low <= high < 65536:
            raise RouteError(f"ports: {one} is neither a port nor a range of ports")
        found.append((low, high))
    return tuple(found)


class Table:
    """All routes in order. A destination without a route is refused, so the listener is no open relay."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    def find(self, target: Destination) -> Route | None:
        """The route for a destination, or None if it is refused."""
        for route in self.routes:
            if route.matches(target):
                return None if route.use == REFUSE else route
        return None
