"""Keeps this member's endpoint list current: polls the platform, or applies updates of other members."""

import asyncio
from collections.abc import Mapping
from random import Random
from zlib import crc32

from shedgrade.control_messages import AVAILABLE, EndpointUpdate
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.peer_messenger import PeerMessenger
from shedgrade.controlplane.platform_poller import Poller
from shedgrade.controlplane.prefix_index_exchange import PrefixIndexExchange
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.load_reports import LoadAggregator
from shedgrade.process_settings import Settings

ENDPOINT_LIST_ROLE = "upstreams"  # the role of polling the platform's list; the name is sent
MAX_FAILED_POLLS = 3  # in a row, after which the holder of the role releases it


class EndpointListSync:
    """Keeps the endpoint list current and passes changes on.

    Attributes:
        zones: region by zone, from the settings in force.
        sent_version: version of the list that this member last sent to the others; (0, 0) before.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        random: Random,
        endpoint_list: EndpointList,
        messenger: PeerMessenger,
    ) -> None:
        self.loop = loop
        self.zones: Mapping[str, str] = settings.zones
        self.random = random
        self.endpoint_list = endpoint_list
        self.messenger = messenger
        self.poller = Poller(loop, settings.cloud_api, endpoint_list, self.on_polled, random=random)
        self.sent_version = (0, 0)

    def connect(self, hub: WatchHub, prefix_exchange: PrefixIndexExchange, loads: LoadAggregator) -> None:
        """Sets the objects that are told of a changed list; must be called before any other method."""
        self.hub = hub
        self.prefix_exchange = prefix_exchange
        self.loads = loads

    def apply_settings(self, settings: Settings) -> None:
        """Applies reloaded settings."""
        self.zones = settings.zones
        self.poller.retarget(settings.cloud_api)

    def start(self, term: int) -> None:
        """Starts polling the platform, as holder of the role in `term`."""
        self.poller.start(term)

    def stop(self) -> None:
        """Stops polling the platform."""
        self.poller.stop()

    @property
    def has_failed(self) -> bool:
        """Whether polls failed so often that another member should try."""
        return self.poller.consecutive_failures >= MAX_FAILED_POLLS

    async def load_at_start(self, settings: Settings) -> None:
        """Polls once when a member restarts, so that endpoints are known before the election is over."""
        poller = Poller(self.loop, settings.cloud_api, self.endpoint_list, self.on_polled, random=self.random)
        if await poller.poll_once():
            self.on_changed(self.loop.time())

    def on_polled(self, changed: bool) -> None:
        """Handles a complete list that this process polled."""
        now = self.loop.time()
        if changed:
            self.on_changed(now)
        self.messenger.broadcast_control(self.endpoint_list.update_since(*self.sent_version, now))
        self.sent_version = self.endpoint_list.version

    def on_update(self, now: float, update: EndpointUpdate, max_unread_s: float) -> bool:
        """Applies an update of another member, which may have waited here for `max_unread_s`. Returns
        whether the full list must be requested, because the list that the update builds on is missing."""
        if self.endpoint_list.apply_update(update, now, max_unread_s):
            self.on_changed(now)
            return False
        return self.endpoint_list.needs_request

    def on_changed(self, now: float) -> None:
        """Passes the changed list to all components that depend on it."""
        self.prefix_exchange.retain_endpoints(self.endpoint_list)
        self.loads.regions = {
            crc32(endpoint.id.encode()): self.zones.get(endpoint.zone, "")
            for endpoint in self.endpoint_list.snapshot()
        }
        self.hub.set_endpoint_list(now, self.endpoint_list)

    def services_in(self, region: str) -> set[str]:
        """Services with an available endpoint in the region."""
        return {
            endpoint.service
            for endpoint in self.endpoint_list.snapshot()
            if endpoint.state == AVAILABLE and self.zones.get(endpoint.zone) == region
        }
