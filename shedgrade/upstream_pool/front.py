"""The client side of a pool: what listeners use, and the open connections of clients."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from shedgrade.buffers.budget import Budget
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_exception

if TYPE_CHECKING:
    from shedgrade.upstream_pool.pool import Pool

CROWDED_LOG_INTERVAL_S = 10.0  # s between two log lines about connections over budget
# Divisor of the largest number of client connections: from the quotient on, answers close their connection.
# Normal operation uses a tenth, and clients, which hold a third of the descriptors at most, have as many
# again.
CROWDED_DIVISOR = 4
STALL_THRESHOLD_S = 0.5  # s since the last check, which is due every 0.25 s: the process has not run
STALL_AFTERMATH_S = 1.0  # s after a stall in which data that waited in the kernel is still being read


class Front:
    """The client side of one pool: its client connections by last use, and the limits on them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: "Pool",
        budget: Budget,
        ready: Callable[[], bool],
        draining: Callable[[], bool],
    ) -> None:
        """`ready`: what `/up` answers; `draining`: answers close their connection, as the process drains."""
        self.loop, self.pool, self.budget, self.ready, self.draining = loop, pool, budget, ready, draining
        self.dispatcher = pool.dispatcher
        self.clients: dict = {}
        self.accepting: set = set()  # connections that were accepted and are not registered yet
        self.crowded_logged_at = -CROWDED_LOG_INTERVAL_S
        self.checked_at, self.stalled_until = monotonic(), 0.0

    @property
    def methods(self) -> dict[bytes, int]:
        """Returns the numbers of methods, by name."""
        return self.pool.methods

    @property
    def tenants(self) -> int:
        """Returns how many tenants the settings name."""
        return self.pool.tenants

    def tenant_of(self, name: bytes) -> int:
        """Returns a tenant's number by its name in the settings; other tenants have no share at this pool."""
        return self.pool.tenant_names.get(name, self.pool.tenants)

    def opened(self, connection) -> None:
        """Registers a client's connection."""
        self.clients[connection] = None
        self.budget.clients += 1

    def response_sent_on(self, connection) -> None:
        """Marks a connection that was answered as the most recently used one."""
        if self.clients.pop(connection, self) is None:
            self.clients[connection] = None

    def closed(self, connection) -> None:
        """Removes a client's connection that is lost."""
        if self.clients.pop(connection, self) is None:
            self.budget.clients -= 1

    def closes_after_response(self) -> bool:
        """Returns whether answers should close their connection.

        Guards against connections that send one request and stay open: the clients run out of connections
        before this process does.
        """
        return len(self.clients) >= self.budget.max_clients // CROWDED_DIVISOR

    def make_room(self) -> bool:
        """Makes room for one more client connection: the least recently used idle one is closed.

        Returns whether there is room. Guards against many clients at once: connections that wait for accept
        are accepted as soon as others are closed. Descriptors closed in one iteration of the loop are free in
        the next; the reserve holds as many as one iteration accepts.
        """
        if not self.budget.client_limit_reached(len(self.accepting)):
            return True
        if self.budget.full(len(self.accepting)) and self.pool.connections.close_oldest_idle():
            return True
        unused = next((one for one in self.clients if one.idle()), None) or next(
            (one for one in self.clients if not one.unanswered() and not one.has_unread_bytes()), None
        )
        if unused is not None:
            self.closed(unused)
            unused.cut()
        if self.loop.time() >= self.crowded_logged_at + CROWDED_LOG_INTERVAL_S:
            self.crowded_logged_at = self.loop.time()
            logger.warning("client connections over budget, closing idle ones", connections=len(self.clients))
        return unused is not None

    def can_buffer(self, count: int) -> bool:
        """Returns whether a request of so many bytes may be buffered."""
        return self.budget.request_bytes + count <= self.budget.max_bytes

    def check_timeouts(self) -> None:
        """Checks timeouts: guards against clients that send nothing, half a request, or read no answer."""
        self.recently_stalled()
        self.checked_at = monotonic()
        now = self.loop.time()
        for connection in list(self.clients):
            try:
                connection.check_timeouts(now)
            except Exception as failure:  # one connection keeps no others from being checked
                log_exception("connection check failed", failure)
                connection.cut()

    def recently_stalled(self) -> bool:
        """Returns whether this process stalled a moment ago: data read now may have waited long."""
        now = monotonic()
        if now - self.checked_at > STALL_THRESHOLD_S:
            self.stalled_until = now + STALL_AFTERMATH_S
        return now < self.stalled_until

    def close_idle(self) -> None:
        """Closes idle connections; a request that is still unread is read and answered first."""
        for connection in list(self.clients):
            if connection.idle():
                connection.end()
