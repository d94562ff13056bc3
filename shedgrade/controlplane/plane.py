"""The control plane of one core machine: creates its parts, connects them, starts and stops them."""

import asyncio
import gc
import signal
from collections.abc import Callable
from random import Random
from time import time

from shedgrade.controlplane.command_router import CommandRouter
from shedgrade.controlplane.commands import make_decision_function
from shedgrade.controlplane.directory_service import DirectoryService
from shedgrade.controlplane.disk_thread import DiskThread, load_store
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE, EndpointListSync
from shedgrade.controlplane.message_dispatcher import MessageDispatcher
from shedgrade.controlplane.operator_api import OperatorApi
from shedgrade.controlplane.peer_messenger import PeerMessenger
from shedgrade.controlplane.periodic_tasks import EDGE_REPORT_INTERVAL_S, PeriodicTasks
from shedgrade.controlplane.prefix_index_exchange import PrefixIndexExchange
from shedgrade.controlplane.reachability import ReachabilityMonitor
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.state_machine_driver import StateMachineDriver
from shedgrade.controlplane.status import Status, status
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.http.server import HttpServer
from shedgrade.load_reports import LoadAggregator
from shedgrade.membership.gossip import Gossip
from shedgrade.membership.messages import Node
from shedgrade.peer_transport.connection import PeerConnection
from shedgrade.peer_transport.frames import Frame
from shedgrade.peer_transport.tcp import PeerConnectionPool, PeerServer
from shedgrade.process_settings import Settings, SettingsFileWatcher, SettingsReloader
from shedgrade.replication import Member
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_uncaught
from shedgrade.runtime.stall_detection import ArrivalClock, StallDetector, monotonic_clock
from shedgrade.storage import LoadResult, Store
from shedgrade.storage.files import WritableFolder

LINGER_S = 0.2  # between the end of the state machines and that of the process, to send the last messages
KILL_MARGIN_S = 1.0  # before SIGKILL, by which this process ends whatever it still waits for


def leave_timeout_s(grace_s: float) -> float:
    """Returns how long a process that was told to end may wait for other members, when SIGKILL follows after
    `grace_s`."""
    return max(grace_s / 2, grace_s - LINGER_S - KILL_MARGIN_S)


