"""Calls by method and path, whose segments may be variable: those of operators and of the directory."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from shedgrade.route_matching.tree import Node, Tree


@dataclass(frozen=True, slots=True)
class Match:
    """`arguments`: what stood for the pattern's variable segments, in order, as the path wrote them."""

    value: Any
    arguments: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class NotFound:
    """No pattern matches the path."""


@dataclass(frozen=True, slots=True)
class NotAllowed:
    """Patterns match the path, none with this method. `allowed`: the methods they have, sorted."""

    allowed: tuple[bytes, ...]


class Candidate(NamedTuple):
    """A node that matches the first `depth` segments of a path, with the arguments among them."""

    node: Node
    depth: int
    arguments: tuple[bytes, ...]


class CallTree(Tree):
    """A literal segment goes before a variable one, unless the method is allowed by the latter only."""

    __slots__ = ()

    def add(self, method: bytes, pattern: bytes, value: Any) -> None:
        """`pattern`: such as `/evacuation/{}`, where `{}` is one segment that is not empty. ValueError unless
        it begins with a slash and ends without one."""
        if pattern.endswith(b"/") and pattern != b"/":
            raise ValueError(f"{pattern!r} ends with a slash")
        self.insert(None, pattern, value, method)

    def find(self, method: bytes, path: bytes) -> Match | NotFound | NotAllowed:
        """`path`: without its query. Work is bounded by the patterns, whatever the path's length."""
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
