"""Routes by host and path prefix: of a host's routes, the longest prefix of the path is found."""

from collections.abc import Iterable
from typing import Any

from shedgrade.route_matching.tree import MISSING, Tree


def host_name(host: bytes) -> bytes:
    """The host in a `Host` header, in lower case and without its port.

    >>> host_name(b"Rota.Example:8080"), host_name(b"[::1]:80")
    (b'rota.example', b'[::1]')
    """
    if host.startswith(b"["):
        return host[: host.find(b"]") + 1].lower() or host
    return host.partition(b":")[0].lower()


class RouteTree(Tree):
    """Finds routes. Prefixes end at slashes, so each is a node of the trie, and the deepest one on the path
    is the longest. Operators' prefixes have no variable segments.
    """

    __slots__ = ()
    has_variables = False

    def __init__(self, routes: Iterable[tuple[bytes, bytes, Any]] = ()) -> None:
        """`routes`: (host, prefix, value that `find` returns) of each. ValueError for a prefix that does not
        begin and end with a slash.
        """
        super().__init__()
        for host, prefix, value in routes:
            self.add(host, prefix, value)

    def add(self, host: bytes, prefix: bytes, value: Any) -> None:
        """Adds a route. ValueError for a prefix that does not begin and end with a slash."""
        if not prefix.endswith(b"/"):
            raise ValueError(f"{prefix!r} does not end with a slash")
        self.insert(host_name(host), prefix, value)

    def find(self, host: bytes, path: bytes) -> Any | None:
        """The value of the route for a request; None if there is none.

        host: as in the header. path: of the request, with or without its query. No more segments are compared
        than the routes have.
        """
        node = self.hosts.get(host)
        if node is None:
            node = self.hosts.get(host_name(host))
        if node is None or not path.startswith(b"/"):
            return None
        best, start = node.value, 1
        children = node.children
        while children is not None:
            end = path.find(b"/", start)
            if end < 0:
                break
            node = children.get(path[start:end])
            if node is None:
                break
            if node.value is not MISSING:
                best = node.value
            children, start = node.children, end + 1
        return None if best is MISSING else best
