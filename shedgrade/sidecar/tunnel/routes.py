"""The route table, without I/O: from a destination to a pool and a way of use, or to refusal. First match
wins."""

import ipaddress

from msgspec import Struct

from shedgrade.sidecar.tunnel.destinations import Destination, DestinationError, destination

OPAQUE, INSPECTED, REFUSE = "opaque", "inspected", "refuse"


class RouteError(ValueError):
    """A route that can't be: its key and the reason."""


class Route(Struct):
    """One row, checked. `method`: of the pool's settings, as which an opaque tunnel is opened."""

    names: frozenset[str]
    suffixes: tuple[str, ...]
    ranges: tuple
    ports: tuple[tuple[int, int], ...]
    use: str
    pool: str = ""
    method: str = ""

    def matches(self, where: Destination) -> bool:
        if self.ports and not any(low <= where.port <= high for low, high in self.ports):
            return False
        if where.address:
            address = ipaddress.ip_address(where.host)
            return where.host in self.names or any(
                address.version == one.version and address in one for one in self.ranges
            )
        return where.host in self.names or any(where.host.endswith(suffix) for suffix in self.suffixes)


def names(texts: list[str]) -> frozenset[str]:
    found = set()
    for text in texts:
        try:
            found.add(destination(text, 1).host)
        except DestinationError as wrong:
            raise RouteError(f"names: {wrong}") from wrong
    return frozenset(found)


def suffixes(texts: list[str]) -> tuple[str, ...]:
    """`.example.test` matches what stands below it, not itself, and never half a label."""
    found = []
    for text in texts:
        if not text.startswith("."):
            raise RouteError(f"suffixes: {text!r} does not begin with a dot")
        try:
            found.append("." + destination(text[1:], 1).host)
        except DestinationError as wrong:
            raise RouteError(f"suffixes: {wrong}") from wrong
    return tuple(found)


def ranges(texts: list[str]) -> tuple:
    try:
        return tuple(ipaddress.ip_network(text) for text in texts)
    except ValueError as wrong:
        raise RouteError(f"ranges: {wrong}") from wrong


def ports(given: list) -> tuple[tuple[int, int], ...]:
    found = []
    for one in given:
        low, high = one if isinstance(one, list) else (one, one)
        if not 0 < low <= high < 65536:
            raise RouteError(f"ports: {one}")
        found.append((low, high))
    return tuple(found)


class Table:
    """All routes in their order. What none names is refused: this is no open relay."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    def find(self, where: Destination) -> Route | None:
        """The route to follow, or None for refusal."""
        for route in self.routes:
            if route.matches(where):
                return None if route.use == REFUSE else route
        return None
