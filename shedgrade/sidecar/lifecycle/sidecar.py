"""The sidecar as one object, from start to exit; its phases are named and change only as allowed."""

import asyncio
import gc
import signal
import socket
from dataclasses import replace
from enum import Enum

from loguru import logger

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.application import ApplicationConnection
from shedgrade.http.discovery import ListError
from shedgrade.http.listener import Listener
from shedgrade.runtime.clock import Clock
from shedgrade.sidecar.admin.front import MOST as ADMIN_MOST
from shedgrade.sidecar.admin.front import AdminConnection, AdminFront
from shedgrade.sidecar.lifecycle import early
from shedgrade.sidecar.lifecycle.config import Config, load
from shedgrade.sidecar.lifecycle.orders import OrderBook
from shedgrade.sidecar.lifecycle.shape import lost, tuned
from shedgrade.sidecar.lifecycle.upgrade import Upgrade
from shedgrade.upstream_pool.errors import ConfigError
from shedgrade.upstream_pool.front import Front
from shedgrade.upstream_pool.pool import Pool

KEEP_ACCEPTING = 0.5  # s after SIGTERM: new connections may still come for 0.4 s
KEEP_IDLE = 0.4  # s after SIGTERM: a request that crosses the close of its connection comes anew, and
# is to find somebody who still accepts
AT_LAST = 0.6  # s beyond the longest hard deadline after which what is left is answered and cut:
# SIGKILL comes 0.1 s later at the soonest
LEAVES = 0.06  # s that such last answers have to leave
LOOK_AFTER = 0.25  # s between two looks for clients that are overdue: they are owed an end within 3 s
LOOK = 0.05  # s between two looks at whether all is answered and closed
SETTLES = 1.0  # s of standing by after which idle connections are closed: new ones come for 0.3 s,
# and after 2 s no request may come on a kept one


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STANDING_BY = "standing by"
    DRAINING = "draining"
    CLOSED = "closed"


CHANGES = {
    Phase.STARTING: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.SERVING: (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED),
    Phase.STANDING_BY: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.DRAINING: (Phase.CLOSED,),
    Phase.CLOSED: (),
}


class PhaseError(Exception):
    """A change of phase that must not happen."""


