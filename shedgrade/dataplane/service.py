"""One service: its upstreams by region, load balancing, dispatcher and connections."""

from collections.abc import Iterable, Mapping

from shedgrade import load_balancing
from shedgrade.control_messages import Endpoint
from shedgrade.dataplane.engine_connection_pool import EngineConnectionPool, ProbeResult
from shedgrade.dataplane.engine_protocol import EngineProtocol
from shedgrade.dataplane.service_times import ServiceTimes
from shedgrade.load_balancing.upstream_indices import UpstreamAddresses, UpstreamIndices
from shedgrade.model_routing.balancer import ServingBalancer
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.request_dispatch import Dispatcher
from shedgrade.runtime.log import logger

SILENCE_LIMIT = 4_000  # tenths of a ms without a byte from an upstream with requests in flight
PROBE_INTERVAL = 10_000  # tenths of a ms between two probes of one upstream
PROBE_AHEAD = 5_000  # tenths of a ms before an ejection ends; longer than the connect timeout


class ClockedPrefixIndex:
    """The prefix index as load balancing reads it: supplies the loop's time, which load balancing lacks."""

    def __init__(self, prefix_index: EdgePrefixIndex, loop) -> None:
        self.prefix_index, self.loop = prefix_index, loop

    def holders(self, key: int) -> Mapping[int, float]:
        """The upstreams that cache a prefix, by id hash, each with the number of cached tokens."""
        return self.prefix_index.endpoints_caching(self.loop.time(), key)

    def record_holder(self, key: int, id_hash: int) -> None:
        """Records that an upstream has processed a prompt with this prefix."""
        self.prefix_index.record_prefill(self.loop.time(), key, id_hash)


