"""Checks of the references between the elements of one configuration.

The Protocol classes below declare the attributes of an element that the checks use. An element is a model of
`shedgrade.configuration`, or a struct of `delta.py` that has only these attributes.

Source: PROTOCOL, "The operator's API".
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import Protocol

from shedgrade.findings import Findings


class NamedService(Protocol):
    """A service, of which only the name is read."""

    @property
    def name(self) -> str:
        """The name by which routes refer to the service."""
        ...


class SplitTarget(Protocol):
    """A split: the service that gets a part of a route's requests."""

    @property
    def service(self) -> str:
        """The name of the service."""
        ...


class RouteReferences(Protocol):
    """A route: its match criteria, and the services that it refers to."""

    @property
    def host(self) -> str:
        """The host of matching requests; case is ignored."""
        ...

    @property
    def path_prefix(self) -> str:
        """The prefix of the paths of matching requests."""
        ...

    @property
    def service(self) -> str | None:
        """The name of the service; may be None if the route has a split."""
        ...

    @property
    def weighted_split(self) -> Sequence[SplitTarget] | None:
        """The services among which requests are split."""
        ...


class References:
    """Checks each element against those added before. Each element must be added once, with its place."""

    def __init__(self, findings: Findings, services: Container[str]) -> None:
        """`services`: the names of all services, also of those that are added later."""
        self.findings = findings
        self.services = services
        self.service_places: dict[str, str] = {}  # by name
        self.route_places: dict[tuple[str, str], str] = {}  # by host in lower case and prefix

    def add_service(self, service: NamedService, place: str) -> None:
        """Adds a service; its name must be unique."""
        first = self.service_places.setdefault(service.name, place)
        if first != place:
            self.findings.add(f"{place}.name", f"{service.name!r} is also the name of {first}")

    def add_route(self, route: RouteReferences, place: str) -> None:
        """Adds a route; its host and prefix must be unique, and the services that it refers to must exist."""
        first = self.route_places.setdefault((route.host.lower(), route.path_prefix), place)
        if first != place:
            self.findings.add(place, f"has the host and the prefix of {first}")
        if route.service is not None:
            self.check_known(route.service, f"{place}.service")
        for at, split in enumerate(route.weighted_split or ()):
            self.check_known(split.service, f"{place}.weightedSplit[{at}].service")

    def check_known(self, service: str, place: str) -> None:
        """Adds a finding if the service does not exist."""
        if service not in self.services:
            self.findings.add(place, f"{service!r} is not in serviceList")
