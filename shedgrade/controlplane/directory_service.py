"""Resolution of hosts to edges, `GET /resolution`: passes the state of this member to the `Directory`."""

import asyncio
from collections.abc import Callable
from random import Random

from shedgrade.control_messages import EdgeRecord, EdgeStatus
from shedgrade.controlplane.directory import Directory, drain_target
from shedgrade.controlplane.endpoint_list_sync import EndpointListSync
from shedgrade.controlplane.home_regions import HomeRegions, Regions
from shedgrade.controlplane.reachability import ReachabilityMonitor
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.http.server import Request, Respond
from shedgrade.process_settings import Settings


class DirectoryService:
    """Answers requests to the directory.

    `members()`: peer addresses of the core members. `primary_contact_at()`: when this member last heard from
    the primary, or was confirmed as primary, on the loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        random: Random,
        endpoint_sync: EndpointListSync,
        reachability: ReachabilityMonitor,
        members: Callable[[], tuple[str, ...]],
        primary_contact_at: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.random = random
        self.endpoint_sync = endpoint_sync
        self.reachability = reachability
        self.members = members
        self.primary_contact_at = primary_contact_at
        self.home_regions = HomeRegions()
        self.apply_settings(settings)

    def connect(self, hub: WatchHub) -> None:
        """Sets the hub whose edges are resolved; must be called before any other method."""
        self.hub = hub

    def apply_settings(self, settings: Settings) -> None:
        """Applies reloaded settings."""
        self.region = settings.region
        self.directory = Directory(settings.zones, self.random, settings.bounds)

    def resolve(self, request: Request, respond: Respond) -> None:
        """Responds with the edges to which the client may be sent."""
        now = self.loop.time()
        unservable_hosts: frozenset[str] = frozenset()
        if self.reachability.is_cut_off(now, self.members(), self.primary_contact_at()):
            services = self.endpoint_sync.services_in(self.region)
            unservable_hosts = self.reachability.unservable_hosts(self.hub.configuration, services)
        edges = self.hub.listed_edges(now)
        respond(self.directory.handle(request, edges, unservable_hosts, self.homes_of))

    def homes_of(self, host: str) -> Regions:
        """The regions other than their own to which clients of a host may be sent."""
        return self.home_regions.of_host(self.hub.configuration, host)

    def drain_target_of(self, edge: EdgeStatus, others: tuple[EdgeRecord, ...]) -> str:
        """Which edges take over the clients of an edge that leaves; see `drain_target`."""
        return drain_target(edge, others, self.home_regions.of_all_hosts(self.hub.configuration))
