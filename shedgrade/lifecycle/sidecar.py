"""The sidecar as one object, from start to exit; its phases are named and change only as allowed."""
import asyncio
import gc
import signal
from enum import Enum

from loguru import logger

from shedgrade import decide
from shedgrade.clock import Clock
from shedgrade.lifecycle.config import Config, ConfigError
from shedgrade.memory.budget import Budget
from shedgrade.memory.upstreams import tenths
from shedgrade.turn import Turn
from shedgrade.wire.application import ApplicationConnection, Listener
from shedgrade.wire.discovery import DiscoveryWatch, ListError, ListReader
from shedgrade.wire.upstream import Caller

KEEP_ACCEPTING = 0.5    # s after SIGTERM: new connections may still come for 0.4 s
AT_LAST = 0.6           # s beyond the longest hard deadline after which what is left is cut: SIGKILL is near
IDLE_MARGIN = 10_000    # tenths of a ms before the idle limit: the upstream's timer must not be first
BETWEEN = 10.0          # s between two lines about the same crowd
LOOK = 0.05             # s between two looks at whether all is answered and closed


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    CLOSED = "closed"


CHANGES = {Phase.STARTING: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
           Phase.SERVING: (Phase.DRAINING, Phase.CLOSED),
           Phase.DRAINING: (Phase.CLOSED,), Phase.CLOSED: ()}


class PhaseError(Exception):
    """A change of phase that must not happen."""


class Sidecar:
    """Owns everything else, and says which phase the process is in."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop = config, loop
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.budget = Budget(config.sockets, config.memory_mb)
        settings = config.settings
        try:
            # The protocol has no message by which an upstream is asked, and none between sidecars.
            limits = {**settings["limits"], "probes": False, "may_tell": False}
            self.balancer = decide.Balancer({**settings, "limits": limits}, config.seed, self.clock.now())
            self.reader = ListReader(settings)
            self.methods = {method["name"].encode(): number
                            for number, method in enumerate(settings["methods"])}
            self.longest = max(method["hard_deadline"] for method in settings["methods"]) / 1000
            dial, idle = (tenths(settings["limits"][name]) for name in ("dial_timeout", "idle_close"))
        except KeyError as missing:
            raise ConfigError(f"settings: {missing} is missing") from missing
        except (ArithmeticError, AttributeError, IndexError, TypeError, ValueError) as wrong:
            raise ConfigError(f"settings: a value has the wrong form ({wrong})") from wrong
        self.caller = Caller(loop, self.clock, self.reader.addresses.known, dial,
                             max(idle - IDLE_MARGIN, idle // 2), self.budget)
        self.turn = Turn(loop, self.clock, self.balancer, self.caller, self.reader.indices.ids, self.budget)
        self.caller.turn = self.turn
        self.watch = DiscoveryWatch(loop, config.discovery, self.reader, self.listed, self.turn.list_failed,
                                    self.balancer.span)
        self.clients: dict[ApplicationConnection, None] = {}    # the longest unused first
        self.listed_once, self.listener, self.last_look = False, None, 0.0
        self.crowd_told = -BETWEEN
        self.done = asyncio.Event()

    def enter(self, phase: Phase) -> None:
        if phase not in CHANGES[self.phase]:
            raise PhaseError(f"from {self.phase.value} to {phase.value}")
        logger.info("{}: {} to {}, {} RPCs in hand", self.config.name, self.phase.value, phase.value,
                    len(self.turn.in_hand))
        self.phase = phase

    def ready(self) -> bool:
        return self.phase is Phase.SERVING and self.listed_once

    def leaving(self) -> bool:
        return self.phase in (Phase.DRAINING, Phase.CLOSED)

    # --- the list

    def listed(self, message: object, asked: bool = True) -> None:
        rows, whole, moved = self.reader.read(message)
        leaving = [row[0] for row in rows if row[2] != decide.READY]
        for upstream in (*moved, *leaving):
            self.caller.forget(upstream)
        self.turn.listed(rows, whole, asked)
        if rows or not asked:
            logger.info("list generation {}: {} entries{}", self.reader.version, len(rows), ", whole" * whole)
        self.listed_once = True

    # --- connections of the application, and what there is room for

    def opened(self, connection: ApplicationConnection) -> None:
        self.clients[connection] = None
        self.budget.clients = len(self.clients)

    def used(self, connection: ApplicationConnection) -> None:
        """It has been answered: of all, it is now the one used last."""
        if self.clients.pop(connection, self) is None:
            self.clients[connection] = None

    def closed(self, connection: ApplicationConnection) -> None:
        if self.clients.pop(connection, self) is None:
            self.budget.clients = len(self.clients)

    def make_room(self) -> bool:
        """Room for one more connection of the application: the longest unused idle one goes."""
        self.budget.clients = len(self.clients) + len(self.listener.tasks)
        if not self.budget.full_of_clients():
            return True
        if self.budget.full() and self.caller.give_up_idle():
            return True
        unused = next((one for one in self.clients if one.idle()), None) or next(
            (one for one in self.clients if not one.unanswered() and not one.unread()), None)
        if unused is not None:
            unused.transport.abort()
        if self.loop.time() >= self.crowd_told + BETWEEN:
            self.crowd_told = self.loop.time()
            logger.warning("{} connections of the application: unused ones are closed", len(self.clients))
        return False

    def room_for(self, count: int) -> bool:
        return self.budget.bytes + count <= self.budget.most_bytes

    # --- from start to exit

    async def serve(self) -> None:
        self.loop.set_exception_handler(self.fault)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        if self.config.known:
            try:
                self.listed(self.config.known, asked=False)
            except ListError as wrong:
                logger.warning("the known list is of no use: {}", wrong)
        try:
            self.listener = Listener(self.loop, self, self.config.listen)
        except OSError as failure:
            raise ConfigError(f"cannot listen on {':'.join(map(str, self.config.listen))}: "
                              f"{failure.strerror}") from failure
        watching = self.loop.create_task(self.watch.run())
        self.listener.resume()
        gc.collect()
        gc.freeze()     # what is here now stays: collections need not look at it again
        self.enter(Phase.SERVING)
        await self.done.wait()
        watching.cancel()
        self.watch.close()
        self.enter(Phase.CLOSED)

    @staticmethod
    def fault(loop, context: dict) -> None:
        logger.error("fault in the loop: {}: {!r}", context.get("message"), context.get("exception"))

    def drain(self) -> None:
        if self.phase is Phase.SERVING:
            self.enter(Phase.DRAINING)
            self.last_look = self.loop.time() + self.longest + AT_LAST
            self.loop.call_later(KEEP_ACCEPTING, self.stop_accepting)

    def stop_accepting(self) -> None:
        if self.listener.waiting():
            self.loop.call_later(LOOK, self.stop_accepting)
            return
        self.listener.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes what is idle until nothing is left; whatever is unread is read and answered first."""
        for connection in list(self.clients):
            if connection.idle():
                connection.close()
        late = self.loop.time() >= self.last_look
        if late:
            logger.warning("{} connections cut at the end", len(self.clients))
        if (self.clients or self.turn.in_hand) and not late:
            self.loop.call_later(LOOK, self.close_idle)
        else:
            self.done.set()
