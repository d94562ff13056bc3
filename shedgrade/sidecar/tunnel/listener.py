"""Accepts tunnels: runs their handshakes, then attaches an inspected connection or an opaque relay. Routing
and balancing decisions are made elsewhere.

The client of a tunnel gets one answer: granted, or refused as route, exhausted or errored. Handshakes and
opaque tunnels are bounded in number, time and bytes. An inspected tunnel carries the application's protocol,
handled as on a plain connection.
"""

import asyncio
import select
import socket
from collections import Counter
from itertools import count
from random import Random

from loguru import logger

from shedgrade.http.rpc_connection import RpcConnection
from shedgrade.in_flight import ActiveRequest, Request
from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.config import Tunnel
from shedgrade.sidecar.tunnel.relay import StreamLink, TunnelSide
from shedgrade.sidecar.tunnel.routes import INSPECTED, Table
from shedgrade.upstream_pool.front import Front
from shedgrade.upstream_pool.pool import Pool

MAX_ACCEPTS_PER_ITERATION = 32  # of the event loop
TIMEOUT_CHECK_INTERVAL_S = 0.25
MAX_EARLY_BYTES = 64 * 1024  # bytes that a client may send before the answer to its handshake
LIMIT_LOG_INTERVAL_S = 10.0  # between two log lines about reaching the limit of tunnels
FLUSH_TIMEOUT_S = 10.0  # for an upstream to read the bytes of a client that has closed
# The share of the drain's grace after which nothing more is sent to the upstream; the rest is for bytes in
# flight.
SENDING_SHARE_OF_GRACE = 0.5
# The ends of tunnels to one draining upstream are spread over this share of drain_s.
DRAIN_END_SPREAD = 0.5


class TunnelRequest(Request):
    """The request to the dispatcher to open an opaque tunnel; it lasts as long as the tunnel."""

    stream = StreamLink