class ServicePool:
    """The upstreams of one service. Shares clock and socket budget with the sidecar's other services."""

    def __init__(
        self,
        name: str,
        regions: dict[str, int],
        own_region: str,
        seed: int,
        loop,
        clock,
        budget,
        retry_budget: RetryBudget,
        node_name: str,
        prefix_index: EdgePrefixIndex | None = None,
    ) -> None:
        """`regions`: region numbers by name; `own_region`: name of this sidecar's region; `node_name`: this
        sidecar's name; `prefix_index`: which upstreams cache which prompt prefixes."""
        self.name, self.regions, self.clock, self.loop = name, regions, clock, loop
        self.indices, self.addresses = UpstreamIndices(), UpstreamAddresses()
        self.balancer = ServingBalancer(
            list(regions), regions[own_region], seed, clock.now(), retry_budget, node_name
        )
        if prefix_index is not None:
            self.balancer.prefix_index = ClockedPrefixIndex(prefix_index, loop)
        self.retry_budget, self.slow_start_s = retry_budget, 0.0
        self.times = ServiceTimes()
        self.states: dict[int, int] = {}
        self.probed_at: dict[int, int] = {}  # by upstream: time of the last probe, tenths of a ms
        self.tasks: set = set()
        protocol = EngineProtocol(self.indices.ids)
        self.connections = EngineConnectionPool(
            loop, clock, self.addresses.known, budget, protocol, self.misdirected
        )
        self.dispatcher = Dispatcher(
            loop, clock, self.balancer, self.connections, self.indices.ids, budget, self.forget
        )
        self.connections.dispatcher = self.dispatcher

    def apply_settings(
        self, slow_start_s: float, slow_start_rate: float, excess: float, slack: float
    ) -> None:
        """Applies the operator's configuration of the service and the deployment's bounds.

        An upstream in slow start, which lasts `slow_start_s`, may get `slow_start_rate` x `excess` + `slack`
        requests within a second.
        """
        self.slow_start_s, self.balancer.slow_start_rate = slow_start_s, slow_start_rate
        self.balancer.slow_start_bound = slow_start_rate * excess + slack if slow_start_rate else 0.0

    def apply_edge_count(self, sidecars: int) -> None:
        """Applies the largest recent count of sidecars."""
        self.balancer.sidecar_count = self.retry_budget.sidecar_count = max(1, sidecars)

    def apply_endpoint_list(
        self,
        instances: Iterable[tuple[Endpoint, float]],
        region_of: dict[str, str],
        evacuated: frozenset[str],
        returned: Mapping[str, float],
    ) -> None:
        """Applies the complete list of this service's upstreams, each with the remaining seconds of its slow
        start. Upstreams in evacuated zones count as draining. `returned`: the seconds since the evacuation of
        a zone ended; its upstreams are in slow start from then on, whatever the lagging list says."""
        now, rows, leaving = self.clock.now(), [], []
        instances = list(instances)
        self.balancer.set_slots(
            min((endpoint.slots for endpoint, _ in instances if endpoint.slots > 0), default=0)
        )
        for endpoint, remaining_slow_start_s in instances:
            region = region_of.get(endpoint.zone)
            host, _, port = endpoint.address.rpartition(":")
            if region is None or not host or not port.isdigit():
                continue
            ready = endpoint.state == "available" and endpoint.zone not in evacuated
            row = self.indices.row(
                endpoint.id,
                self.regions[region],
                load_balancing.READY if ready else load_balancing.DRAINING,
                0,
                0,
                1.0,
                0,
            )
            rows.append(row)
            index = row[0]
            if self.addresses.move(index, (host, int(port))) or not ready:
                leaving.append(index)
            if endpoint.zone in returned:
                remaining_slow_start_s = max(
                    remaining_slow_start_s, self.slow_start_s - returned[endpoint.zone]
                )
            self.balancer.warming_up_until[index] = now + max(0, int(remaining_slow_start_s * 10_000))
        listed_indices = {row[0] for row in rows}
        leaving += [index for index in self.states if index not in listed_indices]
        self.states = {row[0]: row[2] for row in rows}
        self.dispatcher.list_changed(rows, True, False)
        for index in leaving:
            self.connections.withdraw(index)

    def ready(self) -> int:
        """The number of ready upstreams."""
        return sum(state == load_balancing.READY for state in self.states.values())

    def misdirected(self, upstream: int) -> None:
        """Another incarnation answers at this upstream's address: it is gone, whatever the list says."""
        self.dispatcher.enqueue_event(self.eject_replaced, upstream)

    def eject_replaced(self, now: int, upstream: int) -> None:
        """Ejects an upstream whose address another incarnation has, and closes its idle connections."""
        up = self.balancer.upstreams.get(upstream)
        if up is not None:
            self.balancer.eject(now, up, True)
            self.connections.close_idle_to(upstream)

    def probe_silent(self) -> None:
        """Probes upstreams that are silent or about to return from an ejection.

        Guards against an unreachable machine, to which connections stay open without a byte. An upstream that
        is only slow, with long prompts queued before ours, still accepts a connection; an unreachable one
        doesn't. An ejected upstream is probed before it returns, or a client's request would have to discover
        that it is unreachable."""
        now = self.clock.now()
        for index, up in list(self.balancer.upstreams.items()):
            silent = up.in_flight and now - self.connections.silent_since(index) > SILENCE_LIMIT
            returns = up.listed and up.ejected_until and up.ejected_until - now <= PROBE_AHEAD
            if (silent or returns) and now - self.probed_at.get(index, -PROBE_INTERVAL) >= PROBE_INTERVAL:
                self.probed_at[index] = now
                task = self.loop.create_task(self.probe(index))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def probe(self, upstream: int) -> None:
        """Tries a connection to a silent or returning upstream, and ejects the upstream if that fails."""
        result = await self.connections.probe(upstream)
        if result is not ProbeResult.UP:
            logger.info("upstream unreachable", upstream=self.indices.ids[upstream], result=result.value)
            self.dispatcher.enqueue_event(self.eject_unreachable, upstream, result)

    def eject_unreachable(self, now: int, upstream: int, result: ProbeResult) -> None:
        """Ejects an upstream. Its requests in flight are failed only if its machine is unreachable: an
        upstream at its connection limit refuses further connections and works on, and if its process is gone
        the kernel resets the connections by itself."""
        up = self.balancer.upstreams.get(upstream)
        if up is not None:
            self.balancer.extend_ejection(now, up)
        if result is ProbeResult.UNREACHABLE:
            self.connections.fail_connections(upstream)

    def forget(self, upstream: int) -> None:
        """Releases the index of an upstream that is gone and has nothing in flight."""
        self.indices.release(upstream)
        self.addresses.known.pop(upstream, None)
        self.probed_at.pop(upstream, None)
        self.connections.remove_upstream(upstream)
