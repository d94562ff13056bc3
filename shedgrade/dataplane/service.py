"""One service: its upstreams by region, their decisions, the turn and the connections."""

from collections.abc import Iterable, Mapping

from shedgrade import load_balancing
from shedgrade.control_messages import Endpoint
from shedgrade.dataplane.engine_connection_pool import EngineConnectionPool, Reach
from shedgrade.dataplane.engine_protocol import EngineProtocol
from shedgrade.dataplane.service_times import ServiceTimes
from shedgrade.load_balancing.upstream_indices import Addresses, Indices
from shedgrade.model_routing.balancer import ServingBalancer
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.request_dispatch import Dispatcher
from shedgrade.runtime.log import logger

SILENCE_LIMIT = 4_000  # tenths of a ms without a byte from an upstream that has requests in flight
PROBE_INTERVAL = 10_000  # tenths of a ms between two probes of one upstream
PROBE_AHEAD = 5_000  # tenths of a ms before the return of one set aside: over a connect's time limit


class TimedRecord:
    """The record as the decisions read it: as of the loop's time, which they don't know."""

    def __init__(self, record: EdgePrefixIndex, loop) -> None:
        self.record, self.loop = record, loop

    def holders(self, key: int) -> Mapping[int, float]:
        """The upstreams that cache a prefix, by mark, each with the tokens of it."""
        return self.record.endpoints_caching(self.loop.time(), key)

    def saw(self, key: int, mark: int) -> None:
        """An upstream has read a prompt with that prefix."""
        self.record.record_prefill(self.loop.time(), key, mark)


class ServicePool:
    """Shares clock and budget with the other services of this sidecar."""

    def __init__(
        self,
        name: str,
        regions: dict[str, int],
        own: str,
        seed: int,
        loop,
        clock,
        budget,
        repeats: RetryBudget,
        me: str,
        record: EdgePrefixIndex | None = None,
    ) -> None:
        """`regions`: numbers by name; `own`: the name of this sidecar's; `me`: its name;
        `record`: of who holds which prompts' parts."""
        self.name, self.regions, self.clock, self.loop = name, regions, clock, loop
        self.indices, self.addresses = Indices(), Addresses()
        self.balancer = ServingBalancer(list(regions), regions[own], seed, clock.now(), repeats, me)
        if record is not None:
            self.balancer.prefix_index = TimedRecord(record, loop)
        self.repeats, self.slow_start_s = repeats, 0.0
        self.times = ServiceTimes()
        self.states: dict[int, int] = {}
        self.probed_at: dict[int, int] = {}  # by upstream: when a connection to it was last tried
        self.tasks: set = set()
        protocol = EngineProtocol(self.indices.ids)
        self.connections = EngineConnectionPool(
            loop, clock, self.addresses.known, budget, protocol, self.misdirected
        )
        self.dispatcher = Dispatcher(
            loop, clock, self.balancer, self.connections, self.indices.ids, budget, self.forget
        )
        self.connections.dispatcher = self.dispatcher

    def apply_settings(self, cold_s: float, cold_rate: float, excess: float, slack: float) -> None:
        """As the operator's configuration says of the service, and the deployment's bounds: a cold upstream
        may get `cold_rate` x `excess` + `slack` requests within a second."""
        self.slow_start_s, self.balancer.slow_start_rate = cold_s, cold_rate
        self.balancer.slow_start_bound = cold_rate * excess + slack if cold_rate else 0.0

    def apply_edge_count(self, sidecars: int) -> None:
        """The largest count of sidecars known lately."""
        self.balancer.sidecar_count = self.repeats.sidecar_count = max(1, sidecars)

    def apply_endpoint_list(
        self,
        instances: Iterable[tuple[Endpoint, float]],
        region_of: dict[str, str],
        evacuated: frozenset[str],
        returned: Mapping[str, float],
    ) -> None:
        """The whole list of this service's upstreams, each with the seconds for which it stays cold. What is
        evacuated counts as draining; what has `returned` from that, so many seconds ago, counts as cold from
        then on, as it may be, whatever the list that lags says."""
        now, rows, leaving = self.clock.now(), [], []
        instances = list(instances)
        self.balancer.set_slots(min((one.slots for one, _ in instances if one.slots > 0), default=0))
        for one, cold_left in instances:
            region = region_of.get(one.zone)
            host, _, port = one.address.rpartition(":")
            if region is None or not host or not port.isdigit():
                continue
            ready = one.state == "available" and one.zone not in evacuated
            row = self.indices.row(
                one.id,
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
            if one.zone in returned:
                cold_left = max(cold_left, self.slow_start_s - returned[one.zone])
            self.balancer.warming_up_until[index] = now + max(0, int(cold_left * 10_000))
        named = {row[0] for row in rows}
        leaving += [index for index in self.states if index not in named]
        self.states = {row[0]: row[2] for row in rows}
        self.dispatcher.list_changed(rows, True, False)
        for index in leaving:
            self.connections.withdraw(index)

    def ready(self) -> int:
        """How many upstreams are ready; 0: none."""
        return sum(state == load_balancing.READY for state in self.states.values())

    def misdirected(self, upstream: int) -> None:
        """Another incarnation is at its address: this one is gone, whatever the list says."""
        self.dispatcher.gather(self.eject_replaced, upstream)

    def eject_replaced(self, now: int, upstream: int) -> None:
        """Another incarnation has an upstream's address: ejects it, and closes its idle connections."""
        up = self.balancer.upstreams.get(upstream)
        if up is not None:
            self.balancer.eject(now, up, True)
            self.connections.forget(upstream)

    def probe_silent(self) -> None:
        """Guards against a machine that went dark: kept connections to it stay open and say nothing. One that
        is only slow, with long prompts before ours, still takes a connection; one that is dark takes none.
        One set aside is tried so before it returns, or a client's request would pay for finding it dark."""
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
        """Tries a connection to an upstream that is silent or about to return, and ejects it if none comes
        up.
        """
        reach = await self.connections.probe(upstream)
        if reach is not Reach.UP:
            logger.info("upstream unreachable", upstream=self.indices.ids[upstream], result=reach.value)
            self.dispatcher.gather(self.eject_unreachable, upstream, reach)

    def eject_unreachable(self, now: int, upstream: int, reach: Reach) -> None:
        """Nothing more goes there for a while. Requests that it has are given up only if its machine is dark:
        one at its cap of connections refuses further ones and works on, and the kernel of one whose process
        is gone resets the others by itself."""
        up = self.balancer.upstreams.get(upstream)
        if up is not None:
            self.balancer.extend_ejection(now, up)
        if reach is Reach.DARK:
            self.connections.fail_connections(upstream)

    def forget(self, upstream: int) -> None:
        """An upstream is gone, with nothing in flight: its index is free."""
        self.indices.release(upstream)
        self.addresses.known.pop(upstream, None)
        self.probed_at.pop(upstream, None)
        self.connections.remove_upstream(upstream)
