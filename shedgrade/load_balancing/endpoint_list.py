"""Applies updates of the endpoint list, and decides when the state of a removed upstream is discarded."""

from math import inf

from .outcomes import READY, REMOVED
from .state import BalancerState
from .upstream import SECOND, Upstream
from .zones import DROP_THRESHOLD

# An upstream that was sent a request within this time is in use: maintenance takes seconds to a minute.
RECENTLY_USED = 60 * SECOND
LAST_RESORT_EJECTION = 10**9 * SECOND  # longer than any process runs: only an answer ends the ejection
LOAD_SMOOTHING = 0.4  # weight of a new load report: a single one may be noise, three or four are not


class EndpointList(BalancerState):
    """Keeps the list of upstreams, their states, and the counts of ready and ejected upstreams."""

    def list_changed(self, now: int, rows: list, complete: bool, requested: bool) -> None:
        """Applies rows of the endpoint list.

        `complete`: the rows are the complete list, and upstreams without a row are removed. `requested`: the
        rows are the answer to a request for the list.
        """
        if requested:
            self.list_requested, self.list_subscribed, self.list_request_backoff = False, True, SECOND
        if complete:
            named = {row[0] for row in rows}
            for upstream in [
                upstream
                for index, upstream in self.upstreams.items()
                if index not in named and not self.stays_while_delisted(upstream)
            ]:
                upstream.reinstated_at *= now - upstream.reinstated_at < self.slow_start_period
                self.update_entry(upstream, upstream.zone, REMOVED)
                self.release_if_unused(upstream)
        for index, zone, state, started, cell, mark, size, kind in rows:
            upstream = self.upstreams.get(index) or self.upstreams.setdefault(
                index, Upstream(index, self.random())
            )
            if state == REMOVED and self.stays_while_delisted(upstream):
                continue
            if started != upstream.listed_start:
                self.update_entry(upstream, upstream.zone, REMOVED)
                upstream.reset_health()
                upstream.slow_start_credit = self.random()
            upstream.cell, upstream.listed_start, upstream.id_hash, upstream.hardware, upstream.delisted = (
                cell,
                started,
                mark,
                kind,
                False,
            )
            upstream.started_at = max(started, upstream.reinstated_at)
            if self.capacity_follows_load and size > 0:
                # The listed size shrinks with load; the largest of a hardware class is its nominal capacity.
                self.nominal_capacity[kind] = nominal = max(size, self.nominal_capacity.get(kind, size))
                upstream.reported_load, size = (
                    upstream.reported_load + LOAD_SMOOTHING * (nominal / size - 1 - upstream.reported_load),
                    nominal,
                )
            if requested and upstream.probation_successes:
                # Discovery lists the upstream, which verifies an entry of an older source.
                upstream.probation_successes, upstream.half_open = 0, False
                if self.last_resort_upstreams.pop(index, None):
                    self.readmit(upstream)
            self.update_entry(upstream, zone, state, size)
            self.release_if_unused(upstream)
        self.list_updated()

    def stays_while_delisted(self, upstream: Upstream) -> bool:
        """Returns whether an upstream that was removed from the list stays in use.

        With the setting `dropped_stay_open` only draining ends the use of a healthy upstream: a ready
        upstream that is removed stays in use until it fails, at first with one request at a time.
        """
        if self.keeps_delisted and upstream.listed and not upstream.delisted:
            upstream.delisted = upstream.half_open = True
        return upstream.delisted and upstream.listed

    def set_withdrawn(self, now: int, index: int, withdrawn: bool) -> None:
        """Withdraws an upstream by operators' order, or reinstates it.

        A withdrawn upstream counts as draining. A reinstated upstream warms up, whatever the list says, and
        has no health history.
        """
        upstream = self.upstreams.get(index) or self.upstreams.setdefault(
            index, Upstream(index, self.random())
        )
        self.reinstated = [one for one in self.reinstated if one is not upstream]
        if withdrawn != upstream.withdrawn:
            upstream.withdrawn = withdrawn
            if not withdrawn:
                upstream.reset_health()
                self.last_resort_upstreams.pop(index, None)
                upstream.probation_successes = 0
                upstream.slow_start_credit = self.random()
                upstream.started_at = now
                upstream.reinstated_at = now
                if now - upstream.last_used_at < RECENTLY_USED:
                    self.reinstated.append(upstream)
            self.update_entry(upstream, upstream.zone, upstream.state)
            self.list_updated()
        self.release_if_unused(upstream)

    def list_updated(self) -> None:
        """Updates subsets, reported loads and initial concurrency limits of the zones after a list change."""
        if any(zone.changed for zone in self.zones):
            self.assign_subset()
        for zone in self.zones:
            zone.changed = False
            if self.capacity_follows_load and zone.ready_count:
                loads = [
                    upstream.reported_load
                    for upstream in self.upstreams.values()
                    if upstream.listed and self.zones[upstream.zone] is zone
                ]
                zone.reported_load = sum(loads) / zone.ready_count
            if zone.concurrency_limit == inf and zone.rotation:
                zone.concurrency_limit = max(1.0, DROP_THRESHOLD * len(zone.rotation) / self.sidecar_count)

    def update_entry(
        self, upstream: Upstream, zone: int | None, state: int, size: float | None = None
    ) -> None:
        """Changes an upstream's zone, state and size, with the counts and rotations that depend on them.

        The cost of a list change grows with the upstreams that it names: only those enter or leave a
        rotation.
        """
        available = state == READY and not upstream.withdrawn
        self.ready_count, self.total_capacity = (
            self.ready_count - upstream.listed,
            self.total_capacity - upstream.capacity * upstream.listed,
        )
        self.ejected_count -= bool(upstream.ejected_until) * upstream.listed
        for number in {upstream.zone, zone} - {None}:
            place = self.zones[number]
            place.changed |= (
                upstream.zone != zone
                or upstream.listed != available
                or upstream.capacity != (size or upstream.capacity)
            )
        if upstream.zone != zone:
            self.set_in_rotation(upstream, False)
            if upstream.zone is not None:
                self.zones[upstream.zone].in_flight -= upstream.in_flight
                self.zones[upstream.zone].background_load -= upstream.background_load
            self.zones[zone].in_flight += upstream.in_flight
            self.zones[zone].background_load += upstream.background_load
            upstream.zone = zone
        upstream.capacity, upstream.state, upstream.listed = size or upstream.capacity, state, available
        self.ready_count, self.total_capacity = (
            self.ready_count + available,
            self.total_capacity + upstream.capacity * available,
        )
        self.ejected_count += bool(upstream.ejected_until) * available
        self.set_in_rotation(upstream, upstream.listed and not upstream.ejected_until)

    def set_in_rotation(self, upstream: Upstream, wanted: bool) -> None:
        """Puts an upstream into its zone's rotation, or takes it out."""
        zone = self.zones[upstream.zone] if upstream.zone is not None else None
        if zone is not None and (upstream in zone.rotation) != (
            wanted and (zone.subset is None or upstream in zone.subset)
        ):
            (zone.rotation.append if wanted else zone.rotation.remove)(upstream)

    def release_if_unused(self, upstream: Upstream) -> None:
        """Discards the state of a removed upstream that has no load.

        Another upstream may reuse the index, and must not inherit the state.
        """
        # A reinstated upstream is kept, as it has to warm up when it is listed again.
        if (
            upstream.state == REMOVED
            and self.upstreams.get(upstream.index) is upstream
            and not (
                upstream.in_flight or upstream.background_load or upstream.withdrawn or upstream.reinstated_at
            )
        ):
            del self.upstreams[upstream.index]
            self.last_resort_upstreams.pop(upstream.index, None)
            self.released_indices.append(upstream.index)

    def take_released(self) -> list[int]:
        """Returns the indices freed since the last call, except those of upstreams that were listed again."""
        remaining, self.released_indices = (
            [index for index in self.released_indices if index not in self.upstreams],
            [],
        )
        return remaining

    def mark_unverified(
        self, now: int, upstreams: list[int], required_successes: int, last_resort: bool
    ) -> None:
        """Marks upstreams of a list older than discovery's: each may be stopped, replaced or just started.

        Each gets one request at a time until `required_successes` attempts complete in about the usual time.
        With `last_resort` each is used only as a last resort, until it completes an attempt or discovery
        lists it.
        """
        for upstream in (self.upstreams[index] for index in upstreams):
            upstream.probation_successes, upstream.half_open = required_successes, True
            if last_resort and upstream.listed and not upstream.ejected_until:
                upstream.ejected_until, self.last_resort_upstreams[upstream.index] = (
                    now + LAST_RESORT_EJECTION,
                    upstream,
                )
                self.ejected_count += 1
                self.set_in_rotation(upstream, False)

    def list_failed(self, now: int) -> None:
        """Schedules the next request for the list after the subscription broke or a request failed.

        The delay doubles with each failure, up to half of the configured interval.
        """
        self.list_requested = self.list_subscribed = False
        self.list_request_at = now + int(self.list_request_backoff * self.uniform(0.5, 1.0))
        self.list_request_backoff = min(2 * self.list_request_backoff, self.list_request_interval // 2)

    def wants_list(self, now: int) -> bool:
        """Returns True if the list is to be requested now; a request then counts as pending."""
        if (
            not self.subscribes_to_list
            or self.list_subscribed
            or self.list_requested
            or now < self.list_request_at
        ):
            return False
        self.list_requested = True
        return True

    def add_load(self, upstream: Upstream, flight: int, background: int) -> None:
        """Adds to the requests in flight and to the background load of an upstream and its zone."""
        for place in (upstream, self.zones[upstream.zone]):
            place.in_flight, place.background_load = (
                place.in_flight + flight,
                place.background_load + background,
            )
        self.in_flight += flight
