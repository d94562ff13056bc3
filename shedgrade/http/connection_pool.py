"""The connections to one pool of upstreams: finds or opens one for each transmission, and keeps idle ones.

Times are tenths of a ms on the clock.
"""

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

# Time after which late bytes behind a response have arrived: 1 to 4 ms in five measured runs.
SETTLE_TIME = 60
# Local failures to connect: they also prove that no request ran, and don't count against the upstream.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

# Errors of a connection that was established and then broke. A process that is gone refuses connections, so
# these are weaker evidence against the upstream.
BROKEN_ERRORS = (errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE, errno.ENOTCONN)


class ConnectionPool:
    """Carries out transmissions: finds or opens a connection, and stops transmissions that are not wanted.

    Attributes:
        addresses: address by upstream index; kept up to date by the owner of the endpoint list.
        connect_timeout: time after which an attempt to connect is given up.
        idle: connections that wait for the next transmission, in the order of their last use.
        open: all open connections, idle or not.
        connecting: the connect task by transmission.
        abandoned: connections whose transmission was given up, and whose response is still awaited.
        last_response_at: time of the last response of any kind, by upstream.
        connect: opens a connection; the dialler of a proxy replaces it.
        uses_proxy: connections go through a proxy, which may be the cause if one opens slowly.
        own_addresses: addresses on which this process listens; no connection is opened to them.
        stream_buffer: bytes that one direction of a stream may buffer.
        streams: open streams by upstream.
        count_header: response header with the upstream's own count.
        count_received: called with the upstream and the value of that header; None: not needed.
        budgeted: connections of this pool that the budget counts: the open ones and those being opened.
    """

    connection: type[UpstreamConnection] = UpstreamConnection
    protocol: UpstreamProtocol = DEADLINE_HEADER_PROTOCOL
    dispatcher: TransmissionEvents  # set by the owner of the pool

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        addresses: dict[int, Address],
        connect_timeout: int,
        idle_limit: int,
        budget: Budget,
    ) -> None:
        """`idle_limit`: time for which a connection may be idle and still be reused."""
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
        self.connect = self.connect_directly
        self.uses_proxy = False
        self.own_addresses: set[Address] = set()
        self.stream_buffer = 65_536
        self.streams: dict[int, set] = {}
        self.count_header = b""
        self.count_received: Callable[[int, bytes], None] | None = None
        self.budgeted = 0

    def transmit(self, transmission: Transmission, now: int) -> None:
        """Sends a transmission on the most recently used idle connection, or on a new one."""
        for stale in (
            *self.idle.pop_stale(now),
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
        self.update_budget()
        if self.budget.full() and not self.close_oldest_idle():
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
            return
        # A slow proxy is no evidence against the upstream: only the time limit of the transmission ends the
        # dial, as unsent.
        transmission.connect_expires_at = (
            transmission.expires_at + 1 if self.uses_proxy else now + self.connect_timeout
        )
        self.connecting[transmission] = self.loop.create_task(self.dial(transmission))

    def update_budget(self) -> None:
        """Updates the budget's number of upstream connections, which is a sum over all pools."""
        held = len(self.open) + len(self.connecting)
        self.budget.upstreams += held - self.budgeted
        self.budgeted = held

    async def connect_directly(self, factory: Callable[[], Connection], address: Address) -> tuple:
        """Opens a connection without a proxy. Raises OSError if that fails."""
        return await self.loop.create_connection(factory, *address)

    async def dial(self, transmission: Transmission) -> None:
        """Opens a connection for a transmission, and sends it there if it is still wanted."""
        upstream = transmission.upstream
        address = self.addresses[upstream]
        stream = transmission.active_request.request.stream
        try:
            if address in self.own_addresses:
                raise ConnectionRefusedError("the address is one of this process")
            _, link = await self.connect(
                lambda: (stream or self.connection)(self, upstream, address), address
            )
        except (OSError, RuntimeError, ValueError) as failure:  # ValueError: an invalid host name
            if self.connecting.pop(transmission, None):
                self.dispatcher.attempt_finished(transmission, connect_outcome(failure), None)
            return
        if not link.lost:
            self.open.add(link)
        wanted = self.connecting.pop(transmission, None) is not None
        self.update_budget()
        if not wanted:
            link.abort()
        elif link.transport.is_closing():
            self.dispatcher.attempt_finished(
                transmission, load_balancing.UNSENT if self.uses_proxy else load_balancing.BROKEN, None
            )
        elif not self.dispatcher.may_still_send(transmission, now := self.clock.now()):
            link.abort()
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
        else:
            transmission.connect_expires_at = None
            link.begin(transmission, now)

    def stop(self, transmission: Transmission) -> bool:
        """Stops a transmission.

        Returns False if it never ran: its connection was not open yet, so nothing of it was sent.
        """
        task = self.connecting.pop(transmission, None)
        if task is not None:
            task.cancel()
            self.update_budget()
            return False
        link = transmission.link
        if link is None or link.transmission is not transmission:
            return False
        may_have_run = link.may_have_run()
        link.abort()
        return may_have_run

    def long_response_has_begun(self, transmission: Transmission) -> bool:
        """Whether a long response has begun by the time limit, see the method of `UpstreamConnection`."""
        link = transmission.link
        return (
            isinstance(link, UpstreamConnection)
            and link.transmission is transmission
            and link.long_response_has_begun()
        )

    def give_up(self, transmission: Transmission) -> bool:
        """Stops a transmission, but keeps its connection if that has sent its first request in full.

        The first request on a connection pays for its setup, in time that the deadline may not allow. If the
        connection were closed, the next request would pay again and be late as well. The late response is
        dropped, and the connection may then be reused. Returns the same as `stop`.
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
        """Closes an abandoned connection, as the request may be sent again and must not run twice at once."""
        if transmission.link in self.abandoned:
            transmission.link.abort()

    def no_response_received(self, transmission: Transmission) -> None:
        """Closes the idle connections to an upstream that has not responded since the transmission was sent.

        Guards against a machine that vanished: its open connections stay silent, or are reset by a request
        that may have run, whereas a new connection that does not open proves that no request ran.
        """
        if self.last_response_at.get(transmission.upstream, 0) < transmission.sent_at:
            self.close_idle_to(transmission.upstream)

    def close_oldest_idle(self) -> bool:
        """Closes the connection idle for longest, or an abandoned one; returns whether there was one."""
        oldest = self.idle.pop_oldest() or next(iter(self.abandoned), None)
        if oldest is not None:
            oldest.abort()
        return oldest is not None

    def drain_streams(self, upstream: int) -> None:
        """Closes the streams of an upstream that drains or is removed, in order: no new ones go there."""
        for link in list(self.streams.get(upstream, ())):
            link.drain()

    def keep(self, link: UpstreamConnection) -> None:
        """Keeps a connection whose response is complete for the next transmission."""
        # Guards against an upstream that moved meanwhile: this connection leads to its former address.
        if self.addresses.get(link.upstream) != link.address:
            link.cut()
            return
        self.idle.put(link.upstream, link, self.clock.now())

    def closed(self, link: UpstreamConnection) -> None:
        """Called when a connection is lost."""
        self.idle.remove(link)
        self.open.discard(link)
        self.abandoned.discard(link)
        self.update_budget()

    def withdraw(self, upstream: int) -> None:
        """Ends new use of an upstream: closes idle connections, and ends as unsent what is still connecting.

        Guards against a connection that opens only after the grace period of a drain.
        """
        self.close_idle_to(upstream)
        self.drain_streams(upstream)
        for transmission in [one for one in self.connecting if one.upstream == upstream]:
            self.connecting.pop(transmission).cancel()
            self.dispatcher.attempt_finished(transmission, load_balancing.UNSENT, None)
        self.update_budget()

    def close_idle_to(self, upstream: int) -> None:
        """Closes the idle connections of an upstream that was replaced, drains or is removed."""
        for link in self.idle.remove_upstream(upstream):
            link.abort()


def connect_outcome(error: Exception) -> int:
    """Returns the outcome of a transmission whose connection could not be opened, one of `load_balancing`.

    The error of a proxy has an `outcome` of its own.
    """
    outcome = getattr(error, "outcome", None)
    if outcome is not None:
        return outcome
    number = getattr(error, "errno", None)
    if number in LOCAL_ERRORS:
        return load_balancing.UNSENT
    return load_balancing.BROKEN if number in BROKEN_ERRORS else load_balancing.UNCONNECTED