class ControlPlane:
    """Creates the parts of a core member, starts them, and closes them when the member may exit.

    The parts know each other only through their constructors: `driver` runs the state machines (`member`,
    `roles`, `hub`), `dispatcher` passes them messages of other processes, and `periodic_tasks` calls them at
    fixed intervals.
    """

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        random: Random,
        settings_watcher: SettingsFileWatcher | None = None,
        *,
        files: WritableFolder | None = None,
        make_disk: Callable[..., DiskThread] = DiskThread,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        """`settings_watcher`: the settings file, which may change; None if there is none. A simulated machine
        passes `files`, `make_disk` (same signature as `DiskThread`) and `wall_clock` (s since 1970)."""
        self.settings = settings
        self.loop = loop
        self.random = random
        self.own_address = settings.link_address
        self.store = Store(settings.data_dir, files)
        loaded = load_store(self.store)
        for finding in loaded.findings:
            logger.warning("disk finding", finding=str(finding))
        self.disk = make_disk(loop, self.store, self.on_persisted)
        self.is_founding = settings.initial_start and loaded.state == "empty"
        self.make_replication(loaded)
        self.make_links()
        self.make_endpoint_list(wall_clock)
        self.make_hub()
        self.make_gossip()
        self.make_services(settings_watcher)
        self.make_driver()

    # --- construction, in an order that determines the numbers drawn from `random`

    def make_replication(self, loaded: LoadResult) -> None:
        """Creates this machine's member of the group that replicates the control state."""
        settings = self.settings
        self.member = Member(
            settings.node_name,
            self.own_address,
            founding=self.is_founding,
            seeds=settings.seed_link_addresses,
            tolerated=settings.tolerated.machines,
            stored_values=loaded.values or None,
            random=self.random,
            now=self.loop.time(),
            decide=make_decision_function(settings.zones),
        )

    def make_links(self) -> None:
        """Creates the links to other processes, and the router that forwards commands over them."""
        settings = self.settings
        self.peer_connections = PeerConnectionPool(
            self.loop, self.own_address, self.on_outbound_connection_frame, settings.ip_address, self.on_frame
        )
        listen_at = (settings.ip_address, settings.internal_port_range[0])
        self.server = PeerServer(
            self.loop, listen_at, self.own_address, self.on_frame, self.peer_connections.adopt
        )
        self.messenger = PeerMessenger(self.peer_connections, self.own_address, self.member_addresses)
        clock = monotonic_clock(self.loop)
        self.command_router = CommandRouter(
            self.loop, self.member, self.peer_connections, self.run_state_machines, clock
        )
        self.arrivals = ArrivalClock(self.loop, clock)
        self.stalls = StallDetector(self.loop.time())

    def make_endpoint_list(self, wall_clock: Callable[[], float]) -> None:
        """Creates the platform's endpoint list, and the election of the member that polls it."""
        self.endpoint_list = EndpointList(self.loop.time)
        self.endpoint_sync = EndpointListSync(
            self.loop, self.settings, self.random, self.endpoint_list, self.messenger
        )
        self.roles = SingletonRoles(
            self.own_address,
            self.member_addresses,
            self.random,
            self.loop.time(),
            roles=(ENDPOINT_LIST_ROLE,),
            term_counter_floor=int(wall_clock() * 10),
        )

    def make_hub(self) -> None:
        """Creates the parts that answer edges, and the directory in which clients look edges up."""
        self.reachability = ReachabilityMonitor(self.own_address, self.settings.region)
        self.directory_service = DirectoryService(
            self.loop,
            self.settings,
            self.random,
            self.endpoint_sync,
            self.reachability,
            self.member_addresses,
            self.primary_contact_at,
        )
        self.hub = WatchHub(
            self.loop.time(),
            exchange_interval_s=EDGE_REPORT_INTERVAL_S,
            drain_target_of=self.directory_service.drain_target_of,
        )
        self.directory_service.connect(self.hub)
        self.prefix_exchange = PrefixIndexExchange(
            self.hub, self.random.getrandbits(40) + 1, self.is_founding, self.messenger.broadcast_control
        )
        self.loads = LoadAggregator(self.own_address)
        self.endpoint_sync.connect(self.hub, self.prefix_exchange, self.loads)

    def make_gossip(self) -> None:
        """Creates this process's node in the gossip among all processes of the system."""
        settings = self.settings
        node = Node(
            settings.node_name,
            settings.gossip_address,
            "core",
            settings.zone,
            self.random.getrandbits(48),
            self.own_address,
        )
        self.gossip = Gossip(self.loop, node, settings.seed_gossip_addresses, self.random)

    def make_services(self, settings_watcher: SettingsFileWatcher | None) -> None:
        """Creates the HTTP API for operators and the reloading of settings."""
        ip, port = self.settings.listen.get("control", ("", 0))
        self.operator_api = OperatorApi(self.command_router, self.status, f"{ip}:{port}")
        self.http_servers: list[HttpServer] = []
        self.reloader = SettingsReloader(self.settings, settings_watcher, self.apply_settings)

    def make_driver(self) -> None:
        """Creates the parts that run the state machines on instructions, messages and time."""
        self.driver = StateMachineDriver(
            self.loop,
            self.member,
            self.roles,
            self.hub,
            self.messenger,
            self.endpoint_sync,
            self.command_router,
            lambda token, changes: self.disk.write(token, changes),
        )
        self.periodic_tasks = PeriodicTasks(
            self.loop,
            member=self.member,
            roles=self.roles,
            hub=self.hub,
            driver=self.driver,
            endpoint_sync=self.endpoint_sync,
            prefix_exchange=self.prefix_exchange,
            loads=self.loads,
            stalls=self.stalls,
            messenger=self.messenger,
            reloader=self.reloader,
            primary_contact_at=self.primary_contact_at,
        )
        self.dispatcher = MessageDispatcher(
            self.loop,
            member=self.member,
            roles=self.roles,
            hub=self.hub,
            router=self.command_router,
            endpoint_sync=self.endpoint_sync,
            prefix_exchange=self.prefix_exchange,
            loads=self.loads,
            reachability=self.reachability,
            stalls=self.stalls,
            messenger=self.messenger,
            run_state_machines=self.driver.run,
            report_edges=self.periodic_tasks.report_edges,
        )

    # --- callbacks for parts that are created before the part that handles them

    def on_persisted(self, token: int, succeeded: bool) -> None:
        """Called when the disk has made changes durable, or has failed to."""
        self.driver.on_persisted(token, succeeded)

    def run_state_machines(self) -> None:
        """Carries out the pending instructions of the state machines."""
        self.driver.run()

    def on_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """Handles a frame on a connection that another process opened."""
        self.dispatcher.on_frame(connection, frame)

    def on_outbound_connection_frame(self, sender: str, frame: Frame) -> None:
        """Handles a frame on a connection that this process opened."""
        self.dispatcher.on_outbound_connection_frame(sender, frame)

    # --- queries that several parts make

    def member_addresses(self) -> tuple[str, ...]:
        """Returns the peer addresses of the members in the newest epoch, or the seeds before there is one."""
        return tuple(peer.address for peer in self.member.members) or self.settings.seed_link_addresses

    def primary_contact_at(self) -> float:
        """Returns when this member last heard from the primary, or was confirmed as primary by a majority."""
        return max(self.member.primary_heard_at, self.member.confirmed_at)

    def status(self) -> Status:
        """Returns the response to `GET /status` as plain data."""
        return status(
            self.loop.time(),
            self.settings.node_name,
            self.settings.zones,
            self.member,
            self.hub,
            self.endpoint_list,
            self.roles,
        )

    # --- start and shutdown

    async def serve(self) -> None:
        """Runs until the process was told to end and may exit."""
        self.handle_signals()
        await self.start()
        await self.driver.may_exit.wait()
        await self.stop()

    def handle_signals(self) -> None:
        """Makes SIGTERM and SIGINT end the process, and SIGHUP reload its settings."""
        self.loop.set_exception_handler(log_uncaught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: self.reloader.poll(self.loop.time(), forced=True))

    async def start(self) -> None:
        """Starts the disk thread, opens the sockets and starts the periodic tasks."""
        self.disk.start()
        await self.server.start()
        await self.gossip.start()
        listen = self.settings.listen
        if "control" in listen:
            self.http_servers.append(
                HttpServer(
                    self.loop,
                    listen["control"],
                    self.operator_api.handle,
                    logger,
                    earliest_arrival=self.arrivals.earliest_arrival,
                    open_session=self.command_router.open_session,
                )
            )
        if "directory" in listen:
            handle = self.directory_service.resolve
            self.http_servers.append(HttpServer(self.loop, listen["directory"], handle, logger))
        for server in self.http_servers:
            await server.start()
        # All objects created until now live as long as the process; the garbage collector can skip them.
        gc.collect()
        gc.freeze()
        self.periodic_tasks.run_maintenance()
        self.periodic_tasks.report_loads()
        self.arrivals.start()
        if not self.settings.initial_start:
            load = self.endpoint_sync.load_at_start(self.settings)
            self.load_task = self.loop.create_task(load)

    async def stop(self) -> None:
        """Closes all parts, after the last messages have been sent."""
        self.gossip.announce_state("leaving")
        await asyncio.sleep(LINGER_S)
        for server in self.http_servers:
            server.close()
        self.arrivals.close()
        self.endpoint_sync.stop()
        self.gossip.close()
        self.peer_connections.close()
        self.server.close()
        self.disk.close()

    def leave(self) -> None:
        """Handles SIGTERM: serves until the other members hold this member's state, or the grace period is
        nearly over, and then ends."""
        now = self.loop.time()
        self.roles.resign(now)
        self.member.leave(now, leave_timeout_s(self.settings.bounds["graceS"]))
        self.driver.run()

    def apply_settings(self, settings: Settings) -> None:
        """Applies reloaded settings."""
        self.settings = settings
        self.member.decide = make_decision_function(settings.zones)
        self.directory_service.apply_settings(settings)
        self.endpoint_sync.apply_settings(settings)
