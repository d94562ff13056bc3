"""The tasks that a core member runs at fixed intervals, for parts without timers of their own."""

import asyncio
from collections.abc import Callable

from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE, EndpointListSync
from shedgrade.controlplane.peer_messenger import PeerMessenger
from shedgrade.controlplane.prefix_index_exchange import PrefixIndexExchange
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.state_machine_driver import StateMachineDriver
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.load_reports import LoadAggregator
from shedgrade.process_settings import SettingsReloader
from shedgrade.replication import Member
from shedgrade.runtime.stall_detection import StallDetector

MAINTENANCE_INTERVAL_S = 0.25
EDGE_REPORT_INTERVAL_S = 0.5  # between two reports to other members on the edges that this member hears
LOAD_REPORT_INTERVAL_S = 0.1  # between two reports of the requests that edges have in flight


class PeriodicTasks:
    """Runs maintenance and load reports. Each run first schedules the next one, so that an exception doesn't
    end the task.

    Attributes:
        edge_report_at: when the next report on edges is due, on the loop's clock; never falls.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        member: Member,
        roles: SingletonRoles,
        hub: WatchHub,
        driver: StateMachineDriver,
        endpoint_sync: EndpointListSync,
        prefix_exchange: PrefixIndexExchange,
        loads: LoadAggregator,
        stalls: StallDetector,
        messenger: PeerMessenger,
        reloader: SettingsReloader,
        primary_contact_at: Callable[[], float],
    ) -> None:
        """`primary_contact_at()`: when this member last heard from the primary, or was confirmed as
        primary."""
        self.loop = loop
        self.member = member
        self.roles = roles
        self.hub = hub
        self.driver = driver
        self.endpoint_sync = endpoint_sync
        self.prefix_exchange = prefix_exchange
        self.loads = loads
        self.stalls = stalls
        self.messenger = messenger
        self.reloader = reloader
        self.primary_contact_at = primary_contact_at
        self.edge_report_at = 0.0

    def run_maintenance(self) -> None:
        """Maintains all parts, every MAINTENANCE_INTERVAL_S until the process may exit."""
        if self.driver.may_exit.is_set():
            return
        self.loop.call_later(MAINTENANCE_INTERVAL_S, self.run_maintenance)
        now = self.loop.time()
        self.stalls.observe(now)
        self.hub.set_confirmed_at(self.member.confirmed_at)
        self.hub.set_members(now, self.messenger.members())
        self.prefix_exchange.tick(now, self.primary_contact_at())
        if self.roles.is_held(ENDPOINT_LIST_ROLE) and self.endpoint_sync.has_failed:
            self.roles.release(now, ENDPOINT_LIST_ROLE)
        if now >= self.edge_report_at:
            self.report_edges(now)
        self.hub.tick(now)
        self.driver.run()
        self.reloader.poll(now)

    def report_edges(self, now: float) -> None:
        """Tells the other members about the edges that this member hears."""
        self.edge_report_at = now + EDGE_REPORT_INTERVAL_S
        observations = self.hub.edges.own_edges(now)
        if observations.edges:
            self.messenger.broadcast_control(observations)

    def report_loads(self) -> None:
        """Sends what edges have in flight, every LOAD_REPORT_INTERVAL_S until the process may exit."""
        if self.driver.may_exit.is_set():
            return
        self.loop.call_later(LOAD_REPORT_INTERVAL_S, self.report_loads)
        self.loads.expire_sources(self.loop.time())
        self.loads.send_updates(self.loop.time())
        sums = self.loads.take_unshared()
        if sums is not None:
            self.messenger.broadcast_control(sums)
