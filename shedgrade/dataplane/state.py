"""What this sidecar knows from the control plane: routes in force, services, upstreams, evacuated zones."""

from collections.abc import Callable, Iterable, Mapping
from zlib import crc32

from shedgrade.configuration import Service, parse
from shedgrade.control_messages import (
    ControlChange,
    Endpoint,
    EndpointUpdate,
    FleetView,
    decompress_configuration,
)
from shedgrade.dataplane.fleet_size import FleetSize
from shedgrade.dataplane.received_state import NO_CONFIGURATION
from shedgrade.dataplane.service import ServicePool
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.runtime.log import logger
from shedgrade.served_routes import Routes


class State:
    """The state received from the control plane; an update is applied as a whole or not at all.

    Attributes:
        zones: region names by zone name.
        regions: region numbers by name.
        bounds: the deployment's bounds of the settings.
        endpoint_list_lag_s: maximum lag of the platform's endpoint list, s.
        prefix_index: which upstreams cache which prompt prefixes; None if it is not kept.
        partial_version: version of the configuration of which a part is served, as it could not be applied as
            a whole and no other was in force; None if a whole one is in force, or none.
        instances: all upstreams by id.
        evacuated: names of the evacuated zones.
        warming_up_until: end of each instance's slow start by id, s on this process's clock.
        returned_at: when the evacuation of a zone ended, by zone name, s on this process's clock.
    """

    def __init__(
        self, settings, now: Callable[[], float], make_pool: Callable[[str, RetryBudget], ServicePool]
    ) -> None:
        """`make_pool(name, retry_budget)`: creates the pool of a service."""
        self.zones = settings.zones
        self.regions = {name: number for number, name in enumerate(sorted(set(settings.zones.values())))}
        self.bounds, self.endpoint_list_lag_s = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.now, self.make_pool = now, make_pool
        self.prefix_index: EdgePrefixIndex | None = None
        self.routes: Routes | None = None
        self.partial_version: int | None = None
        self.services: dict[str, ServicePool] = {}
        self.instances: dict[str, Endpoint] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.warming_up_until: dict[str, float] = {}
        self.returned_at: dict[str, float] = {}
        self.fleet_size, self.edge_count = FleetSize(), 1

    def apply(self, updates: Iterable[object]) -> None:
        """Applies updates from the core in order. Any exception if one can't be applied."""
        for update in updates:
            match update:
                case ControlChange():
                    self.apply_control(update)
                case EndpointUpdate():
                    self.apply_endpoint_list(update)
                case FleetView(edges, _):
                    self.apply_edge_count(edges)

    def apply_edge_count(self, edges: int) -> None:
        """Applies a count of edges; the services use the largest recent count."""
        now = self.now()
        self.fleet_size.record_count(now, edges)
        self.edge_count = self.fleet_size.largest(now)
        for service in self.services.values():
            service.apply_edge_count(self.edge_count)

    def own_loads(self) -> dict[int, int]:
        """This sidecar's requests in flight, by the hash of the upstream's id."""
        return {
            id_hash: load for pool in self.services.values() for id_hash, load in pool.balancer.own_loads()
        }

    def apply_other_loads(self, loads: Mapping[int, int]) -> None:
        """Applies the requests in flight of the other sidecars, by the hash of the upstream's id."""
        for pool in self.services.values():
            pool.balancer.update_remote_loads(loads)

    def apply_control(self, change: ControlChange) -> None:
        """Applies changed control state: configuration and evacuated zones."""
        self.apply_evacuations(frozenset(change.evacuations))
        raw = decompress_configuration(change)
        if raw is None:
            return
        try:
            self.apply_configuration(Routes(parse(raw), self.regions))
            self.partial_version = None
        except Exception:
            if self.routes is None or self.partial_version is not None:
                self.apply_servable_part(raw)
            raise

    def apply_servable_part(self, raw: bytes) -> None:
        """Serves what can be served of a configuration, where no other was in force."""
        routes = Routes.servable_part(raw, self.regions)
        self.apply_configuration(routes)
        self.partial_version = routes.version

    def apply_evacuations(self, evacuated: frozenset[str]) -> None:
        """Applies the set of evacuated zones."""
        if evacuated != self.evacuated:
            for zone in self.evacuated - evacuated:
                self.returned_at[zone] = self.now()
            self.evacuated = evacuated
            self.update_services(self.services)

    def version_in_force(self) -> int:
        """The version of the configuration in force as a whole; NO_CONFIGURATION if there is none."""
        if self.routes is None or self.partial_version is not None:
            return NO_CONFIGURATION
        return self.routes.version

    def apply_configuration(self, routes: Routes) -> None:
        """Applies changed routes, with new services and the settings of changed ones."""
        self.apply_services(routes, self.routes.services if self.routes is not None else {})
        self.routes = routes
        logger.info("configuration applied", version=routes.version, services=len(routes.services))

    def apply_services(self, routes: Routes, before: dict[str, Service]) -> None:
        """Adds new services, and applies the settings of those that differ from the ones `before`."""
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

    def apply_endpoint_list(self, change: EndpointUpdate) -> None:
        """Applies a complete endpoint list or a delta to the last one."""
        if change.is_full:
            affected = {endpoint.service for endpoint in self.instances.values()}
            self.instances = {}
        else:
            removed = [self.instances.pop(name, None) for name in change.removed]
            affected = {endpoint.service for endpoint in removed if endpoint is not None}
        now = self.now()
        for endpoint in change.changed:
            # The remaining slow start is stored as a point in time: the list may be read again much later.
            self.instances[endpoint.id] = endpoint
            self.warming_up_until[endpoint.id] = now + endpoint.warmup_remaining_ms / 1000
            affected.add(endpoint.service)
        self.warming_up_until = {
            name: until for name, until in self.warming_up_until.items() if name in self.instances
        }
        if self.prefix_index is not None:
            self.prefix_index.retain_endpoints({crc32(name.encode()) for name in self.instances})
        self.update_services(affected)

    def update_services(self, names: Iterable[str]) -> None:
        """Passes the endpoint list on to the named services."""
        now = self.now()
        by_service: dict[str, list[tuple[Endpoint, float]]] = {}
        for endpoint in self.instances.values():
            by_service.setdefault(endpoint.service, []).append(
                (endpoint, self.warming_up_until[endpoint.id] - now)
            )
        for name in names:
            pool = self.services.get(name)
            if pool is not None:
                returned = {
                    zone: now - at for zone, at in self.returned_at.items() if zone not in self.evacuated
                }
                pool.apply_endpoint_list(by_service.get(name, ()), self.zones, self.evacuated, returned)

    def settings_changed(self, settings) -> None:
        """Applies reloaded settings: bounds, the list's lag and zones. A zone of a new region is ignored
        until the process is restarted."""
        self.bounds, self.endpoint_list_lag_s = settings.bounds, settings.cloud_api.max_lag_ms / 1000
        self.zones = {zone: region for zone, region in settings.zones.items() if region in self.regions}
        if len(self.zones) < len(settings.zones):
            new_regions = sorted(set(settings.zones.values()) - set(self.regions))
            logger.warning("new regions ignored until restart", regions=", ".join(new_regions))
        for pool in self.services.values():
            pool.retry_budget.update_bounds(*self.retry_budget_bounds())
        if self.routes is not None:
            self.apply_services(self.routes, {})  # applies the new bounds to every service
        self.update_services(self.services)

    def retry_budget_bounds(self) -> tuple[float, float, int]:
        """The bounds of the retry budget: ratio, slack, and window in tenths of a ms."""
        return (
            self.bounds["retryBudgetRatio"],
            self.bounds["retrySlack"],
            int(self.bounds["retryWindowS"] * 10_000),
        )

    def ready(self) -> bool:
        """Whether requests can be served: routes are in force and an upstream is ready."""
        return self.routes is not None and any(pool.ready() for pool in self.services.values())
