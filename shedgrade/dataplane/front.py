"""What the clients' connections are handed: routes in force, services, room, and whether this sidecar
leaves."""

from random import Random

from shedgrade.configuration import Limits
from shedgrade.dataplane.ingress import ServiceDispatchers
from shedgrade.dataplane.routes import Routes, ServedRoute
from shedgrade.dataplane.service import ServicePool
from shedgrade.upstream_pool.front import Front

BACK = 0.1, 0.4  # s after which a client is told to try elsewhere: spread, so they don't come together
JUST_UP = 0.2  # s after which a connection that brought nothing counts as idle


class IngressFront(Front):
    """`plane` is asked for routes and services; it owns them."""

    def __init__(self, loop, plane, budget, random: Random) -> None:
        self.plane, self.random, self.clock = plane, random, plane.clock
        super().__init__(loop, Pools(plane), budget, plane.ready, plane.draining)
        self.dispatcher = ServiceDispatchers()

    @property
    def routes(self) -> Routes | None:
        """The routes in force; None before the first configuration."""
        return self.plane.routes

    @property
    def limits(self) -> Limits:
        """The limits that clients are held to."""
        return self.plane.routes.limits if self.plane.routes is not None else Limits()

    def accepts(self, longest_s: float) -> bool:
        """Whether a request is taken that may need so long; not all are by a process that ends."""
        return self.plane.accepts(longest_s)

    def service_of(self, route: ServedRoute) -> ServicePool | None:
        """The service that a request for the route goes to; None if there is none."""
        return self.plane.services.get(route.service(self.random)) if route.services else None

    def close_idle(self) -> None:
        """As any front's, but for connections that have just come up: their first request is on its way."""
        now = self.loop.time()
        for connection in list(self.clients):
            if connection.idle() and now - connection.waiting_since >= JUST_UP:
                connection.end()

    def come_back(self) -> int:
        """Tenths of a ms after which a refused client is to try again: elsewhere, or here once the machine
        serves again, where nobody else does."""
        return int((self.random.uniform(*BACK) + self.plane.retry_after_s()) * 10_000)


class Pools:
    """All services of a sidecar, where a front asks one pool for room."""

    def __init__(self, plane) -> None:
        self.plane, self.dispatcher, self.connections = plane, None, self

    def give_up_idle(self) -> bool:
        """Closes one idle connection to an upstream. Returns whether there was one."""
        return any(service.connections.give_up_idle() for service in list(self.plane.services.values()))
