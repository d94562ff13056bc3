"""Matching by tree: routes by host and path prefix, API calls by method and path."""

from shedgrade.route_matching.calls import CallTree, Match, NotAllowed, NotFound
from shedgrade.route_matching.routes import RouteTree, host_name
from shedgrade.route_matching.tree import MISSING, VARIABLE, Node, Tree

__all__ = [
    "MISSING",
    "VARIABLE",
    "CallTree",
    "Match",
    "Node",
    "NotAllowed",
    "NotFound",
    "RouteTree",
    "Tree",
    "host_name",
]
