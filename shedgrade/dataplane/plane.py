"""The data plane of one edge machine: connects its parts to sockets and clock, from start to exit."""

import asyncio
import gc
import signal
from collections.abc import Callable
from random import Random

import msgspec

from shedgrade import control_messages
from shedgrade.buffers.budget import Budget
from shedgrade.control_messages import CLOSED, LEAVING, READY, STARTING, EdgeStatus
from shedgrade.dataplane.control_client import EdgeChangedEvent, MembersDiscoveredEvent, Watcher
from shedgrade.dataplane.control_exchange import ControlExchange
from shedgrade.dataplane.exchange import TICKS_PER_SECOND, Exchange
from shedgrade.dataplane.front import IngressFront
from shedgrade.dataplane.graceful_shutdown import GracefulShutdown
from shedgrade.dataplane.ingress import IngressConnection
from shedgrade.dataplane.load_exchange import LoadExchange
from shedgrade.dataplane.service import ServicePool
from shedgrade.dataplane.state import State
from shedgrade.http.listener import Listener
from shedgrade.http.server import HttpServer, Reply, Request, Respond
from shedgrade.load_reports import LoadReporter, LoadUpdate
from shedgrade.load_reports.edge import REPORT_INTERVAL_S
from shedgrade.membership.gossip import Gossip
from shedgrade.membership.messages import Node
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.peer_transport.address import format_address
from shedgrade.peer_transport.tcp import PeerConnectionPool
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.process_settings import Settings, SettingsFileWatcher, SettingsReloader
from shedgrade.runtime.clock import Clock
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_uncaught
from shedgrade.served_routes import Routes

RESERVED_DESCRIPTORS = 200  # file descriptors reserved for files
MIN_SOCKETS = 256
MAX_WATCH_WAIT_S = 0.5  # maximum wait of a watch request without news; bounds how late a dead edge is noticed
HEALTH_CHECK_INTERVAL_S = 0.1  # between two checks for silent upstreams
EDGE_COUNT_INTERVAL_S = 1.0  # between two counts of the edges that gossip knows
CORE_SILENT_S = 1.0  # time without any core member's response after which members from gossip are asked too
CLIENT_CHECK_INTERVAL_S = 0.25  # between two checks of client connections
FINAL_SEND_S = 0.06  # time for the last messages to be sent before the process exits


