"""The sidecar as one object, from start to exit."""

import asyncio
import gc
import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.endpoint_discovery import ListError
from shedgrade.http.listener import Listener
from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.runtime.clock import Clock
from shedgrade.sidecar.admin.front import MAX_CONNECTIONS, AdminConnection, AdminFront
from shedgrade.sidecar.lifecycle import reload, reload_signal
from shedgrade.sidecar.lifecycle.config import Config
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.lifecycle.hot_restart import HotRestart
from shedgrade.sidecar.lifecycle.operator_orders import OperatorOrders
from shedgrade.sidecar.lifecycle.phases import Phase, check_change
from shedgrade.sidecar.lifecycle.shutdown import Shutdown
from shedgrade.sidecar.lifecycle.standby import Standby
from shedgrade.upstream_pool.errors import ConfigError
from shedgrade.upstream_pool.front import Front
from shedgrade.upstream_pool.pool import Pool

if TYPE_CHECKING:
    from shedgrade.sidecar.endpoint_snapshot.source import SavedList
    from shedgrade.sidecar.lifecycle.features import Features

TICK_INTERVAL_S = 0.25  # between two looks for clients that are overdue: they are owed an end within 3 s


class Sidecar:
    """Owns everything else, and says which phase the process is in.

    Attributes:
        config: in force; a reload replaces it.
        load_features: reads the features file anew, where there is one; ConfigError if it is not sound.
        phase: changes by `enter` only, as `phases.SUCCESSORS` allows.
        pool, front: the platform's own pool of upstreams, and the clients' connections to it.
        features: what the features file switches on: started, drained and ended with the rest.
        listener: of the clients; None before `serve`.
        admin, admin_listener: the operators' connections; None without a second address.
        orders, hot_restart, standby, shutdown: parts with a job of their own; each documents itself.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decisions: type[load_balancing.Balancer] = load_balancing.Balancer,
    ) -> None:
        """`decisions`: the lab puts a baseline in the balancer's place for comparison; features put
        something around it. ConfigError if the settings are not sound."""
        self.config = config
        self.loop = loop
        self.load_features: Callable[[set[str]], Features] | None = None
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.budget = Budget(config.sockets, config.memory_mb)
        self.pool = Pool("", config.settings, config.seed, loop, self.clock, self.budget, decisions)
        self.front = Front(loop, self.pool, self.budget, self.is_ready, self.is_draining)
        self.features: list[Feature] = []
        self.listener: Any = None
        self.orders = OperatorOrders(self)
        self.hot_restart = HotRestart(self)
        self.standby = Standby(self)
        self.shutdown = Shutdown(self)
        self.admin: AdminFront | None = None
        self.admin_listener: Listener | None = None

    # --- phases

    def enter(self, phase: Phase) -> None:
        """PhaseError if that phase may not follow the one that holds."""
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
        """What `/up` answers: clients are to come."""
        return self.phase is Phase.SERVING and self.pool.listed_once

    def is_draining(self) -> bool:
        """Answers end their connections: clients are to go elsewhere."""
        return self.phase in (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED)

    def accepts_clients(self) -> bool:
        """This process listens and knows upstreams, whether its clients are to come or not."""
        return self.phase in (Phase.SERVING, Phase.STANDING_BY) and self.pool.listed_once

    def is_standing_by(self) -> bool:
        """An operator has drained it."""
        return self.phase is Phase.STANDING_BY

    def stand_by(self) -> bool:
        """Gives the clients up, in order; the process stays. True: that is so, or it ends anyway."""
        if self.phase is Phase.SERVING:
            self.enter(Phase.STANDING_BY)
            self.standby.begin()
        return True

    def resume(self) -> bool:
        """Serves again. False: it ends."""
        if self.phase is Phase.STANDING_BY:
            self.enter(Phase.SERVING)
            self.standby.end()
        return self.phase is Phase.SERVING

    def drain(self) -> None:
        """SIGTERM came."""
        self.shutdown.begin()

    def reload(self) -> None:
        """SIGHUP came."""
        reload.reload(self)

    def close_idle(self) -> None:
        """Closes clients' connections without a request."""
        self.front.close_idle()
        for feature in self.features:
            feature.close_idle()

    def check_invariants(self) -> None:
        """AssertionError if the parts contradict the phase."""
        assert (self.standby.timer is not None) == (self.phase is Phase.STANDING_BY)
        assert (self.shutdown.conclude_at > 0) <= (self.phase in (Phase.DRAINING, Phase.CLOSED))
        self.hot_restart.check_invariants()

    # --- from start to exit

    async def serve(self) -> None:
        """Runs from the start to the exit. ConfigError if it can't start."""
        self.handle_signals()
        reload_requested = reload_signal.reload_requested()  # what comes from here on is met by the loop
        if self.pool.saved is not None:
            self.pool.saved.open()
            self.start_from_saved(self.pool.saved)
        listening_socket = self.hot_restart.take_over()
        self.start_from_configured()
        self.listener = self.listen(self.config.listen, self.front, RpcConnection, listening_socket)
        self.start_admin()
        self.pool.follow(self.config.discovery)
        for feature in self.features:
            feature.start()
        self.listener.resume()
        self.tick()
        gc.collect()
        gc.freeze()  # what is here now stays: collections need not look at it again
        self.enter(Phase.SERVING)
        self.hot_restart.start_serving()
        if reload_requested:
            self.reload()
        await self.shutdown.done.wait()
        self.close()

    def close(self) -> None:
        """Ends everything, in the order in which it depends on each other."""
        self.hot_restart.close()
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.admin is not None:
            self.admin.close()
        self.pool.unfollow()
        for feature in self.features:
            feature.close()
        if self.pool.saved is not None:
            self.pool.saved.close()
        self.enter(Phase.CLOSED)

    def handle_signals(self) -> None:
        """From here on the loop has the signals and the errors that nobody caught."""
        self.loop.set_exception_handler(self.on_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)

    @staticmethod
    def on_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """An error that nobody caught: a fault of this program."""
        logger.error(
            "uncaught error in the event loop",
            message=context.get("message"),
            error=repr(context.get("exception")),
        )

    def listen(
        self,
        address: tuple[str, int],
        front: Front | AdminFront,
        connection: type,
        listening_socket: socket.socket | None = None,
    ) -> Listener:
        """A listener that does not accept yet. ConfigError if the address is taken."""
        try:
            return Listener(self.loop, front, address, connection, front is self.front, listening_socket)
        except OSError as failure:
            host, port = address
            raise ConfigError(f"cannot listen on {host}:{port}: {failure.strerror}") from failure

    def start_admin(self) -> None:
        """Listens at the operators' address, if there is one."""
        if self.config.admin is None:
            return
        self.admin = AdminFront(self.loop, self.orders)
        self.admin_listener = self.listen(self.config.admin, self.admin, AdminConnection)
        self.admin_listener.resume()
        self.budget.reserve(MAX_CONNECTIONS + 1)

    def tick(self) -> None:
        """Now and then: clients that are overdue, and whatever features look at."""
        if self.phase is Phase.CLOSED:
            return
        self.front.look_after()
        if self.admin is not None:
            self.admin.cut_overdue()
        self.hot_restart.tick()
        for feature in self.features:
            feature.tick()
        self.loop.call_later(TICK_INTERVAL_S, self.tick)

    # --- the first list

    def start_from_configured(self) -> None:
        """The configuration's own list, where nothing better is known."""
        if not self.config.known or self.pool.listed_once:
            return
        try:
            self.pool.listed(self.config.known, asked=False)
            self.pool.take_over("known")
        except ListError as error:
            logger.warning("configured endpoint list rejected", error=str(error))

    def start_from_saved(self, saved: "SavedList") -> None:
        """What was saved, as far as it can be trusted; the whole live list is asked for first and ends it."""
        pool = self.pool
        initial = saved.initial_list()
        try:
            if initial is not None:
                pool.listed(initial.message, asked=False)
        except ListError as error:  # zones that the settings no longer have, for one
            logger.warning("saved endpoint list rejected", error=str(error))
            initial = None
        if initial is not None:
            pool.take_over("saved")
            indices = pool.reader.indices.by_id
            for level, names in initial.doubted.items():
                rows = [indices[name] for name in names]
                pool.dispatcher.mark_unverified(rows, saved.config.trust.ends, level == "last resort")
            learned = saved.learned_state(initial, indices)
            if learned is not None:
                pool.dispatcher.restore(learned, initial.learned_age_s)
            pool.reader.version = None
        saved.start()
        self.save_learned(saved)

    def save_learned(self, saved: "SavedList") -> None:
        """Hands what the balancer has learned to the saved list, every `state_s` of the features file."""
        if self.phase is Phase.CLOSED:
            return
        if self.pool.source == "discovery":
            saved.save_learned(self.pool.dispatcher.export(), self.pool.reader.indices.ids)
        self.loop.call_later(saved.config.state_s, self.save_learned, saved)
