"""The sidecar process, from start to exit."""

import asyncio
import gc
import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.discovery_connection import ListError
from shedgrade.http.listener import Listener
from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.runtime.clock import Clock
from shedgrade.sidecar.admin.front import MAX_CONNECTIONS, AdminConnection, AdminServer
from shedgrade.sidecar.lifecycle import reload, reload_signal
from shedgrade.sidecar.lifecycle.config import Config
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.lifecycle.hot_restart import HotRestart
from shedgrade.sidecar.lifecycle.operator_orders import OperatorCommands
from shedgrade.sidecar.lifecycle.phases import Phase, check_change
from shedgrade.sidecar.lifecycle.shutdown import Shutdown
from shedgrade.sidecar.lifecycle.standby import Standby
from shedgrade.upstream_pool.errors import ConfigError
from shedgrade.upstream_pool.front import Front
from shedgrade.upstream_pool.pool import Pool

if TYPE_CHECKING:
    from shedgrade.sidecar.endpoint_snapshot.source import SavedList
    from shedgrade.sidecar.lifecycle.features import Features

# Between two checks for clients whose time is over: they must be disconnected within 3 s.
TICK_INTERVAL_S = 0.25


class Sidecar:
    """Owns all parts of the sidecar and its phase.

    Attributes:
        config: the configuration in force; a reload replaces it.
        load_features: reads the features file again and raises ConfigError if it is invalid; None if there
            is no such file.
        phase: changed only by `enter`, as `phases.SUCCESSORS` allows.
        pool: the sidecar's own pool of upstreams.
        front: the client connections whose requests go to that pool.
        features: the enabled optional features, started, drained and closed with the sidecar.
        listener: accepts client connections; None before `serve`.
        commands: executes the operators' commands.
        hot_restart: the links to an older and to a newer process.
        standby: closes idle client connections while an operator's drain is in force (`Phase.STANDING_BY`).
        shutdown: ends the process after SIGTERM.
        admin, admin_listener: connections of the admin address and their listener; None without an admin
            address.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        balancer_class: type[load_balancing.Balancer] = load_balancing.Balancer,
    ) -> None:
        """Raises ConfigError if the settings are invalid.

        `balancer_class`: called to create the balancer of the sidecar's pool. The lab passes a baseline
            algorithm for comparison; capture and shadow policy pass a function that wraps a Balancer.
        """
        self.config = config
        self.loop = loop
        self.load_features: Callable[[set[str]], Features] | None = None
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.budget = Budget(config.sockets, config.memory_mb)
        self.pool = Pool("", config.settings, config.seed, loop, self.clock, self.budget, balancer_class)
        self.front = Front(loop, self.pool, self.budget, self.is_ready, self.is_draining)
        self.features: list[Feature] = []
        self.listener: Any = None
        self.commands = OperatorCommands(self)
        self.hot_restart = HotRestart(self)
        self.standby = Standby(self)
        self.shutdown = Shutdown(self)
        self.admin: AdminServer | None = None
        self.admin_listener: Listener | None = None

    # --- phases

    def enter(self, phase: Phase) -> None:
        """Changes the phase. Raises PhaseError if the transition is not allowed."""
        check_change(self.phase, phase)
        logger.info(
            "phase changed",
            sidecar=self.config.name,
            before=self.phase.value,
            after=phase.value,
            in_flight=len(self.pool.dispatcher.active_requests),
        )
        self.phase = phase

    def is_ready(self) -> bool:
        """Returns what `/up` reports: whether clients should use this sidecar."""
        return self.phase is Phase.SERVING and self.pool.has_list

    def is_draining(self) -> bool:
        """Returns whether responses close their connections, so that clients go to another sidecar."""
        return self.phase in (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED)

    def accepts_clients(self) -> bool:
        """Returns whether this process listens and has an endpoint list, even while it stands by."""
        return self.phase in (Phase.SERVING, Phase.STANDING_BY) and self.pool.has_list

    def is_standing_by(self) -> bool:
        """Returns whether an operator has drained this sidecar."""
        return self.phase is Phase.STANDING_BY

    def stand_by(self) -> bool:
        """Moves clients away without ending the process.

        Always returns True: the sidecar is standing by, or the process is ending anyway.
        """
        if self.phase is Phase.SERVING:
            self.enter(Phase.STANDING_BY)
            self.standby.begin()
        return True

    def resume(self) -> bool:
        """Serves again. Returns False if the process is ending."""
        if self.phase is Phase.STANDING_BY:
            self.enter(Phase.SERVING)
            self.standby.end()
        return self.phase is Phase.SERVING

    def drain(self) -> None:
        """Handles SIGTERM."""
        self.shutdown.begin()

    def reload(self) -> None:
        """Handles SIGHUP."""
        reload.reload(self)

    def close_idle(self) -> None:
        """Closes client connections that have no request in flight, also those of the features."""
        self.front.close_idle()
        for feature in self.features:
            feature.close_idle()

    def check_invariants(self) -> None:
        """Raises AssertionError if the parts contradict the phase."""
        assert (self.standby.timer is not None) == (self.phase is Phase.STANDING_BY)
        assert (self.shutdown.final_answers_at > 0) <= (self.phase in (Phase.DRAINING, Phase.CLOSED))
        self.hot_restart.check_invariants()

    # --- from start to exit

    async def serve(self) -> None:
        """Runs from start to exit. Raises ConfigError if the sidecar can't start."""
        self.handle_signals()
        reload_requested = reload_signal.reload_requested()  # the event loop handles later signals
        if self.pool.saved is not None:
            self.pool.saved.open()
            self.apply_saved_list(self.pool.saved)
        listening_socket = self.hot_restart.take_over()
        self.apply_configured_list()
        self.listener = self.listen(self.config.listen, self.front, RpcConnection, listening_socket)
        self.start_admin()
        self.pool.watch_discovery(self.config.discovery)
        for feature in self.features:
            feature.start()
        self.listener.resume()
        self.tick()
        gc.collect()
        gc.freeze()  # objects created at the start are never freed, so collections need not scan them
        self.enter(Phase.SERVING)
        self.hot_restart.start_serving()
        if reload_requested:
            self.reload()
        await self.shutdown.done.wait()
        self.close()

    def close(self) -> None:
        """Closes all parts in the order of their dependencies."""
        self.hot_restart.close()
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.admin is not None:
            self.admin.close()
        self.pool.stop_watching()
        for feature in self.features:
            feature.close()
        if self.pool.saved is not None:
            self.pool.saved.close()
        self.enter(Phase.CLOSED)

    def handle_signals(self) -> None:
        """Registers the handlers for signals and uncaught errors with the event loop."""
        self.loop.set_exception_handler(self.on_loop_error)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)

    @staticmethod
    def on_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an uncaught error, which is a bug of this program."""
        logger.error(
            "uncaught error in the event loop",
            message=context.get("message"),
            error=repr(context.get("exception")),
        )

    def listen(
        self,
        address: tuple[str, int],
        front: Front | AdminServer,
        connection: type,
        listening_socket: socket.socket | None = None,
    ) -> Listener:
        """Returns a listener that does not accept yet. Raises ConfigError if the address can't be used."""
        try:
            return Listener(self.loop, front, address, connection, front is self.front, listening_socket)
        except OSError as failure:
            host, port = address
            raise ConfigError(f"cannot listen on {host}:{port}: {failure.strerror}") from failure

    def start_admin(self) -> None:
        """Listens on the admin address, if there is one."""
        if self.config.admin is None:
            return
        self.admin = AdminServer(self.loop, self.commands)
        self.admin_listener = self.listen(self.config.admin, self.admin, AdminConnection)
        self.admin_listener.resume()
        self.budget.reserve(MAX_CONNECTIONS + 1)

    def tick(self) -> None:
        """Runs the periodic checks of all parts of the sidecar, every TICK_INTERVAL_S."""
        if self.phase is Phase.CLOSED:
            return
        self.front.check_timeouts()
        if self.admin is not None:
            self.admin.cut_overdue()
        self.hot_restart.tick()
        for feature in self.features:
            feature.tick()
        self.loop.call_later(TICK_INTERVAL_S, self.tick)

    # --- the initial endpoint list

    def apply_configured_list(self) -> None:
        """Applies the list of the configuration file, unless another list is known."""
        if not self.config.known or self.pool.has_list:
            return
        try:
            self.pool.apply_list_message(self.config.known, asked=False)
            self.pool.set_list_source("known")
        except ListError as error:
            logger.warning("configured endpoint list rejected", error=str(error))

    def apply_saved_list(self, saved: "SavedList") -> None:
        """Applies the saved endpoint list as far as the list is trusted.

        The first request to discovery then asks for the full list, which replaces the saved one.
        """
        pool = self.pool
        initial = saved.initial_list()
        try:
            if initial is not None:
                pool.apply_list_message(initial.message, asked=False)
        except ListError as error:  # for instance, its zones are no longer in the settings
            logger.warning("saved endpoint list rejected", error=str(error))
            initial = None
        if initial is not None:
            pool.set_list_source("saved")
            indices = pool.reader.indices.by_id
            for level, names in initial.unverified.items():
                rows = [indices[name] for name in names]
                pool.dispatcher.mark_unverified(rows, saved.config.trust.ends, level == "last resort")
            learned = saved.learned_state(initial, indices)
            if learned is not None:
                pool.dispatcher.restore(learned, initial.learned_age_s)
            pool.reader.version = None
        saved.start()
        self.save_learned(saved)

    def save_learned(self, saved: "SavedList") -> None:
        """Passes the balancer's learned state to the saved list, every `state_s` of the features file."""
        if self.phase is Phase.CLOSED:
            return
        if self.pool.source == "discovery":
            saved.save_learned(self.pool.dispatcher.export(), self.pool.reader.indices.ids)
        self.loop.call_later(saved.config.state_s, self.save_learned, saved)
