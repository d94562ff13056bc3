"""The list of upstreams: rows, orders, doubts, and what is kept of an upstream that is gone."""

from math import inf

from .outcomes import READY, REMOVED
from .upstream import SECOND, Upstream
from .zones import THRESHOLD

RECENT = 60 * SECOND  # sent to within this, an upstream is in use: maintenance takes seconds to a minute
LATENT = 10**9 * SECOND  # aside until it has answered: longer than any process runs
SMOOTH = 0.4  # of a renewal counts at once: a single one is chance, three or four are not


class Listing:
    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        if asked:
            self.pending, self.following, self.ask_wait = False, True, SECOND
        if whole:
            named = {row[0] for row in rows}
            for up in [up for index, up in self.ups.items() if index not in named and not self.stays(up)]:
                up.back_at *= now - up.back_at < self.cold
                self.relist(up, up.zone, REMOVED)
                self.release(up)
        for index, zone, state, started, cell, mark, size, kind in rows:
            up = self.ups.get(index) or self.ups.setdefault(index, Upstream(index, self.chance()))
            if state == REMOVED and self.stays(up):
                continue
            if started != up.told:
                self.relist(up, up.zone, REMOVED)
                up.forget()
                up.cold_turns = self.chance()
            up.cell, up.told, up.mark, up.kind, up.dropped = cell, started, mark, kind, False
            up.started = max(started, up.back_at)
            if self.live and size > 0:
                # Load moves the size that the list tells; that of its kind at rest stays.
                self.nominal[kind] = nominal = max(size, self.nominal.get(kind, size))
                up.crowd, size = up.crowd + SMOOTH * (nominal / size - 1 - up.crowd), nominal
            if asked and up.doubt:
                # Discovery itself names it: what an older source left in doubt is settled.
                up.doubt, up.trial = 0, False
                if self.latent.pop(index, None):
                    self.back(up)
            self.relist(up, zone, state, size)
            self.release(up)
        self.relisted()

    def stays(self, up: Upstream) -> bool:
        """Where only draining binds, one that was ready stays, one RPC at a time at first, until it fails."""
        if self.stay_open and up.listed and not up.dropped:
            up.dropped = up.trial = True
        return up.dropped and up.listed

    def ordered(self, now: int, upstream: int, out: bool) -> None:
        """Taken out, it counts as draining; put back, as cold whatever the list says, and as unknown."""
        up = self.ups.get(upstream) or self.ups.setdefault(upstream, Upstream(upstream, self.chance()))
        self.owed = [one for one in self.owed if one is not up]
        if out != up.out:
            up.out = out
            if not out:
                up.forget()
                self.latent.pop(upstream, None)
                up.doubt, up.cold_turns, up.started, up.back_at = 0, self.chance(), now, now
                if now - up.used < RECENT:
                    self.owed.append(up)
            self.relist(up, up.zone, up.state)
            self.relisted()
        self.release(up)

    def relisted(self) -> None:
        if any(zone.moved for zone in self.zones):
            self.deal()
        for zone in self.zones:
            zone.moved = False
            if self.live and zone.ready:
                held = [up.crowd for up in self.ups.values() if up.listed and self.zones[up.zone] is zone]
                zone.crowd = sum(held) / zone.ready
            if zone.window == inf and zone.ring:
                zone.window = max(1.0, THRESHOLD * len(zone.ring) / self.sidecars)

    def relist(self, up: Upstream, zone: int | None, state: int, size: float | None = None) -> None:
        """A change in the list costs what changed: rotations lose and gain just the upstreams it names."""
        listed = state == READY and not up.out
        self.ready, self.sizes = self.ready - up.listed, self.sizes - up.size * up.listed
        self.aside -= bool(up.aside_until) * up.listed
        for number in {up.zone, zone} - {None}:
            place = self.zones[number]
            place.moved |= up.zone != zone or up.listed != listed or up.size != (size or up.size)
        if up.zone != zone:
            self.rotation(up, False)
            if up.zone is not None:
                self.zones[up.zone].flight -= up.flight
                self.zones[up.zone].held -= up.held
            self.zones[zone].flight += up.flight
            self.zones[zone].held += up.held
            up.zone = zone
        up.size, up.state, up.listed = size or up.size, state, listed
        self.ready, self.sizes = self.ready + listed, self.sizes + up.size * listed
        self.aside += bool(up.aside_until) * listed
        self.rotation(up, up.listed and not up.aside_until)

    def rotation(self, up: Upstream, wanted: bool) -> None:
        zone = self.zones[up.zone] if up.zone is not None else None
        if zone is not None and (up in zone.ring) != (wanted and (zone.part is None or up in zone.part)):
            (zone.ring.append if wanted else zone.ring.remove)(up)

    def release(self, up: Upstream) -> None:
        """What is gone with nothing out leaves memory: its index may be another's, which inherits nothing."""
        if (
            up.state == REMOVED
            and self.ups.get(up.index) is up
            and not (up.flight or up.held or up.out or up.back_at)
        ):  # back: it is cold when it is listed again
            del self.ups[up.index]
            self.latent.pop(up.index, None)
            self.left.append(up.index)

    def released(self) -> list[int]:
        """Upstreams given up since the last call, unless they have come again."""
        left, self.left = [index for index in self.left if index not in self.ups], []
        return left

    def doubted(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Guards against a list older than discovery's: each may be gone, another's or cold. One RPC at a
        time until so many end well and as quickly as usual; with `last` aside until all else is full."""
        for up in (self.ups[index] for index in upstreams):
            up.doubt, up.trial = ends, True
            if last and up.listed and not up.aside_until:
                up.aside_until, self.latent[up.index] = now + LATENT, up
                self.aside += 1
                self.rotation(up, False)

    def list_failed(self, now: int) -> None:
        """The subscription broke or a call failed: ask again soon, then less often, within what is set."""
        self.pending = self.following = False
        self.ask_at = now + int(self.ask_wait * self.span(0.5, 1.0))
        self.ask_wait = min(2 * self.ask_wait, self.ask_every // 2)

    def wants_list(self, now: int) -> bool:
        if not self.asks or self.following or self.pending or now < self.ask_at:
            return False
        self.pending = True
        return True

    def count_in(self, up: Upstream, flight: int, held: int) -> None:
        for place in (up, self.zones[up.zone]):
            place.flight, place.held = place.flight + flight, place.held + held
        self.flight += flight
