"""A trie over the segments of paths; its users look up prefixes or whole paths in it."""

from typing import Any

MISSING: Any = type("Missing", (), {"__slots__": (), "__repr__": lambda _: "MISSING"})()
VARIABLE = b"{}"  # segment of a pattern that matches any segment that is not empty


class Node:
    """A node of the trie.

    Attributes:
        children: child nodes by literal segment; None if there are none, as most nodes of a large tree are
            leaves.
        variable: the child for any segment that is not empty.
        value: the value that belongs to no method, or MISSING.
        values: values by method; None if there are none.
    """

    __slots__ = ("children", "variable", "value", "values")

    def __init__(self) -> None:
        self.children: dict[bytes, Node] | None = None
        self.variable: Node | None = None
        self.value = MISSING
        self.values: dict[bytes, Any] | None = None

    def child(self, segment: bytes, may_be_variable: bool) -> "Node":
        """The child for this segment of a pattern; it is created if it does not exist."""
        if may_be_variable and segment == VARIABLE:
            if self.variable is None:
                self.variable = Node()
            return self.variable
        if self.children is None:
            self.children = {}
        child = self.children.get(segment)
        if child is None:
            child = self.children[segment] = Node()
        return child


class Tree:
    """A trie of segments for each host.

    Attributes:
        hosts: root nodes by host; None stands for any host.
    """

    __slots__ = ("hosts",)
    has_variables = True  # `{}` stands for any segment; without that it is a segment like any other

    def __init__(self) -> None:
        self.hosts: dict[bytes | None, Node] = {}

    def insert(self, host: bytes | None, path: bytes, value: Any, method: bytes | None = None) -> None:
        """Sets the value of a path, replacing an earlier one with the same host, path and method.

        path: begins with a slash; if it ends with a slash too it is a prefix, whose value belongs to the node
        of the last segment before that slash. ValueError if it does not begin with a slash.
        """
        if not path.startswith(b"/"):
            raise ValueError(f"{path!r} does not begin with a slash")
        node = self.hosts.get(host)
        if node is None:
            node = self.hosts[host] = Node()
        segments = path.split(b"/")[1:]
        if not segments[-1]:
            segments.pop()
        for segment in segments:
            node = node.child(segment, self.has_variables)
        if method is None:
            node.value = value
        else:
            if node.values is None:
                node.values = {}
            node.values[method] = value
