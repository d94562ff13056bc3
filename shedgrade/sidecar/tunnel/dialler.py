"""Connecting to upstreams through proxies. Each proxy has its own health; proxies are bypassed only if the
pool allows it."""

import asyncio
from collections.abc import Callable

from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.destinations import destination

# The time for which a failed proxy is ejected, in seconds: the first is doubled by each failure in a row, up
# to the second.
EJECTION_S = (1.0, 8.0)


class DialError(OSError):
    """No connection was made. `outcome`, for the balancer: UNSENT (no fault of the upstream) or UNCONNECTED
    (the proxy says that the upstream can't be reached)."""

    def __init__(self, outcome: int, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome


class Proxy:
    """One proxy and its health: failures in a row, and until when it is ejected."""

    def __init__(
        self,
        name: str,
        kind: str,
        address: tuple[str, int],
        login: tuple[str, str] | None,
        handshake_timeout_s: float,
    ) -> None:
        self.name, self.kind, self.address, self.login, self.handshake_timeout_s = (
            name,
            kind,
            address,
            login,
            handshake_timeout_s,
        )
        self.failures, self.ejected_until, self.open = 0, 0.0, 0

    def record_failure(self, now: float, reason: str) -> None:
        """Ejects the proxy after a failure, for longer with each failure in a row."""
        if now >= self.ejected_until:
            if not self.failures:
                logger.warning("proxy failed, ejected for now", proxy=self.name, error=reason)
            self.failures += 1
            self.ejected_until = now + min(EJECTION_S[1], EJECTION_S[0] * 2 ** (self.failures - 1))

    def record_success(self) -> None:
        """Ends the ejection and forgets earlier failures."""
        if self.failures:
            logger.info("proxy recovered", proxy=self.name)
        self.failures, self.ejected_until = 0, 0.0


def order_by_health(proxies: list[Proxy], rotation: int, now: float) -> list[Proxy]:
    """The order in which proxies are tried: healthy ones in rotation, then ejected ones, the earliest to
    return first."""
    rotated = proxies[rotation % len(proxies) :] + proxies[: rotation % len(proxies)]
    return sorted(rotated, key=lambda proxy: proxy.ejected_until if proxy.ejected_until > now else 0.0)


class Handshake(asyncio.Protocol):
    """Runs one handshake with a proxy; afterwards the transport is given to another protocol."""

    def __init__(self, codec) -> None:
        self.codec, self.transport = codec, None
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.write(self.codec.take_out())

    def data_received(self, data: bytes) -> None:
        self.codec.receive(data)
        out = self.codec.take_out()
        if out:
            self.transport.write(out)
        if (self.codec.done or self.codec.failed) and not self.ended.done():
            # Bytes after the handshake belong to the tunnel's own protocol, which is not attached yet.
            self.transport.pause_reading()
            self.ended.set_result(None)

    def connection_lost(self, failure) -> None:
        if not self.ended.done():
            self.codec.failed = "the proxy closed the connection"
            self.ended.set_result(None)


class Dialler:
    """Opens connections for a connection pool through its proxies.

    A slow connection attempt through a proxy says nothing about the upstream; `uses_proxy` on the connection
    pool records that.
    """

    def __init__(self, loop, proxies: list[Proxy], via_name: str, fallback: bool) -> None:
        self.loop, self.proxies, self.via_name, self.fallback = loop, proxies, via_name, fallback
        self.uses_proxy = True
        self.rotation = 0

    async def __call__(self, factory: Callable, address: tuple[str, int]) -> tuple:
        """Returns (transport, protocol), or raises DialError. At most two proxies are tried."""
        self.rotation += 1
        now, last = self.loop.time(), None
        for proxy in order_by_health(self.proxies, self.rotation, now)[:2]:
            if proxy.ejected_until > now and (last is not None or self.fallback):
                break
            try:
                connected = await self.connect_through(proxy, factory, address)
            except DialError as failure:
                last = failure
                if failure.outcome == load_balancing.UNCONNECTED:
                    raise
                continue
            proxy.record_success()
            return connected
        if self.fallback:
            return await self.loop.create_connection(factory, *address)
        raise last or DialError(load_balancing.UNSENT, "every proxy is ejected")

    async def connect_through(self, proxy: Proxy, factory: Callable, address: tuple[str, int]) -> tuple:
        """Connects to the address through one proxy and records whether the proxy worked. DialError if there
        is no connection."""
        target = destination(*address)
        codec = (
            socks.Dialling(target, proxy.login)
            if proxy.kind == "socks5"
            else connect.Dialling(target, proxy.login, self.via_name)
        )
        transport = None
        try:
            # The timeout covers the complete handshake, however slowly its bytes arrive.
            async with asyncio.timeout(proxy.handshake_timeout_s):
                transport, protocol = await self.loop.create_connection(
                    lambda: Handshake(codec), *proxy.address
                )
                await protocol.ended
        except (OSError, TimeoutError) as failure:
            if transport is not None:
                transport.abort()
            reason = "the handshake timed out" if isinstance(failure, TimeoutError) else str(failure)
            proxy.record_failure(self.loop.time(), reason)
            raise DialError(load_balancing.UNSENT, f"proxy {proxy.name}: {reason}") from failure
        except asyncio.CancelledError:
            if transport is not None:
                transport.abort()
            raise
        if not codec.done:
            transport.abort()
            if codec.unreachable:
                proxy.record_success()  # the proxy answered: the failure is the upstream's
                raise DialError(load_balancing.UNCONNECTED, f"proxy {proxy.name}: {codec.failed}")
            proxy.record_failure(self.loop.time(), codec.failed)
            raise DialError(load_balancing.UNSENT, f"proxy {proxy.name}: {codec.failed}")
        if codec.rest or transport.is_closing():
            # Bytes before any request, or a close right after the handshake: the connection is unusable.
            transport.abort()
            proxy.record_failure(self.loop.time(), "data or a close right after the handshake")
            raise DialError(
                load_balancing.UNSENT, f"proxy {proxy.name}: data or a close right after the handshake"
            )
        connection = factory()
        transport.set_protocol(connection)
        connection.connection_made(transport)
        transport.resume_reading()
        return transport, connection