class TunnelConnection(TunnelSide):
    """A client's connection, from its handshake to the end of its tunnel."""

    def __init__(self, tunnels: "Tunnels", codec) -> None:
        super().__init__(tunnels.config.buffer)
        self.tunnels, self.codec = tunnels, codec
        self.active_request: ActiveRequest | None = None
        self.destination = None  # checked against the new routes after a reload
        self.answered = self.open = self.sending_stopped = False
        self.accepted_at = tunnels.loop.time()
        self.timers: list[asyncio.TimerHandle] = []

    # --- the handshake

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.tunnels.register_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.open:
            super().data_received(data)
            return
        if self.answered:
            return
        self.codec.receive(data)
        out = self.codec.take_out()
        if out:
            self.transport.write(out)
        if self.codec.failed:
            self.answered = True
            self.transport.close()
        elif self.codec.destination is not None and self.active_request is None:
            self.route()
        elif len(self.codec.rest) > MAX_EARLY_BYTES:
            self.transport.pause_reading()

    def route(self) -> None:
        """Refuses the tunnel, makes it an inspected one, or asks the dispatcher to open an opaque one."""
        target = self.destination = self.codec.destination
        route = self.tunnels.table.find(target)
        if route is None:
            self.tunnels.refused["route"] += 1
            self.refuse("route")
            return
        pool = self.tunnels.pools[route.pool]
        if route.use == INSPECTED:
            self.inspect(self.tunnels.fronts[route.pool])
            return
        self.transport.pause_reading()
        self.active_request = ActiveRequest(
            self,
            TunnelRequest(b"tunnel-%d" % next(self.tunnels.request_numbers), b"", b"", [], b""),
            self.codec.user,
        )
        self.dispatcher = pool.dispatcher
        self.dispatcher.submit(
            self.active_request,
            pool.methods[route.method.encode()],
            max(1, round(self.tunnels.config.open_ms)),
            False,
        )

    def refuse(self, reason: str, wait: int = 0) -> None:
        """Answers the handshake with a refusal and closes the connection."""
        if not self.answered:
            self.answered = True
            if not self.transport.is_closing():
                self.transport.write(self.codec.refused(reason, wait))
                self.transport.close()

    def inspect(self, front: Front) -> None:
        """Grants the tunnel and hands the connection to the pool's front, as a plain RPC connection."""
        self.answered = True
        self.transport.write(self.codec.granted())
        inside = RpcConnection(front, self.codec.user)
        self.tunnels.unregister_connection(self)
        transport, rest = self.transport, self.codec.rest
        transport.set_protocol(inside)
        inside.connection_made(transport)
        self.tunnels.inspected += 1
        for offset in range(0, len(rest), 4096):
            if transport.is_closing():
                break
            part = rest[offset : offset + 4096]
            while part:
                space = inside.get_buffer(len(part))
                size = min(len(space), len(part))
                if not size:  # no buffer space: a legitimate client does not send so much ahead
                    inside.cut()
                    break
                space[:size] = part[:size]
                inside.buffer_updated(size)
                part = part[size:]

    # --- called by the dispatcher, for an opaque tunnel

    def opened(self, link: StreamLink) -> None:
        """Grants the tunnel and starts relaying: the dispatcher has connected to an upstream."""
        if self.lost or self.transport.is_closing():
            self.dispatcher.client_disconnected(self.active_request)
            return
        self.answered = self.open = True
        self.join(link)
        self.transport.write(self.codec.granted())
        if self.codec.rest:
            self.bytes_received += len(self.codec.rest)
            link.transport.write(self.codec.rest)
        self.codec = None
        link.transport.resume_reading()
        if self.eof_seen:  # the client closed its half while it waited
            link.transport.write_eof()
        else:
            self.transport.resume_reading()
        if link.draining:
            self.on_upstream_drain()

    def completed(self, answer) -> None:
        """The upstream's side has closed; closing the transport still writes the bytes that it sent."""
        self.finish()

    def exhausted(self, wait: int) -> None:
        """Refuses the tunnel. `wait`: tenths of a millisecond after which to retry."""
        self.refuse("exhausted", wait)

    def errored(self) -> None:
        """Refuses the tunnel, or closes it if it is open."""
        self.refuse("errored")
        self.finish()

    def answer_failed(self) -> None:
        """Closes the connection after an exception in one of the calls above."""
        self.transport.abort()

    def has_disconnected(self) -> bool:
        """Whether the client has left, even if the event loop has not noticed. A half-close does not count:
        such a client may still want its tunnel."""
        if self.lost or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), 0)
        return bool(poll.poll(0))  # POLLERR and POLLHUP are always reported

    def close(self) -> None:
        self.finish()

    def finish(self) -> None:
        if not self.transport.is_closing():
            self.transport.close()

    # --- closing

    def eof_received(self) -> bool:
        if not self.open:
            self.eof_seen = True
            # A client that waits for its answer can still read it.
            return self.active_request is not None
        return super().eof_received()

    def peer_closed(self, failure) -> None:
        """Closes the client's side after the upstream's; a reset is passed on as a reset."""
        if failure is not None:
            self.reset()
        else:
            self.finish()

    def connection_lost(self, failure) -> None:
        self.lost = True
        for timer in self.timers:
            timer.cancel()
        self.tunnels.unregister_connection(self)
        if self.open:
            self.tunnels.bytes_relayed += self.bytes_received + self.peer.bytes_received
            if failure is None and not self.peer.lost:
                # The bytes in flight are flushed; the transmission then ends as completed.
                self.peer.transport.close()
                self.tunnels.loop.call_later(FLUSH_TIMEOUT_S, self.peer.reset)
                return
        if self.active_request is not None and not self.active_request.done:
            self.dispatcher.client_disconnected(self.active_request)

    def is_read_blocked(self) -> bool:
        return self.sending_stopped

    def on_upstream_drain(self) -> None:
        """Schedules the end of the tunnel, because its upstream drains or its route is gone.

        Bytes that the client sends after the grace would be new requests to a drained upstream (rule 3).
        Within the grace they are still relayed, since a request may be half sent. Then the half towards the
        upstream is closed, and only answers are relayed, for a time that differs from tunnel to tunnel so
        that the clients do not all reconnect at once.
        """
        if self.open and not self.sending_stopped and not self.timers:
            grace = self.tunnels.grace(self.peer)
            self.timers.append(
                self.tunnels.loop.call_later(grace * SENDING_SHARE_OF_GRACE, self.stop_sending)
            )
            last = self.tunnels.config.drain_s
            spread = self.tunnels.spread_random.uniform(1 - DRAIN_END_SPREAD, 1.0)
            self.timers.append(self.tunnels.loop.call_later(grace + last * spread, self.finish))

    def stop_sending(self) -> None:
        """Stops reading from the client and closes the half towards the upstream."""
        self.sending_stopped = True
        if not self.transport.is_closing():
            self.transport.pause_reading()
        link = self.peer
        if not link.transport.is_closing() and link.transport.can_write_eof():
            link.transport.write_eof()

    def check_timeouts(self, now: float) -> None:
        """Ends a handshake or a tunnel that is past a time limit, or of which one side was reset."""
        config = self.tunnels.config
        if not self.open:
            # The whole handshake has one deadline, however slowly its bytes arrive.
            if self.active_request is None and now - self.accepted_at > config.handshake_ms / 1000:
                self.answered = True
                self.abort()
        elif self.was_reset() or self.peer.was_reset():
            self.reset_both()
        elif now - self.last_active > config.idle_s or now - self.accepted_at > config.life_s:
            # A graceful close would wait until unsent bytes are written, but the peer may never read them.
            if self.unsent_bytes() or self.peer.unsent_bytes():
                self.reset_both()
            else:
                self.finish()
                self.peer.transport.close()

    def reset_both(self) -> None:
        self.peer.reset()
        self.reset()


