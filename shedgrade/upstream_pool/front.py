"""A front: what edges that take RPCs are handed, and the connections that they hold open."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from shedgrade.buffers.budget import Budget
from shedgrade.runtime.log import logger

if TYPE_CHECKING:
    from shedgrade.upstream_pool.pool import Pool

BETWEEN = 10.0  # s between two lines about the same crowd
CROWDED = 4  # part of the connections there is room for: calm days use a tenth, and clients,
# who hold a third of the descriptors at most, have as many again
STALLED = 0.5  # s without a look, which comes every 0.25 s: the process stood still
AFTERWARDS = 1.0  # s after a stall in which what waited in the kernel is still being read


class Front:
    """The application's side of one pool: its connections, the longest unused first, and the room for
    more."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: "Pool",
        budget: Budget,
        ready: Callable[[], bool],
        draining: Callable[[], bool],
    ) -> None:
        """`ready`: what `/up` answers; `leaving`: answers end their connection, as the process drains."""
        self.loop, self.pool, self.budget, self.ready, self.draining = loop, pool, budget, ready, draining
        self.dispatcher = pool.dispatcher
        self.clients: dict = {}
        self.accepting: set = set()  # connections that were accepted and are being taken up
        self.crowd_told = -BETWEEN
        self.looked, self.stalled_until = monotonic(), 0.0

    @property
    def methods(self) -> dict[bytes, int]:
        """Numbers of methods, by name."""
        return self.pool.methods

    @property
    def tenants(self) -> int:
        """How many tenants the settings name."""
        return self.pool.tenants

    def tenant_of(self, name: bytes) -> int:
        """By the name that the settings give it; one that they do not name has no share here."""
        return self.pool.tenant_names.get(name, self.pool.tenants)

    def opened(self, connection) -> None:
        """A client has connected."""
        self.clients[connection] = None
        self.budget.clients += 1

    def used(self, connection) -> None:
        """It has been answered: of all, it is now the one used last."""
        if self.clients.pop(connection, self) is None:
            self.clients[connection] = None

    def closed(self, connection) -> None:
        """A client's connection is lost."""
        if self.clients.pop(connection, self) is None:
            self.budget.clients -= 1

    def crowded(self) -> bool:
        """Guards against connections that ask once and stay: their owners run out of connections before this
        side does, so here answers end their connection."""
        return len(self.clients) >= self.budget.max_clients // CROWDED

    def make_room(self) -> bool:
        """Room for one more connection of the application: the longest unused idle one goes.

        Guards against a crowd: what is waiting is let in at once for what is closed here. The descriptors of
        what one pass of the loop closes are free in the next; the reserve holds as many as one pass accepts.
        """
        if not self.budget.full_of_clients(len(self.accepting)):
            return True
        if self.budget.full(len(self.accepting)) and self.pool.connections.give_up_idle():
            return True
        unused = next((one for one in self.clients if one.idle()), None) or next(
            (one for one in self.clients if not one.unanswered() and not one.unread()), None
        )
        if unused is not None:
            self.closed(unused)
            unused.cut()
        if self.loop.time() >= self.crowd_told + BETWEEN:
            self.crowd_told = self.loop.time()
            logger.warning("client connections over budget, closing idle ones", connections=len(self.clients))
        return unused is not None

    def room_for(self, count: int) -> bool:
        """Whether a request of so many bytes may be held."""
        return self.budget.request_bytes + count <= self.budget.max_bytes

    def look_after(self) -> None:
        """Guards against clients that take up room: nothing said, half a request, an answer not taken."""
        self.stalled()
        self.looked = monotonic()
        now = self.loop.time()
        for connection in list(self.clients):
            connection.check_timeouts(now)

    def stalled(self) -> bool:
        """This process stood still a moment ago: what is read now may have waited long for it."""
        now = monotonic()
        if now - self.looked > STALLED:
            self.stalled_until = now + AFTERWARDS
        return now < self.stalled_until

    def close_idle(self) -> None:
        """Whatever is unread is read and answered first."""
        for connection in list(self.clients):
            if connection.idle():
                connection.end()