class Sidecar:
    """Owns everything else, and says which phase the process is in."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decisions: type[load_balancing.Balancer] = load_balancing.Balancer,
    ) -> None:
        """`decisions`: the lab puts a baseline in the module's place for comparison; nothing else does."""
        self.config, self.loop = config, loop
        self.recheck = None  # reads the features file anew, where there is one; ConfigError if unsound
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.budget = Budget(config.sockets, config.memory_mb)
        self.pool = Pool("", config.settings, config.seed, loop, self.clock, self.budget, decisions)
        self.front = Front(loop, self.pool, self.budget, self.ready, self.leaving)
        self.parts: list = []  # what features add: started, drained and ended with the rest
        self.listener, self.last_look = None, 0.0
        self.orders = OrderBook(self)
        self.upgrade = Upgrade(self)
        self.admin: AdminFront | None = None
        self.admin_listener: Listener | None = None
        self.settling: asyncio.TimerHandle | None = None  # while standing by: the next look at what is idle
        self.done = asyncio.Event()

    def enter(self, phase: Phase) -> None:
        if phase not in CHANGES[self.phase]:
            raise PhaseError(f"from {self.phase.value} to {phase.value}")
        logger.info(
            "{}: {} to {}, {} RPCs in hand",
            self.config.name,
            self.phase.value,
            phase.value,
            len(self.pool.dispatcher.active_requests),
        )
        self.phase = phase

    def ready(self) -> bool:
        return self.phase is Phase.SERVING and self.pool.listed_once

    def leaving(self) -> bool:
        return self.phase in (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED)

    def takes_clients(self) -> bool:
        """This process listens and knows upstreams, whether its clients are to come or not."""
        return self.phase in (Phase.SERVING, Phase.STANDING_BY) and self.pool.listed_once

    def stands_by(self) -> bool:
        return self.phase is Phase.STANDING_BY

    # --- as the operators order

    def stand_by(self) -> bool:
        """Clients are given up, in order; the process stays. True: that is so, or it ends anyway."""
        if self.phase is Phase.SERVING:
            self.enter(Phase.STANDING_BY)
            self.settling = self.loop.call_later(SETTLES, self.settle)
        return True

    def resume(self) -> bool:
        if self.phase is Phase.STANDING_BY:
            self.enter(Phase.SERVING)
            self.unsettle()
        return self.phase is Phase.SERVING

    def settle(self) -> None:
        """Closes what is idle, for as long as the sidecar stands by."""
        self.front.close_idle()
        for part in self.parts:
            part.close_idle()
        self.settling = self.loop.call_later(LOOK, self.settle)

    def unsettle(self) -> None:
        if self.settling is not None:
            self.settling.cancel()
            self.settling = None

    # --- the list

    def start_from_saved(self) -> None:
        """What was saved, as far as it can be trusted; the whole live list is asked for first and ends it."""
        saved, pool = self.pool.saved, self.pool
        beginning = saved.begin()
        try:
            if beginning is not None:
                pool.listed(beginning.message, asked=False)
        except ListError as wrong:  # zones that the settings no longer have, for one
            logger.warning("the saved list is of no use: {}", wrong)
            beginning = None
        if beginning is not None:
            pool.take_over("saved")
            known = pool.reader.indices.by_id
            for way, names in beginning.doubts.items():
                rows = [known[name] for name in names]
                pool.dispatcher.mark_unverified(rows, saved.config.trust.ends, way == "last resort")
            state = saved.learnt(beginning, known)
            if state is not None:
                pool.dispatcher.restore(state, beginning.state_age)
            pool.reader.version = None
        saved.start()
        self.keep_learnt()

    def keep_learnt(self) -> None:
        if self.phase is Phase.CLOSED:
            return
        if self.pool.source == "discovery":
            self.pool.saved.keep(self.pool.dispatcher.export(), self.pool.reader.indices.ids)
        self.loop.call_later(self.pool.saved.config.state_s, self.keep_learnt)

    def reload(self) -> None:
        """Reads the configuration's file anew. Discovery, limits and settings move; the rest is for a start.

        Nothing in hand is touched, and the list stays until the new address has told its own. Guards against
        a file that would not start a sidecar, or lacks what it had before: it changes nothing.
        """
        if self.phase is Phase.CLOSED or self.pool.watch is None:
            return
        try:
            fresh = load(self.config.path)
            lacking = lost(self.config.told, fresh.told)
            if lacking is not None:
                raise ConfigError(f"{fresh.path}: {lacking}: found nothing; expected what was there before")
            settings, fixed = tuned(self.config.settings, fresh.settings)
            Sidecar(replace(fresh, settings=settings), self.loop)  # as a start would look at it
            names = {method["name"] for method in settings["methods"]}
            features = self.recheck(names) if self.recheck is not None else None
        except ConfigError as wrong:
            logger.warning("reload refused, the old configuration stays: {}", " ".join(str(wrong).split()))
            return
        later = [
            name for name in ("name", "listen", "admin") if getattr(fresh, name) != getattr(self.config, name)
        ] + fixed
        if settings != self.config.settings:
            gone = {method["name"] for method in self.config.settings["methods"]} - names
            logger.info(
                "settings changed: {} methods, {} transmissions at most{}",
                len(names),
                settings["limits"]["most_transmissions"],
                f", gone {', '.join(sorted(gone))}" if gone else "",
            )
            self.pool.retuned(settings)
        self.config = replace(
            self.config,
            discovery=fresh.discovery,
            sockets=fresh.sockets,
            memory_mb=fresh.memory_mb,
            settings=settings,
            told=fresh.told,
        )
        self.budget.limit(fresh.sockets, fresh.memory_mb)
        self.pool.move(fresh.discovery)
        for part in self.parts:
            part.renew(features)
        logger.info(
            "configuration read anew, discovery at {}:{}{}",
            *fresh.discovery,
            f"; only a start changes {', '.join(later)}" if later else "",
        )

    # --- from start to exit

    async def serve(self) -> None:
        self.loop.set_exception_handler(self.fault)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        reload_asked = early.reload_asked()  # before that; what comes from here on is met by the loop
        if self.pool.saved is not None:
            self.pool.saved.open()
            self.start_from_saved()
        given = self.upgrade.take_over()
        if self.config.known and not self.pool.listed_once:
            try:
                self.pool.listed(self.config.known, asked=False)
                self.pool.take_over("known")
            except ListError as wrong:
                logger.warning("the known list is of no use: {}", wrong)
        self.listener = self.listen(self.config.listen, self.front, ApplicationConnection, given)
        if self.config.admin is not None:
            self.admin = AdminFront(self.loop, self.orders)
            self.admin_listener = self.listen(self.config.admin, self.admin, AdminConnection)
            self.admin_listener.resume()
            self.budget.keep(ADMIN_MOST + 1)
        self.pool.follow(self.config.discovery)
        for part in self.parts:
            part.start()
        self.listener.resume()
        self.look_after_clients()
        gc.collect()
        gc.freeze()  # what is here now stays: collections need not look at it again
        self.enter(Phase.SERVING)
        self.upgrade.serving()
        if reload_asked:
            self.reload()
        await self.done.wait()
        self.upgrade.close()
        if self.admin is not None:
            self.admin_listener.close()
            self.admin.close()
        self.pool.unfollow()
        for part in self.parts:
            part.close()
        if self.pool.saved is not None:
            self.pool.saved.close()
        self.enter(Phase.CLOSED)

    def listen(
        self, address: tuple[str, int], front, connection: type, given: socket.socket | None = None
    ) -> Listener:
        try:
            return Listener(self.loop, front, address, connection, front is self.front, given)
        except OSError as failure:
            raise ConfigError(
                f"cannot listen on {':'.join(map(str, address))}: {failure.strerror}"
            ) from failure

    @staticmethod
    def fault(loop, context: dict) -> None:
        logger.error("fault in the loop: {}: {!r}", context.get("message"), context.get("exception"))

    def drain(self) -> None:
        if self.phase in (Phase.SERVING, Phase.STANDING_BY):
            self.unsettle()
            self.enter(Phase.DRAINING)
            # What a reload may make of deadlines moves it no more: SIGKILL was set when SIGTERM was sent.
            self.last_look = self.loop.time() + self.pool.longest + AT_LAST
            self.loop.call_later(KEEP_IDLE, self.front.close_idle)
            self.loop.call_later(KEEP_ACCEPTING, self.stop_accepting)
            self.loop.call_at(self.last_look, self.conclude)

    def look_after_clients(self) -> None:
        if self.phase is not Phase.CLOSED:
            self.front.look_after()
            if self.admin is not None:
                self.admin.look_after()
            self.upgrade.look_after()
            for part in self.parts:
                part.look_after()
            self.loop.call_later(LOOK_AFTER, self.look_after_clients)

    def stop_accepting(self) -> None:
        if self.listener.waiting() or any(part.waiting() for part in self.parts):
            self.loop.call_later(LOOK, self.stop_accepting)
            return
        self.listener.close()
        for part in self.parts:
            part.stop_accepting()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes what is idle until nothing is left."""
        self.front.close_idle()
        for part in self.parts:
            part.close_idle()
        if self.busy():
            self.loop.call_later(LOOK, self.close_idle)
        else:
            self.done.set()

    def busy(self) -> int:
        """Connections and RPCs that are still to end."""
        return (
            len(self.front.clients)
            + len(self.pool.dispatcher.active_requests)
            + sum(part.busy() for part in self.parts)
        )

    def conclude(self) -> None:
        """Whatever is left at the end gets its final answer while that can still leave."""
        if self.done.is_set():
            return
        pools = [
            self.pool,
            *(
                pool
                for part in self.parts
                for pool in getattr(part, "pools", {}).values()
                if pool is not self.pool
            ),
        ]
        logger.warning(
            "{} connections cut at the end, {} RPCs answered before",
            len(self.front.clients),
            sum(len(pool.dispatcher.active_requests) for pool in pools),
        )
        for pool in pools:
            pool.dispatcher.conclude()
        self.loop.call_later(LEAVES, self.done.set)
