"""The list of upstreams: rows, orders, doubts, and what is kept of an upstream that is gone."""

from math import inf

from .outcomes import READY, REMOVED
from .upstream import SECOND, Upstream
from .zones import THRESHOLD

RECENT = 60 * SECOND  # sent to within this, an upstream is in use: maintenance takes seconds to a minute
LATENT = 10**9 * SECOND  # aside until it has answered: longer than any process runs
SMOOTH = 0.4  # of a renewal counts at once: a single one is chance, three or four are not


class EndpointList:
    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        if asked:
            self.list_requested, self.list_subscribed, self.list_request_backoff = False, True, SECOND
        if whole:
            named = {row[0] for row in rows}
            for up in [
                up
                for index, up in self.upstreams.items()
                if index not in named and not self.stays_while_delisted(up)
            ]:
                up.reinstated_at *= now - up.reinstated_at < self.slow_start_period
                self.update_entry(up, up.zone, REMOVED)
                self.release_if_unused(up)
        for index, zone, state, started, cell, mark, size, kind in rows:
            up = self.upstreams.get(index) or self.upstreams.setdefault(index, Upstream(index, self.random()))
            if state == REMOVED and self.stays_while_delisted(up):
                continue
            if started != up.listed_start:
                self.update_entry(up, up.zone, REMOVED)
                up.reset_health()
                up.slow_start_credit = self.random()
            up.cell, up.listed_start, up.id_hash, up.hardware, up.delisted = cell, started, mark, kind, False
            up.started_at = max(started, up.reinstated_at)
            if self.capacity_follows_load and size > 0:
                # Load moves the size that the list tells; that of its kind at rest stays.
                self.nominal_capacity[kind] = nominal = max(size, self.nominal_capacity.get(kind, size))
                up.reported_load, size = (
                    up.reported_load + SMOOTH * (nominal / size - 1 - up.reported_load),
                    nominal,
                )
            if asked and up.probation_successes:
                # Discovery itself names it: what an older source left in doubt is settled.
                up.probation_successes, up.half_open = 0, False
                if self.last_resort_upstreams.pop(index, None):
                    self.readmit(up)
            self.update_entry(up, zone, state, size)
            self.release_if_unused(up)
        self.list_updated()

    def stays_while_delisted(self, up: Upstream) -> bool:
        """Where only draining binds, one that was ready stays, one RPC at a time at first, until it fails."""
        if self.keeps_delisted and up.listed and not up.delisted:
            up.delisted = up.half_open = True
        return up.delisted and up.listed

    def set_withdrawn(self, now: int, upstream: int, out: bool) -> None:
        """Taken out, it counts as draining; put back, as cold whatever the list says, and as unknown."""
        up = self.upstreams.get(upstream) or self.upstreams.setdefault(
            upstream, Upstream(upstream, self.random())
        )
        self.reinstated = [one for one in self.reinstated if one is not up]
        if out != up.withdrawn:
            up.withdrawn = out
            if not out:
                up.reset_health()
                self.last_resort_upstreams.pop(upstream, None)
                up.probation_successes, up.slow_start_credit, up.started_at, up.reinstated_at = (
                    0,
                    self.random(),
                    now,
                    now,
                )
                if now - up.last_used_at < RECENT:
                    self.reinstated.append(up)
            self.update_entry(up, up.zone, up.state)
            self.list_updated()
        self.release_if_unused(up)

    def list_updated(self) -> None:
        if any(zone.changed for zone in self.zones):
            self.assign_subset()
        for zone in self.zones:
            zone.changed = False
            if self.capacity_follows_load and zone.ready_count:
                held = [
                    up.reported_load
                    for up in self.upstreams.values()
                    if up.listed and self.zones[up.zone] is zone
                ]
                zone.reported_load = sum(held) / zone.ready_count
            if zone.concurrency_limit == inf and zone.rotation:
                zone.concurrency_limit = max(1.0, THRESHOLD * len(zone.rotation) / self.sidecar_count)

    def update_entry(self, up: Upstream, zone: int | None, state: int, size: float | None = None) -> None:
        """A change in the list costs what changed: rotations lose and gain just the upstreams it names."""
        listed = state == READY and not up.withdrawn
        self.ready_count, self.total_capacity = (
            self.ready_count - up.listed,
            self.total_capacity - up.capacity * up.listed,
        )
        self.ejected_count -= bool(up.ejected_until) * up.listed
        for number in {up.zone, zone} - {None}:
            place = self.zones[number]
            place.changed |= up.zone != zone or up.listed != listed or up.capacity != (size or up.capacity)
        if up.zone != zone:
            self.set_in_rotation(up, False)
            if up.zone is not None:
                self.zones[up.zone].in_flight -= up.in_flight
                self.zones[up.zone].background_load -= up.background_load
            self.zones[zone].in_flight += up.in_flight
            self.zones[zone].background_load += up.background_load
            up.zone = zone
        up.capacity, up.state, up.listed = size or up.capacity, state, listed
        self.ready_count, self.total_capacity = (
            self.ready_count + listed,
            self.total_capacity + up.capacity * listed,
        )
        self.ejected_count += bool(up.ejected_until) * listed
        self.set_in_rotation(up, up.listed and not up.ejected_until)

    def set_in_rotation(self, up: Upstream, wanted: bool) -> None:
        zone = self.zones[up.zone] if up.zone is not None else None
        if zone is not None and (up in zone.rotation) != (
            wanted and (zone.subset is None or up in zone.subset)
        ):
            (zone.rotation.append if wanted else zone.rotation.remove)(up)

    def release_if_unused(self, up: Upstream) -> None:
        """What is gone with nothing out leaves memory: its index may be another's, which inherits nothing."""
        if (
            up.state == REMOVED
            and self.upstreams.get(up.index) is up
            and not (up.in_flight or up.background_load or up.withdrawn or up.reinstated_at)
        ):  # back: it is cold when it is listed again
            del self.upstreams[up.index]
            self.last_resort_upstreams.pop(up.index, None)
            self.released_indices.append(up.index)

    def take_released(self) -> list[int]:
        """Upstreams given up since the last call, unless they have come again."""
        left, self.released_indices = (
            [index for index in self.released_indices if index not in self.upstreams],
            [],
        )
        return left

    def mark_unverified(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Guards against a list older than discovery's: each may be gone, another's or cold. One RPC at a
        time until so many end well and as quickly as usual; with `last` aside until all else is full."""
        for up in (self.upstreams[index] for index in upstreams):
            up.probation_successes, up.half_open = ends, True
            if last and up.listed and not up.ejected_until:
                up.ejected_until, self.last_resort_upstreams[up.index] = now + LATENT, up
                self.ejected_count += 1
                self.set_in_rotation(up, False)

    def list_failed(self, now: int) -> None:
        """The subscription broke or a call failed: ask again soon, then less often, within what is set."""
        self.list_requested = self.list_subscribed = False
        self.list_request_at = now + int(self.list_request_backoff * self.uniform(0.5, 1.0))
        self.list_request_backoff = min(2 * self.list_request_backoff, self.list_request_interval // 2)

    def wants_list(self, now: int) -> bool:
        if (
            not self.subscribes_to_list
            or self.list_subscribed
            or self.list_requested
            or now < self.list_request_at
        ):
            return False
        self.list_requested = True
        return True

    def add_load(self, up: Upstream, flight: int, held: int) -> None:
        for place in (up, self.zones[up.zone]):
            place.in_flight, place.background_load = place.in_flight + flight, place.background_load + held
        self.in_flight += flight
