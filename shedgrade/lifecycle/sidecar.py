"""The sidecar as one object, from start to exit; its phases are named and change only as allowed."""
import asyncio
import fcntl
import signal
import termios
from enum import Enum

from loguru import logger

from shedgrade import decide
from shedgrade.clock import Clock
from shedgrade.lifecycle.config import Config, ConfigError
from shedgrade.turn import Turn
from shedgrade.wire.application import ApplicationConnection
from shedgrade.wire.discovery import DiscoveryWatch, ListError, ListReader
from shedgrade.wire.upstream import Caller

KEEP_ACCEPTING = 0.5    # s after SIGTERM: new connections may still come for 0.4 s
IDLE_MARGIN = 10_000    # tenths of a ms before the idle limit: the upstream's timer must not be first
RESERVE = 64            # descriptors beside connections: epoll, pipes, standard streams, discovery
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
        settings = config.settings
        try:
            self.balancer = decide.Balancer(settings, config.seed, self.clock.now())
            self.reader = ListReader(settings)
            self.methods = {method["name"].encode(): number
                            for number, method in enumerate(settings["methods"])}
            dial, idle = (int(settings["limits"][name] * 10) for name in ("dial_timeout", "idle_close"))
        except KeyError as missing:
            raise ConfigError(f"settings: {missing} is missing") from missing
        except (AttributeError, IndexError, TypeError, ValueError) as wrong:
            raise ConfigError(f"settings: a value has the wrong form ({wrong})") from wrong
        most = (config.sockets - RESERVE) // 2
        self.most_clients = config.sockets - RESERVE - most
        self.caller = Caller(loop, self.clock, self.reader.addresses.known, dial,
                             max(idle - IDLE_MARGIN, idle // 2), most)
        self.turn = Turn(loop, self.clock, self.balancer, self.caller, self.reader.indices.ids)
        self.caller.turn = self.turn
        self.watch = DiscoveryWatch(loop, config.discovery, self.reader, self.listed, self.turn.list_failed,
                                    self.balancer.span)
        self.clients: dict[ApplicationConnection, None] = {}
        self.listed_once, self.server = False, None
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
        for upstream in moved:
            self.caller.forget(upstream)
        self.turn.listed(rows, whole, asked)
        if rows or not asked:
            logger.info("list generation {}: {} entries{}", self.reader.version, len(rows), ", whole" * whole)
        self.listed_once = True

    # --- connections of the application

    def opened(self, connection: ApplicationConnection) -> None:
        self.clients[connection] = None
        if len(self.clients) > self.most_clients:
            # The longest known idle one goes; its client opens another if it needs one.
            idle = next((one for one in self.clients if one is not connection and self.closable(one)), None)
            if idle is not None:
                idle.close()

    def closed(self, connection: ApplicationConnection) -> None:
        self.clients.pop(connection, None)

    @staticmethod
    def closable(connection: ApplicationConnection) -> bool:
        """Idle, and nothing unread in the kernel either: closing then loses no request."""
        if not connection.idle() or connection.transport.is_closing():
            return False
        handle = connection.transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(handle, termios.FIONREAD, b"\0\0\0\0") == b"\0\0\0\0"

    # --- from start to exit

    async def serve(self) -> None:
        if self.config.known:
            try:
                self.listed(self.config.known, asked=False)
            except ListError as wrong:
                logger.warning("the known list is of no use: {}", wrong)
        watching = self.loop.create_task(self.watch.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        host, port = self.config.listen
        try:
            self.server = await self.loop.create_server(lambda: ApplicationConnection(self), host, port,
                                                        backlog=1024)
        except OSError as failure:
            watching.cancel()
            raise ConfigError(f"cannot listen on {host}:{port}: {failure.strerror}") from failure
        if self.phase is Phase.STARTING:
            self.enter(Phase.SERVING)
        await self.done.wait()
        watching.cancel()
        self.watch.close()
        self.enter(Phase.CLOSED)

    def drain(self) -> None:
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self.enter(Phase.DRAINING)
            self.loop.call_later(KEEP_ACCEPTING, self.stop_accepting)

    def stop_accepting(self) -> None:
        if self.server is not None:
            self.server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes what is idle until nothing is left; whatever is unread is read and answered first."""
        for connection in list(self.clients):
            if self.closable(connection):
                connection.close()
        if self.clients or self.turn.in_hand:
            self.loop.call_later(LOOK, self.close_idle)
        else:
            self.done.set()
