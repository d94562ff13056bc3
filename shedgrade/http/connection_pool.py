"""The connections of one pool of upstreams: finds or opens one for each transmission, and keeps idle ones.

Times are tenths of a ms on the clock."""

import asyncio
import errno
from collections.abc import Callable

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.connection import Connection
from shedgrade.http.idle_connections import IdleConnections
from shedgrade.http.upstream_connection import TransmissionEvents, UpstreamConnection
from shedgrade.http.upstream_protocol import DEADLINE_HEADER_PROTOCOL, UpstreamProtocol
from shedgrade.in_flight import Transmission
from shedgrade.runtime.clock import Clock

Address = tuple[str, int]

SETTLE_TIME = 60  # what an upstream sends behind a response is here by then (5 plays: 1 to 4 ms)
# Failures to connect that are this side's own: they prove as well that nothing ran, and blame no upstream.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

# A connection that came up and broke: a process that is gone refuses, so this tells less of the upstream.
BROKEN_ERRORS = (errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE, errno.ENOTCONN)


class ConnectionPool:
    """Carries out transmissions: finds or opens a connection, and stops what is no longer wanted.

    Attributes:
        addresses: of upstreams, by index; kept true by the owner of the endpoint list.
        connect_timeout: after which a connection that is being opened is given up.
        idle: connections that wait for the next transmission, in the order of their use.
        open: all connections that are open, idle or not.
        connecting: the transmissions for which one is being opened.
        abandoned: connections whose transmission was given up, and whose response is still to come.
        last_response_at: by upstream: when it last answered anything.
        connect: how a connection is opened; a proxy's dialler replaces it. `proxied`: a slow one may then be
            another's fault than the upstream's.
        own_addresses: where this process listens: no connection is opened to there.
        stream_buffer: bytes that wait in a stream's direction. `streams`: by upstream, those that are open.
        count_header, count_received: a response's header with its upstream's own count, and who is told.
        budgeted: connections of this pool that the budget counts: the open ones and those being opened.
    """

    connection: type[UpstreamConnection] = UpstreamConnection
    protocol: UpstreamProtocol = DEADLINE_HEADER_PROTOCOL
    dispatcher: TransmissionEvents  # set by whoever owns the pool

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        addresses: dict[int, Address],
        connect_timeout: int,
        idle_limit: int,
        budget: Budget,
    ) -> None:
        """`idle_limit`: for which a connection may stand idle and still be used."""
        self.loop = loop
        self.clock = clock
        self.addresses = addresses
        self.budget = budget
        self.connect_timeout = connect_timeout
        self.idle: IdleConnections[UpstreamConnection] = IdleConnections(idle_limit, SETTLE_TIME)
        self.open: set[UpstreamConnection] = set()
        self.connecting: dict[Transmission, asyncio.Task[None]] = {}
        self.abandoned: set[UpstreamConnection] = set()
        self.last_response_at: dict[int, int] = {}
        self.connect = self.direct
        self.proxied = False
        self.own_addresses: set[Address] = set()
        self.stream_buffer = 65_536
        self.streams: dict[int, set] = {}
        self.count_header = b""
        self.count_received: Callable[[int, bytes], None] | None = None
        self.budgeted = 0

    def transmit(self, transmission: Transmission, now: int) -> None:
        """Sends it on the latest used idle connection, or on a new one."""
        for stale in (
            *self.idle.stale(now),
            *(link for link in self.abandoned if link.abandoned_until <= now),
        ):
            stale.abort()
        stream = transmission.active_request.request.stream
        link = None if stream else self.idle.take(transmission.upstream, now)
        while link is not None and not link.usable():
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
            transmission.expires_at + 1 if self.proxied else now + self.connect_timeout
        )
        self.connecting[transmission] = self.loop.create_task(self.dial(transmission))

    def count(self) -> None:
        """Keeps the budget's sum over all pools true to what is open here."""
        held = len(self.open) + len(self.connecting)
        self.budget.upstreams += held - self.budgeted
        self.budgeted = held

    async def direct(self, factory: Callable[[], Connection], address: Address) -> tuple:
        """Opens a connection without a proxy. OSError if it can't be."""
        return await self.loop.create_connection(factory, *address)

    async def dial(self, transmission: Transmission) -> None:
        """Opens a connection for a transmission, and sends it there if it is still wanted."""
        upstream = transmission.upstream
        address = self.addresses[upstream]
        stream = transmission.active_request.request.stream
        try:
            if address in self.own_addresses:
                raise ConnectionRefusedError("that is this process")
            _, link = await self.connect(
                lambda: (stream or self.connection)(self, upstream, address), address
            )
        except (OSError, RuntimeError, ValueError) as failure:  # the last: a host that is no name
            if self.connecting.pop(transmission, None):
                self.dispatcher.attempt_finished(transmission, connect_outcome(failure), None)
            return
        if not link.lost:
            self.open.add(link)
        wanted = self.connecting.pop(transmission, None) is not None
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
        task = self.connecting.pop(transmission, None)
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

        Guards against costly connections: the first request on one pays for it, in time that deadlines may
        not have. Closed then, it is paid for again by the next request, which is late as well. Its answer
        reaches nobody; after it the connection is as good as any. `stop` says what is returned.
        """
        link = transmission.link
        if (
            not transmission.first_on_connection
            or link is None
            or link.transmission is not transmission
            or not (link.fully_sent and link.response_flow is None)
        ):
            return self.stop(transmission)
        link.transmission, link.abandoned_until = None, self.clock.now() + self.connect_timeout
        self.abandoned.add(link)
        return True

    def abandon(self, transmission: Transmission) -> None:
        """Another transmission may follow: guards against two out side by side."""
        if transmission.link in self.abandoned:
            transmission.link.abort()

    def silent(self, transmission: Transmission) -> None:
        """Guards against a machine that vanished: its open connections stay silent, or are reset by a request
        that may then have run, whereas a new one that does not come up proves that nothing ran."""
        if self.last_response_at.get(transmission.upstream, 0) < transmission.sent_at:
            self.forget(transmission.upstream)

    def give_up_idle(self) -> bool:
        """Closes the connection that is idle for longest. Returns whether there was one."""
        oldest = self.idle.oldest() or next(iter(self.abandoned), None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None

    def leaving(self, upstream: int) -> None:
        """It drains or is gone: its streams are closed in order, nothing new goes on them."""
        for link in list(self.streams.get(upstream, ())):
            link.drain()

    def keep(self, link: UpstreamConnection) -> None:
        """Keeps a connection whose response is complete for the next transmission."""
        # Guards against a move while it was out: this one leads to where the upstream was.
        if self.addresses.get(link.upstream) != link.address:
            link.cut()
            return
        self.idle.put(link.upstream, link, self.clock.now())

    def closed(self, link: UpstreamConnection) -> None:
        """A connection is lost."""
        self.idle.drop(link)
        self.open.discard(link)
        self.abandoned.discard(link)
        self.count()

    def withdraw(self, upstream: int) -> None:
        """Nothing more goes there: idle connections are closed, and what was not sent is decided anew.

        Guards against a drain whose grace is over by the time a connection that is dialled comes up.
        """
        self.forget(upstream)
        self.leaving(upstream)
        for transmission in [one for one in self.connecting if one.upstream == upstream]:
            self.connecting.pop(transmission).cancel()
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
        self.count()

    def forget(self, upstream: int) -> None:
        """Its process is another one now, drains or is gone."""
        for link in self.idle.leave(upstream):
            link.abort()


def connect_outcome(error: Exception) -> int:
    """The outcome of a transmission whose connection could not be opened, one of `load_balancing`. A proxy's
    error has its own."""
    outcome = getattr(error, "outcome", None)
    if outcome is not None:
        return outcome
    number = getattr(error, "errno", None)
    if number in LOCAL_ERRORS:
        return load_balancing.UNSENT
    return load_balancing.BROKEN if number in BROKEN_ERRORS else load_balancing.UNCONNECTED