class Tunnels:
    """All tunnel listeners and tunnels of the process."""

    def __init__(
        self,
        loop,
        config: Tunnel,
        table: Table,
        pools: dict[str, Pool],
        fronts: dict[str, Front],
        users: dict[str, str] | None,
        via_name: str,
        budget,
        seed: int,
    ) -> None:
        self.loop, self.config, self.table, self.pools, self.fronts = loop, config, table, pools, fronts
        self.users, self.via_name, self.budget = users, via_name, budget
        self.spread_random = Random(f"{seed}/tunnels")
        self.request_numbers = count()
        self.live: dict[TunnelConnection, None] = {}
        self.accept_tasks: set[asyncio.Task] = set()
        self.sockets: list[tuple[socket.socket, str]] = []
        self.refused: Counter = Counter()
        self.inspected = self.bytes_relayed = 0
        self.limit_logged_at = -LIMIT_LOG_INTERVAL_S
        self.closing = False

    def check_credentials(self, user: str, password: str) -> bool:
        """Whether the user has this password, compared in a time that does not show where they differ."""
        import hmac

        known = self.users.get(user, "")
        return hmac.compare_digest(known.encode(), password.encode()) and user in self.users

    def listen(self) -> None:
        """Opens the listeners. OSError if an address can't be listened on."""
        from shedgrade.sidecar.lifecycle.config import parse_address

        for kind in ("socks", "connect"):
            text = getattr(self.config, kind)
            if text:
                address = parse_address(text, kind)
                family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
                listener = socket.create_server(address, family=family, backlog=1024)
                listener.setblocking(False)
                self.sockets.append((listener, kind))
                self.loop.add_reader(listener, self.accept, listener, kind)
        self.check_all_timeouts()

    def addresses(self) -> set[tuple[str, int]]:
        """The addresses on which the listeners accept."""
        return {listener.getsockname()[:2] for listener, _ in self.sockets}

    def make_codec(self, kind: str):
        check_credentials = None if self.users is None else self.check_credentials
        return (
            socks.Accepting(check_credentials)
            if kind == "socks"
            else connect.Accepting(check_credentials, self.via_name)
        )

    def accept(self, listener: socket.socket, kind: str) -> None:
        """Accepts waiting connections, up to MAX_ACCEPTS_PER_ITERATION; closes those above the limit."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                connection, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failure:
                logger.warning("accepting tunnels failed", error=failure.strerror)
                return
            # Reserves capacity for plain RPCs: tunnels have their own limit and never use the last
            # descriptors.
            if len(self.live) + len(self.accept_tasks) >= self.config.most or self.budget.full(8):
                self.refused["full"] += 1
                connection.close()
                if self.loop.time() >= self.limit_logged_at + LIMIT_LOG_INTERVAL_S:
                    self.limit_logged_at = self.loop.time()
                    logger.warning("tunnel limit reached, new tunnels closed", tunnels=len(self.live))
                continue
            task = self.loop.create_task(self.start_handshake(connection, kind))
            self.accept_tasks.add(task)
            task.add_done_callback(self.accept_tasks.discard)

    async def start_handshake(self, connection: socket.socket, kind: str) -> None:
        try:
            await self.loop.connect_accepted_socket(
                lambda: TunnelConnection(self, self.make_codec(kind)), connection
            )
        except (OSError, RuntimeError):
            connection.close()

    def register_connection(self, tunnel: TunnelConnection) -> None:
        self.live[tunnel] = None
        self.budget.others += 1

    def unregister_connection(self, tunnel: TunnelConnection) -> None:
        if self.live.pop(tunnel, self) is None:
            self.budget.others -= 1

    def grace(self, link: StreamLink) -> float:
        """Seconds after which nothing new may be sent to a draining upstream."""
        return next(
            pool.drain_grace_s for pool in self.pools.values() if pool.connections is link.connections
        )

    def check_all_timeouts(self) -> None:
        """Checks all connections and schedules the next check."""
        now = self.loop.time()
        for tunnel in list(self.live):
            tunnel.check_timeouts(now)
        if not self.closing or self.live:
            self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_all_timeouts)

    def reload(self, config: Tunnel, table: Table) -> None:
        """Applies a reload: new tunnels use the new routes; open ones without a route are drained."""
        self.config, self.table = config, table
        for tunnel in list(self.live):
            if tunnel.open and tunnel.destination is not None and table.find(tunnel.destination) is None:
                tunnel.on_upstream_drain()

    # --- shutdown

    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted or is being set up."""
        poll = select.poll()
        for listener, _ in self.sockets:
            poll.register(listener, select.POLLIN)
        return bool(poll.poll(0)) or bool(self.accept_tasks)

    def stop_accepting(self) -> None:
        """Closes the listeners."""
        self.closing = True
        for listener, _ in self.sockets:
            self.loop.remove_reader(listener)
            listener.close()
        self.sockets = []

    def drain(self) -> None:
        """Closes the half of each opaque tunnel towards its upstream; answers are still relayed."""
        for tunnel in list(self.live):
            if tunnel.open and not tunnel.sending_stopped:
                tunnel.stop_sending()

    def close(self) -> None:
        for tunnel in list(self.live):
            tunnel.abort()
