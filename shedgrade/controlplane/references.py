"""Checks of the references between the elements of one configuration.

Elements are whatever has the attributes that are read here: the models of `shedgrade.configuration`, or the
few fields that `delta.py` reads of each. Source: PROTOCOL, "The operator's API".
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import Protocol

from shedgrade.findings import Findings


class NamedService(Protocol):
    """Of a service: its name."""

    @property
    def name(self) -> str:
        """By which routes refer to it."""
        ...


class SplitTarget(Protocol):
    """Of a split: the service that gets a part of a route's requests."""

    @property
    def service(self) -> str:
        """Its name."""
        ...


class RouteReferences(Protocol):
    """Of a route: where it is found, and the services to which it leads."""

    @property
    def host(self) -> str:
        """Of the requests, in any case."""
        ...

    @property
    def path_prefix(self) -> str:
        """Of the requests' paths."""
        ...

    @property
    def service(self) -> str | None:
        """Its name, None if there is a split."""
        ...

    @property
    def weighted_split(self) -> Sequence[SplitTarget] | None:
        """The services among which requests are split."""
        ...


class References:
    """Checks each element against those that it has seen before; each is to be shown once, with its place."""

    def __init__(self, findings: Findings, services: Container[str]) -> None:
        """`services`: the names of all services, also of those that are shown later."""
        self.findings = findings
        self.services = services
        self.service_places: dict[str, str] = {}  # by name
        self.route_places: dict[tuple[str, str], str] = {}  # by host in lower case and prefix

    def add_service(self, service: NamedService, place: str) -> None:
        """A service; its name must be its own."""
        first = self.service_places.setdefault(service.name, place)
        if first != place:
            self.findings.add(f"{place}.name", f"{service.name!r} is also the name of {first}")

    def add_route(self, route: RouteReferences, place: str) -> None:
        """A route; host and prefix must be its own, and the services to which it leads must exist."""
        first = self.route_places.setdefault((route.host.lower(), route.path_prefix), place)
        if first != place:
            self.findings.add(place, f"has the host and the prefix of {first}")
        if route.service is not None:
            self.check_known(route.service, f"{place}.service")
        for at, split in enumerate(route.weighted_split or ()):
            self.check_known(split.service, f"{place}.weightedSplit[{at}].service")

    def check_known(self, service: str, place: str) -> None:
        """A service must exist."""
        if service not in self.services:
            self.findings.add(place, f"{service!r} is not in serviceList")
