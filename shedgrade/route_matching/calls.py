"""API calls by method and path pattern, of the operators' API and the directory."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from shedgrade.route_matching.tree import Node, Tree


@dataclass(frozen=True, slots=True)
class Match:
    """A call that was found.

    Attributes:
        value: as it was given to `CallTree.add`.
        arguments: the path's segments at the pattern's variable segments, in order and not decoded.
    """

    value: Any
    arguments: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class NotFound:
    """No pattern matches the path."""


@dataclass(frozen=True, slots=True)
class NotAllowed:
    """Patterns match the path, but none with this method. `allowed`: the methods that they have, sorted."""

    allowed: tuple[bytes, ...]


class Candidate(NamedTuple):
    """A node that matches the first `depth` segments of a path, with the arguments found among them."""

    node: Node
    depth: int
    arguments: tuple[bytes, ...]


class CallTree(Tree):
    """Finds calls by method and path. A literal segment takes precedence over a variable one, unless only the
    latter allows the method.
    """

    __slots__ = ()

    def add(self, method: bytes, pattern: bytes, value: Any) -> None:
        """Adds a call. `pattern`: such as `/evacuation/{}`, where `{}` is any segment that is not empty.
        ValueError unless it begins with a slash and does not end with one, or is `/`.
        """
        if pattern.endswith(b"/") and pattern != b"/":
            raise ValueError(f"{pattern!r} ends with a slash")
        self.insert(None, pattern, value, method)

    def find(self, method: bytes, path: bytes) -> Match | NotFound | NotAllowed:
        """The call for a method and a path without its query. The work is bounded by the patterns, whatever
        the path's length.
        """
        root = self.hosts.get(None)
        if root is None or not path.startswith(b"/"):
            return NotFound()
        segments = path[1:].split(b"/") if path != b"/" else []
        allowed: set[bytes] = set()
        candidates = [Candidate(root, 0, ())]
        while candidates:
            node, depth, arguments = candidates.pop()
            if depth == len(segments):
                if node.values is None:
                    continue
                if method in node.values:
                    return Match(node.values[method], arguments)
                allowed.update(node.values)
                continue
            segment = segments[depth]
            if node.variable is not None and segment:
                candidates.append(Candidate(node.variable, depth + 1, (*arguments, segment)))
            literal = None if node.children is None else node.children.get(segment)
            if literal is not None:
                candidates.append(Candidate(literal, depth + 1, arguments))
        return NotAllowed(tuple(sorted(allowed))) if allowed else NotFound()
