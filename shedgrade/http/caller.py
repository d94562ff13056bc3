"""Calls upstreams: finds or opens a connection for each transmission, and keeps idle ones for the next."""

import asyncio
import errno

from shedgrade import load_balancing
from shedgrade.http.idle_connections import IdleConnections
from shedgrade.http.protocol import IN_SERVICE
from shedgrade.http.upstream import UpstreamConnection
from shedgrade.in_flight import Transmission

SETTLED = 60  # tenths of a ms: what an upstream sends behind an answer is here by then (5 plays: 1 to 4 ms)
# Failures to connect that are this side's own: they prove as well that nothing ran, and blame no upstream.
OURS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

# A connection that came up and broke: a process that is gone refuses, so this tells less of the upstream.
SHAKEN = (errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE, errno.ENOTCONN)


class Caller:
    """Carries out transmissions: finds or opens a connection, and stops what is no longer wanted."""

    connection, protocol = UpstreamConnection, IN_SERVICE

    def __init__(
        self, loop, clock, addresses: dict[int, tuple[str, int]], dial_time: int, idle_limit: int, budget
    ) -> None:
        self.loop, self.clock, self.addresses, self.budget = loop, clock, addresses, budget
        self.dial_time = dial_time
        self.idle = IdleConnections(idle_limit, SETTLED)
        self.open: set[UpstreamConnection] = set()
        self.heard: dict[int, int] = {}  # by upstream: when it last answered anything
        self.dials: dict[Transmission, asyncio.Task] = {}
        self.orphans: set[UpstreamConnection] = set()
        self.dispatcher, self.counted = None, 0
        # How a connection is opened, and whether a slow one may be another's fault (a proxy's) than the
        # upstream's.
        self.connect, self.proxied = self.direct, False
        self.own: set[tuple[str, int]] = set()  # where this process listens: nothing is dialled there
        self.stream_buffer = 65_536  # bytes that wait in a stream's direction
        # An answer's header with its upstream's count, and who is told.
        self.counts_in, self.counted_by = b"", None
        self.streams: dict[int, set] = {}  # by upstream: streams that are open there

    def transmit(self, transmission: Transmission, now: int) -> None:
        for stale in (*self.idle.stale(now), *(link for link in self.orphans if link.orphan_until <= now)):
            stale.abort()
        stream = transmission.active_request.request.stream
        link = None if stream else self.idle.take(transmission.upstream, now)
        while link is not None and not link.alive():
            link.abort()
            link = self.idle.take(transmission.upstream, now)
        if link is not None:
            link.begin(transmission, now)
            return
        self.count()
        if self.budget.full() and not self.give_up_idle():
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
            return
        # A proxy's slowness says nothing of the upstream: its own limit ends the dial, as unsent.
        transmission.connect_expires_at = (
            transmission.expires_at + 1 if self.proxied else now + self.dial_time
        )
        self.dials[transmission] = self.loop.create_task(self.dial(transmission))

    def count(self) -> None:
        """Keeps the budget's sum over all pools true to what is open here."""
        held = len(self.open) + len(self.dials)
        self.budget.upstreams += held - self.counted
        self.counted = held

    async def direct(self, factory, address: tuple[str, int]) -> tuple:
        return await self.loop.create_connection(factory, *address)

    async def dial(self, transmission: Transmission) -> None:
        upstream = transmission.upstream
        address = self.addresses[upstream]
        stream = transmission.active_request.request.stream
        try:
            if address in self.own:
                raise ConnectionRefusedError("that is this process")
            _, link = await self.connect(
                lambda: (stream or self.connection)(self, upstream, address), address
            )
        except (OSError, RuntimeError, ValueError) as failure:  # the last: a host that is no name
            number = getattr(failure, "errno", None)
            outcome = getattr(failure, "outcome", None)
            if outcome is None:
                outcome = (
                    load_balancing.UNSENT
                    if number in OURS
                    else (load_balancing.BROKEN if number in SHAKEN else load_balancing.UNCONNECTED)
                )
            if self.dials.pop(transmission, None):
                self.dispatcher.attempt_finished(transmission, outcome, None)
            return
        if not link.lost:
            self.open.add(link)
        wanted = self.dials.pop(transmission, None) is not None
        self.count()
        if not wanted:
            link.abort()
        elif link.transport.is_closing():
            self.dispatcher.attempt_finished(
                transmission, load_balancing.UNSENT if self.proxied else load_balancing.BROKEN, None
            )
        elif not self.dispatcher.may_still_send(transmission, now := self.clock.now()):
            link.abort()
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
        else:
            transmission.connect_expires_at = None
            link.begin(transmission, now)

    def stop(self, transmission: Transmission) -> bool:
        """Stops waiting; False if it never ran: its connection was not up or not all was sent."""
        task = self.dials.pop(transmission, None)
        if task is not None:
            task.cancel()
            self.count()
            return False
        link = transmission.link
        if link is None or link.transmission is not transmission:
            return False
        may_have_run = link.may_have_run()
        link.abort()
        return may_have_run

    def in_time(self, transmission: Transmission) -> bool:
        """A long answer has begun to come when the time is up."""
        link = transmission.link
        return isinstance(link, UpstreamConnection) and link.transmission is transmission and link.in_time()

    def give_up(self, transmission: Transmission) -> bool:
        """Stops waiting, but leaves a connection open on which the whole request is the first one.

        Guards against dear connections: the first request on one pays for it, in time that deadlines may not
        have. Closed then, it is paid for again by the next request, which is late as well. Its answer
        reaches nobody; after it the connection is as good as any. `stop` says what is returned.
        """
        link = transmission.link
        if (
            not transmission.first_on_connection
            or link is None
            or link.transmission is not transmission
            or not (link.whole and link.coming is None)
        ):
            return self.stop(transmission)
        link.transmission, link.orphan_until = None, self.clock.now() + self.dial_time
        self.orphans.add(link)
        return True

    def abandon(self, transmission: Transmission) -> None:
        """Another transmission may follow: guards against two out side by side."""
        if transmission.link in self.orphans:
            transmission.link.abort()

    def silent(self, transmission: Transmission) -> None:
        """Guards against a machine that vanished: its open connections stay silent, or are reset by a request
        that may then have run, whereas a new one that does not come up proves that nothing ran."""
        if self.heard.get(transmission.upstream, 0) < transmission.sent_at:
            self.forget(transmission.upstream)

    def give_up_idle(self) -> bool:
        oldest = self.idle.oldest() or next(iter(self.orphans), None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None

    def leaving(self, upstream: int) -> None:
        """It drains or is gone: its streams are closed in order, nothing new goes on them."""
        for link in list(self.streams.get(upstream, ())):
            link.drain()

    def keep(self, link: UpstreamConnection) -> None:
        # Guards against a move while it was out: this one leads to where the upstream was.
        if self.addresses.get(link.upstream) != link.address:
            link.cut()
            return
        self.idle.put(link.upstream, link, self.clock.now())

    def closed(self, link: UpstreamConnection) -> None:
        self.idle.drop(link)
        self.open.discard(link)
        self.orphans.discard(link)
        self.count()

    def withdraw(self, upstream: int) -> None:
        """Nothing more goes there: idle connections are closed, and what was not sent is decided anew.

        Guards against a drain whose grace is over by the time a connection that is dialled comes up.
        """
        self.forget(upstream)
        self.leaving(upstream)
        for transmission in [one for one in self.dials if one.upstream == upstream]:
            self.dials.pop(transmission).cancel()
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
        self.count()

    def forget(self, upstream: int) -> None:
        """Its process is another one now, drains or is gone."""
        for link in self.idle.leave(upstream):
            link.abort()
