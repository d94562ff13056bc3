"""What client connections use of the data plane: routes in force, services, room, and whether it drains."""

from random import Random

from shedgrade.configuration import Limits
from shedgrade.dataplane.ingress import ServiceDispatchers
from shedgrade.dataplane.service import ServicePool
from shedgrade.served_routes import Routes, ServedRoute
from shedgrade.upstream_pool.front import Front

RETRY_AFTER_RANGE_S = 0.1, 0.4  # s, range of the random Retry-After of a rejected client; spreads the retries
NEW_CONNECTION_GRACE_S = 0.2  # s for which a new connection without a request doesn't count as idle


class IngressFront(Front):
    """The `Front` of the data plane's client connections. `plane` owns the routes and services."""

    def __init__(self, loop, plane, budget, random: Random) -> None:
        self.plane, self.random, self.clock = plane, random, plane.clock
        super().__init__(loop, ServicePools(plane), budget, plane.ready, plane.draining)
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
        """Whether a request is accepted that may take `longest_s`; a draining process rejects some."""
        return self.plane.accepts(longest_s)

    def service_of(self, route: ServedRoute) -> ServicePool | None:
        """The service that a request for the route is sent to; None if there is none."""
        return self.plane.services.get(route.choose_service(self.random)) if route.services else None

    def close_idle(self) -> None:
        """Closes idle connections except new ones, whose first request may be in transit."""
        now = self.loop.time()
        for connection in list(self.clients):
            if connection.idle() and now - connection.waiting_since >= NEW_CONNECTION_GRACE_S:
                connection.end()

    def retry_after_ticks(self) -> int:
        """The random Retry-After of a rejected client, in tenths of a ms; longer by the machine's restart if
        no other edge serves."""
        return int((self.random.uniform(*RETRY_AFTER_RANGE_S) + self.plane.retry_after_s()) * 10_000)


class ServicePools:
    """All services of a sidecar, in place of the single pool that a front asks for room."""

    def __init__(self, plane) -> None:
        self.plane, self.dispatcher, self.connections = plane, None, self

    def close_oldest_idle(self) -> bool:
        """Closes one idle connection to an upstream. Returns whether there was one to close."""
        return any(service.connections.close_oldest_idle() for service in list(self.plane.services.values()))
