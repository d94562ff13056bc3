"""Routes by host and path prefix: of a host's routes, the longest prefix that begins the path."""

from collections.abc import Iterable
from typing import Any

from shedgrade.route_matching.tree import MISSING, Tree


def host_name(host: bytes) -> bytes:
    """The host of a `Host` header in lower case, without its port.

    >>> host_name(b"Rota.Example:8080"), host_name(b"[::1]:80")
    (b'rota.example', b'[::1]')
    """
    if host.startswith(b"["):
        return host[: host.find(b"]") + 1].lower() or host
    return host.partition(b":")[0].lower()


class RouteTree(Tree):
    """Prefixes end at slashes, so each is a node of the trie and the deepest one met is the longest."""

    __slots__ = ()

    def __init__(self, routes: Iterable[tuple[bytes, bytes, Any]] = ()) -> None:
        """`routes`: of each its host, its prefix, which begins and ends with a slash, and what `find` gives
        for it. ValueError for any other prefix."""
        super().__init__()
        for host, prefix, value in routes:
            if not prefix.endswith(b"/"):
                raise ValueError(f"{prefix!r} does not end with a slash")
            self.insert(host_name(host), prefix, value)

    def find(self, host: bytes, path: bytes) -> Any | None:
        """The value of the route for a request, None if it has none. `host`: as the header says it; `path`:
        of the request, its query may stand behind it. No more segments are looked at than the routes have."""
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
