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
from shedgrade.dataplane.fleet_size import FleetSize
from shedgrade.dataplane.routes import Routes
from shedgrade.dataplane.service import ServicePool
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.runtime.log import logger


class State:
    """`make_pool(name, repeats)` makes a service's pool. Applied whole or not at all."""

    def __init__(
        self, settings, now: Callable[[], float], make_pool: Callable[[str, RetryBudget], ServicePool]
    ) -> None:
        self.zones = settings.zones
        self.regions = {name: number for number, name in enumerate(sorted(set(settings.zones.values())))}
        self.bounds, self.endpoint_list_lag_s = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.now, self.make_pool = now, make_pool
        self.prefix_index: EdgePrefixIndex | None = None  # of who holds which prompts' parts, if it is kept
        self.routes: Routes | None = None
        self.services: dict[str, ServicePool] = {}
        self.instances: dict[str, Endpoint] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.warming_up_until: dict[str, float] = {}  # by instance, on this process's clock
        self.returned_at: dict[str, float] = {}  # zones once evacuated: when that was taken back
        self.fleet_size, self.edge_count = FleetSize(), 1

    def apply(self, updates: Iterable[object]) -> None:
        """Applies what the core has sent, in order. ValueError, TypeError or AttributeError for what can't be
        used.
        """
        for update in updates:
            match update:
                case ControlChange():
                    self.apply_control(update)
                case EndpointUpdate():
                    self.apply_endpoint_list(update)
                case FleetView(edges, _):
                    self.apply_edge_count(edges)

    def apply_edge_count(self, edges: int) -> None:
        """As many edges are known now, by whoever knows the most."""
        now = self.now()
        self.fleet_size.counted(now, edges)
        self.edge_count = self.fleet_size.largest(now)
        for service in self.services.values():
            service.apply_edge_count(self.edge_count)

    def own_loads(self) -> dict[int, int]:
        """What this sidecar has in flight, by mark of the upstream."""
        return {mark: load for pool in self.services.values() for mark, load in pool.balancer.own_loads()}

    def apply_other_loads(self, loads: Mapping[int, int]) -> None:
        """What other sidecars have in flight, by mark."""
        for pool in self.services.values():
            pool.balancer.update_remote_loads(loads)

    def apply_control(self, change: ControlChange) -> None:
        """Control state has changed: configuration, evacuated zones."""
        raw = decompress_configuration(change)
        if raw is not None:
            self.apply_configuration(Routes(parse(raw), self.regions))
        evacuated = frozenset(change.evacuations)
        if evacuated != self.evacuated:
            for zone in self.evacuated - evacuated:
                self.returned_at[zone] = self.now()
            self.evacuated = evacuated
            self.update_services(self.services)

    def apply_configuration(self, routes: Routes) -> None:
        """Routes have changed: services are added, and those that changed are retuned."""
        before = self.routes.services if self.routes is not None else {}
        self.routes = routes
        for name, service in routes.services.items():
            pool = self.services.get(name)
            if pool is None:
                pool = self.services[name] = self.make_pool(name, RetryBudget(*self.retry_budget_bounds()))
                pool.apply_edge_count(self.edge_count)
                self.update_services((name,))
            if before.get(name) != service:
                pool.apply_settings(
                    service.cold_start_s,
                    service.cold_rate_s,
                    self.bounds["coldExcess"],
                    self.bounds["coldSlack"],
                )
                engine = service.inference_engine
                pool.times.tokens_per_event = engine.stride if engine is not None else 1.0
        logger.info("configuration applied", version=routes.version, services=len(routes.services))

    def apply_endpoint_list(self, change: EndpointUpdate) -> None:
        """The endpoint list has changed, or a complete one has come."""
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
            self.warming_up_until[one.id] = now + one.cold_left_ms / 1000
            touched.add(one.service)
        self.warming_up_until = {
            name: until for name, until in self.warming_up_until.items() if name in self.instances
        }
        if self.prefix_index is not None:
            self.prefix_index.retain_endpoints({crc32(name.encode()) for name in self.instances})
        self.update_services(touched)

    def update_services(self, names: Iterable[str]) -> None:
        """Hands the endpoint list on to these services."""
        now = self.now()
        by_service: dict[str, list[tuple[Endpoint, float]]] = {}
        for one in self.instances.values():
            by_service.setdefault(one.service, []).append((one, self.warming_up_until[one.id] - now))
        for name in names:
            pool = self.services.get(name)
            if pool is not None:
                returned = {
                    zone: now - at for zone, at in self.returned_at.items() if zone not in self.evacuated
                }
                pool.apply_endpoint_list(by_service.get(name, ()), self.zones, self.evacuated, returned)

    def settings_changed(self, settings) -> None:
        """Settings were read anew: bounds, the list's lag, zones; one of a new region waits for a start."""
        self.bounds, self.endpoint_list_lag_s = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.zones = {zone: region for zone, region in settings.zones.items() if region in self.regions}
        if len(self.zones) < len(settings.zones):
            new_regions = sorted(set(settings.zones.values()) - set(self.regions))
            logger.warning("new regions ignored until restart", regions=", ".join(new_regions))
        for pool in self.services.values():
            pool.repeats.retune(*self.retry_budget_bounds())
        routes, self.routes = self.routes, None
        if routes is not None:
            self.apply_configuration(routes)  # every service is retuned
        self.update_services(self.services)

    def retry_budget_bounds(self) -> tuple[float, float, int]:
        """Ratio, slack, and window in tenths of a ms."""
        return (
            self.bounds["retryBudgetRatio"],
            self.bounds["retrySlack"],
            int(self.bounds["retryWindowS"] * 10_000),
        )

    def ready(self) -> bool:
        """Requests can be served: routes are in force and upstreams are known."""
        return self.routes is not None and any(pool.ready() for pool in self.services.values())