class DataPlane:
    """Owns the received state, the services, the client side and the exchange with the core.

    Serves as the process for `IngressFront` and `GracefulShutdown`.
    """

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        random: Random,
        watched: SettingsFileWatcher | None = None,
    ) -> None:
        """`watched`: watches the settings file for changes; None if there is no file."""
        self.settings = settings
        self.loop = loop
        self.random = random
        self.reload = SettingsReloader(settings, watched, self.settings_changed)
        self.clock = Clock()
        sockets = max(MIN_SOCKETS, settings.limits.file_descriptors - RESERVED_DESCRIPTORS)
        self.budget = Budget(sockets, settings.limits.memory_mb)
        self.prefix_index = EdgePrefixIndex()
        self.state = State(settings, loop.time, self.make_pool)
        self.state.prefix_index = self.prefix_index
        self.shutdown = GracefulShutdown(loop, self)
        self.front = IngressFront(loop, self, self.budget, random)
        self.incarnation = random.getrandbits(48)
        self.peer_connections = PeerConnectionPool(
            loop, settings.link_address, self.message_received, settings.ip_address
        )
        self.watcher = Watcher(
            self.edge_state(),
            settings.seed_link_addresses,
            random,
            loop.time(),
            max_wait_s=min(MAX_WATCH_WAIT_S, settings.heartbeat_ms / 1000),
        )
        self.control = ControlExchange(
            loop,
            self.peer_connections,
            self.watcher,
            self.prefix_index,
            lambda updates: self.state.apply(updates),  # looked up at each call: simulations replace it
            lambda: self.state.version_in_force(),
            self.shutdown.on_drain_target,
        )
        self.loads = LoadExchange(
            loop,
            self.peer_connections,
            LoadReporter(settings.node_name, settings.region),
            self.state.own_loads,
            self.state.apply_other_loads,
        )
        edge = self.watcher.edge
        self.gossip = Gossip(
            loop,
            Node(
                edge.name,
                settings.gossip_address,
                "edge",
                edge.zone,
                edge.incarnation,
                front_address=edge.listen_address,
                state=edge.state,
            ),
            settings.seed_gossip_addresses,
            random,
        )
        self.was_ready = False
        self.next_edge_count_at = 0.0

    # --- used by the front

    @property
    def routes(self) -> Routes | None:
        """The routes in force; None before the first configuration."""
        return self.state.routes

    @property
    def services(self) -> dict[str, ServicePool]:
        """The service pools by name."""
        return self.state.services

    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self.shutdown.draining is None and self.state.ready()

    def draining(self) -> bool:
        """Whether the process has received SIGTERM or SIGINT."""
        return self.shutdown.draining is not None

    def accepts(self, longest_s: float) -> bool:
        """Whether a request is accepted that may take `longest_s`."""
        return self.shutdown.accepts(longest_s)

    def retry_after_s(self) -> float:
        """The time after which an edge serves the requests rejected here; 0 if others serve already."""
        return self.shutdown.retry_after_s()

    def make_pool(self, name: str, retry_budget: RetryBudget) -> ServicePool:
        """Creates the pool of a service that the configuration names for the first time."""
        settings = self.settings
        return ServicePool(
            name,
            self.state.regions,
            settings.region,
            self.random.getrandbits(32),
            self.loop,
            self.clock,
            self.budget,
            retry_budget,
            settings.node_name,
            self.prefix_index,
        )

    # --- used by the shutdown

    def in_flight(self) -> list[Exchange]:
        """The unanswered exchanges of all services."""
        return [
            active_request
            for pool in self.services.values()
            for active_request in pool.dispatcher.active_requests.requests
        ]

    def in_flight_until(self) -> float:
        """When all requests in flight will have been answered at the latest, on the loop's clock."""
        now = self.clock.now()
        latest = max((exchange.latest_response_at() for exchange in self.in_flight()), default=now)
        return self.loop.time() + max(0.0, latest - now) / TICKS_PER_SECOND

    def busy(self) -> bool:
        """Whether clients are connected or waiting for a connection, or requests are in flight."""
        return bool(self.front.clients or self.listener.waiting() or self.in_flight())

    def close_idle(self) -> None:
        """Closes client connections without a request."""
        self.front.close_idle()

    def cancel_in_flight(self) -> int:
        """Gives all requests in flight a final answer. Returns how many there were."""
        count = len(self.in_flight())
        for pool in self.services.values():
            pool.dispatcher.conclude()
        return count

    # --- from start to exit

    async def serve(self) -> None:
        """Runs until the process may exit. OSError if a listen address can't be used."""
        self.loop.set_exception_handler(log_uncaught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.terminate)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: self.reload.poll(self.loop.time(), forced=True))
        listen = self.settings.listen
        self.listener = Listener(self.loop, self.front, listen["front"], IngressConnection)
        self.readiness = HttpServer(self.loop, listen["readiness"], self.answer_readiness, logger)
        await self.readiness.start()
        await self.gossip.start()
        self.listener.resume()
        gc.collect()
        gc.freeze()
        self.control.run_instructions()
        self.start_timers()
        await self.shutdown.finished.wait()
        self.control.stop()
        self.listener.close()
        await asyncio.sleep(FINAL_SEND_S)
        self.gossip.close()
        self.peer_connections.close()
        self.readiness.close()

    def answer_readiness(self, request: Request, respond: Respond) -> None:
        """Answers `GET` at the readiness address: 200 if clients may be sent here, else 503."""
        respond(Reply(200 if self.ready() else 503))

    def terminate(self) -> None:
        """Starts the graceful shutdown at SIGTERM or SIGINT."""
        self.shutdown.begin(self.settings.bounds["graceS"])

    def settings_changed(self, settings: Settings) -> None:
        """Applies settings that were reloaded and are valid."""
        self.settings = settings
        self.state.settings_changed(settings)

    # --- periodic actions

    def start_timers(self) -> None:
        """Starts the periodic actions, which run once at once and then until the process exits."""
        self.repeat(HEALTH_CHECK_INTERVAL_S, self.check_health)
        # Looked up at each call: simulations replace it.
        self.repeat(CLIENT_CHECK_INTERVAL_S, lambda: self.front.check_timeouts())
        self.repeat(REPORT_INTERVAL_S, self.report_loads)

    def repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        """Runs `action` now and after each interval. Guards against an exception in one action, which must
        not stop it or the others: the next run is scheduled first."""
        if self.shutdown.finished.is_set():
            return
        self.loop.call_later(interval_s, self.repeat, interval_s, action)
        action()

    def check_health(self) -> None:
        """Checks silent upstreams, this edge's readiness, the count of edges and the settings file."""
        now = self.loop.time()
        for pool in self.services.values():
            pool.probe_silent()
        if self.ready() != self.was_ready:
            self.was_ready = not self.was_ready
            self.edge_changed()
        if now >= self.next_edge_count_at:
            self.next_edge_count_at = now + EDGE_COUNT_INTERVAL_S
            self.count_edges(now)
        self.reload.poll(now)

    def count_edges(self, now: float) -> None:
        """Applies the count of edges, by which budgets are shared, and hands core members known from gossip
        to the watcher while no other core member answers."""
        counts = self.watcher.received.counts
        core_count = counts.edge_count if counts is not None else 0
        self.state.apply_edge_count(max(self.gossip.view.count("edge"), core_count))
        if self.watcher.response_age_s(now) > CORE_SILENT_S:
            addresses = [
                node.link_address
                for node in self.gossip.view.nodes()
                if node.kind == "core" and node.link_address
            ]
            self.watcher.handle_event(MembersDiscoveredEvent(tuple(addresses)))

    def report_loads(self) -> None:
        """Reports the requests in flight here to the preferred core member."""
        preferred = self.watcher.preferred_member
        self.loads.send_report(None if preferred is None else preferred.address)

    # --- the exchange with the core

    def message_received(self, sender: str, frame) -> None:
        """Handles a message of the core that is no response."""
        try:
            message = control_messages.decode(frame.body[1:])
        except (msgspec.MsgspecError, ValueError):
            return  # sent by a member of another version
        if isinstance(message, LoadUpdate):
            self.loads.take(message)

    def edge_changed(self) -> None:
        """Reports this edge's new status to the core and to gossip."""
        state = self.edge_state()
        self.watcher.handle_event(EdgeChangedEvent(self.loop.time(), state))
        self.gossip.announce_state(LEAVING if state.shutdown_stage else state.state)
        if self.shutdown.finished.is_set():
            self.control.stop()
        self.control.run_instructions()

    def edge_state(self) -> EdgeStatus:
        """The status of this edge as reported to the core."""
        settings = self.settings
        return EdgeStatus(
            settings.node_name,
            format_address(settings.listen["front"]),
            settings.zone,
            settings.region,
            self.incarnation,
            self.stage(),
        )

    def stage(self) -> str:
        """The lifecycle stage of this process as shown by the directory."""
        if self.shutdown.draining is not None:
            return CLOSED if self.shutdown.finished.is_set() else LEAVING
        return READY if self.state.ready() else STARTING
