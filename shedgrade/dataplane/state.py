"""What this sidecar knows: routes in force, services, upstreams, evacuated zones. Told by the control
plane."""

from collections.abc import Callable, Iterable, Mapping
from zlib import crc32

from shedgrade.configuration import parse
from shedgrade.control_messages import (
    ControlChange,
    Endpoint,
    EndpointUpdate,
    FleetView,
    decompress_configuration,
)
from shedgrade.dataplane.fleet import FleetSize
from shedgrade.dataplane.routes import Routes
from shedgrade.dataplane.service import ServicePool
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.runtime.log import logger


class State:
    """`make_pool(name, repeats)` makes a service's pool. Applied whole or not at all."""

    def __init__(
        self, settings, now: Callable[[], float], make_pool: Callable[[str, RetryBudget], ServicePool]
    ) -> None:
        self.zones = settings.zones
        self.regions = {name: number for number, name in enumerate(sorted(set(settings.zones.values())))}
        self.bounds, self.lag = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.now, self.make_pool = now, make_pool
        self.record = None  # of who holds which prompts' parts, if it is kept
        self.routes: Routes | None = None
        self.services: dict[str, ServicePool] = {}
        self.instances: dict[str, Endpoint] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.cold_until: dict[str, float] = {}  # by instance, on this process's clock
        self.returned: dict[str, float] = {}  # zones once evacuated: when that was taken back
        self.fleet, self.sidecars = FleetSize(), 1

    def apply(self, updates: Iterable[object]) -> None:
        for update in updates:
            match update:
                case ControlChange():
                    self.controlled(update)
                case EndpointUpdate():
                    self.moved(update)
                case FleetView(edges, _):
                    self.counted(edges)

    def counted(self, edges: int) -> None:
        """As many edges are known now, by whoever knows the most."""
        now = self.now()
        self.fleet.counted(now, edges)
        self.sidecars = self.fleet.largest(now)
        for service in self.services.values():
            service.counted(self.sidecars)

    def own_loads(self) -> dict[int, int]:
        """What this sidecar has in flight, by mark of the upstream."""
        return {mark: load for pool in self.services.values() for mark, load in pool.balancer.own_loads()}

    def others_told(self, loads: Mapping[int, int]) -> None:
        """What other sidecars have in flight, by mark."""
        for pool in self.services.values():
            pool.balancer.update_remote_loads(loads)

    def controlled(self, change: ControlChange) -> None:
        raw = decompress_configuration(change)
        if raw is not None:
            self.configured(Routes(parse(raw), self.regions))
        evacuated = frozenset(change.evacuations)
        if evacuated != self.evacuated:
            for zone in self.evacuated - evacuated:
                self.returned[zone] = self.now()
            self.evacuated = evacuated
            self.relist(self.services)

    def configured(self, routes: Routes) -> None:
        before = self.routes.services if self.routes is not None else {}
        self.routes = routes
        for name, service in routes.services.items():
            pool = self.services.get(name)
            if pool is None:
                pool = self.services[name] = self.make_pool(name, RetryBudget(*self.repeat_bounds()))
                pool.counted(self.sidecars)
                self.relist((name,))
            if before.get(name) != service:
                pool.retuned(
                    service.cold_start_s,
                    service.cold_rate_s,
                    self.bounds["coldExcess"],
                    self.bounds["coldSlack"],
                )
                engine = service.inference_engine
                pool.times.tokens_per_event = engine.stride if engine is not None else 1.0
        logger.info("configuration {} is in force, {} services", routes.version, len(routes.services))

    def moved(self, change: EndpointUpdate) -> None:
        if change.is_full:
            touched = {one.service for one in self.instances.values()}
            self.instances = {}
        else:
            gone = [self.instances.pop(name, None) for name in change.removed]
            touched = {one.service for one in gone if one is not None}
        now = self.now()
        for one in change.changed:
            # What counts down is kept as a point in time: the list may be looked at again much later.
            self.instances[one.id] = one
            self.cold_until[one.id] = now + one.cold_left_ms / 1000
            touched.add(one.service)
        self.cold_until = {name: until for name, until in self.cold_until.items() if name in self.instances}
        if self.record is not None:
            self.record.retain_endpoints({crc32(name.encode()) for name in self.instances})
        self.relist(touched)

    def relist(self, names: Iterable[str]) -> None:
        now = self.now()
        by_service: dict[str, list[tuple[Endpoint, float]]] = {}
        for one in self.instances.values():
            by_service.setdefault(one.service, []).append((one, self.cold_until[one.id] - now))
        for name in names:
            pool = self.services.get(name)
            if pool is not None:
                returned = {
                    zone: now - at for zone, at in self.returned.items() if zone not in self.evacuated
                }
                pool.listed(by_service.get(name, ()), self.zones, self.evacuated, returned)

    def resettled(self, settings) -> None:
        """Settings were read anew: bounds, the list's lag, zones; one of a new region waits for a start."""
        self.bounds, self.lag = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.zones = {zone: region for zone, region in settings.zones.items() if region in self.regions}
        if len(self.zones) < len(settings.zones):
            logger.warning(
                "only a start changes regions: {}",
                ", ".join(sorted(set(settings.zones.values()) - set(self.regions))),
            )
        for pool in self.services.values():
            pool.repeats.retune(*self.repeat_bounds())
        routes, self.routes = self.routes, None
        if routes is not None:
            self.configured(routes)  # every service is retuned
        self.relist(self.services)

    def repeat_bounds(self) -> tuple[float, float, int]:
        """Ratio, slack, and window in tenths of a ms."""
        return (
            self.bounds["retryBudgetRatio"],
            self.bounds["retrySlack"],
            int(self.bounds["retryWindowS"] * 10_000),
        )

    def ready(self) -> bool:
        """Requests can be served: routes are in force and upstreams are known."""
        return self.routes is not None and any(pool.ready() for pool in self.services.values())
