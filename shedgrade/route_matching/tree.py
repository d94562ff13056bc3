"""A trie over the segments of paths. What is looked up in it is its users' own: a prefix, or a whole path."""

from typing import Any

MISSING: Any = type("Missing", (), {"__slots__": (), "__repr__": lambda _: "MISSING"})()
VARIABLE = b"{}"  # a segment of a pattern that stands for any one segment that is not empty


class Node:
    """What has been matched so far: its children by their segment, at most one for any segment, and values.

    `value` is the one of no method, MISSING if there is none; `values` are by method. Dicts are made when
    needed: most nodes of a large tree are leaves.
    """

    __slots__ = ("children", "variable", "value", "values")

    def __init__(self) -> None:
        self.children: dict[bytes, Node] | None = None
        self.variable: Node | None = None
        self.value = MISSING
        self.values: dict[bytes, Any] | None = None

    def child(self, segment: bytes) -> "Node":
        """The child of this segment of a pattern, made if there is none."""
        if segment == VARIABLE:
            if self.variable is None:
                self.variable = Node()
            return self.variable
        if self.children is None:
            self.children = {}
        found = self.children.get(segment)
        if found is None:
            found = self.children[segment] = Node()
        return found


class Tree:
    """Roots by host (None: of any), below each a trie of segments."""

    __slots__ = ("hosts",)

    def __init__(self) -> None:
        self.hosts: dict[bytes | None, Node] = {}

    def insert(self, host: bytes | None, path: bytes, value: Any, method: bytes | None = None) -> None:
        """`path`: begins with a slash; one that ends with a slash too is a prefix, whose value stands at the
        node of its last whole segment. A later value takes the place of an earlier one with the same key.
        ValueError if the path doesn't begin with a slash."""
        if not path.startswith(b"/"):
            raise ValueError(f"{path!r} does not begin with a slash")
        node = self.hosts.get(host)
        if node is None:
            node = self.hosts[host] = Node()
        segments = path.split(b"/")[1:]
        if not segments[-1]:
            segments.pop()
        for segment in segments:
            node = node.child(segment)
        if method is None:
            node.value = value
        else:
            if node.values is None:
                node.values = {}
            node.values[method] = value
