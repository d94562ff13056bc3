"""What the elements of one configuration have to do with one another.

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
    def name(self) -> str: ...


class SplitTarget(Protocol):
    """Of a split: the service that gets a part of a route's requests."""

    @property
    def service(self) -> str: ...


class RouteReferences(Protocol):
    """Of a route: where it is found, and the services to which it leads."""

    @property
    def host(self) -> str: ...
    @property
    def path_prefix(self) -> str: ...
    @property
    def service(self) -> str | None: ...
    @property
    def weighted_split(self) -> Sequence[SplitTarget] | None: ...


class References:
    """Checks each element against those that it has seen before; each is to be shown once, with its place."""

    def __init__(self, findings: Findings, services: Container[str]) -> None:
        """`services`: the names of all services, also of those that are shown later."""
        self.findings, self.services = findings, services
        self.names: dict[str, str] = {}  # of services: where each was met
        self.prefixes: dict[tuple[str, str], str] = {}  # host and prefix: where they were met

    def service(self, service: NamedService, place: str) -> None:
        first = self.names.setdefault(service.name, place)
        if first != place:
            self.findings.add(f"{place}.name", f"{service.name!r} is also the name of {first}")

    def route(self, route: RouteReferences, place: str) -> None:
        first = self.prefixes.setdefault((route.host.lower(), route.path_prefix), place)
        if first != place:
            self.findings.add(place, f"has the host and the prefix of {first}")
        if route.service is not None:
            self.known(route.service, f"{place}.service")
        for at, split in enumerate(route.weighted_split or ()):
            self.known(split.service, f"{place}.weightedSplit[{at}].service")

    def known(self, service: str, place: str) -> None:
        if service not in self.services:
            self.findings.add(place, f"{service!r} is not in serviceList")
