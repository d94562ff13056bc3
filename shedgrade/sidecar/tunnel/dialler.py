"""Dialling upstreams through proxies: several, each with its own health, never bypassed unless the pool
says so."""

import asyncio
from collections.abc import Callable

from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.destinations import destination

REST = (1.0, 8.0)  # s that a proxy which failed is left alone: doubled by each failure, to the second


class DialError(OSError):
    """`outcome`: what the decisions are told. UNSENT blames no upstream; UNCONNECTED says it can't be
    reached."""

    def __init__(self, outcome: int, why: str) -> None:
        super().__init__(why)
        self.outcome = outcome


class Proxy:
    """One proxy, and how it has been doing. Decides nothing of upstreams."""

    def __init__(
        self, name: str, kind: str, address: tuple[str, int], login: tuple[str, str] | None, handshake: float
    ) -> None:
        self.name, self.kind, self.address, self.login, self.handshake = name, kind, address, login, handshake
        self.failures, self.aside_until, self.open = 0, 0.0, 0

    def failed(self, now: float, why: str) -> None:
        """Guards against a proxy that is gone: it is left alone for a while, longer with each failure in a
        row."""
        if now >= self.aside_until:
            if not self.failures:
                logger.warning("proxy failed, ejected for now", proxy=self.name, error=why)
            self.failures += 1
            self.aside_until = now + min(REST[1], REST[0] * 2 ** (self.failures - 1))

    def worked(self) -> None:
        if self.failures:
            logger.info("proxy recovered", proxy=self.name)
        self.failures, self.aside_until = 0, 0.0


def order(proxies: list[Proxy], turn: int, now: float) -> list[Proxy]:
    """Who is tried first: the well ones in rotation, then those aside, the first to return first."""
    turned = proxies[turn % len(proxies) :] + proxies[: turn % len(proxies)]
    return sorted(turned, key=lambda proxy: proxy.aside_until if proxy.aside_until > now else 0.0)


class Handshake(asyncio.Protocol):
    """Carries one handshake with a proxy; afterwards the transport is another protocol's."""

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
            # What follows belongs to the tunnel's own protocol, which is not there yet.
            self.transport.pause_reading()
            self.ended.set_result(None)

    def connection_lost(self, failure) -> None:
        if not self.ended.done():
            self.codec.failed = "the proxy closed the connection"
            self.ended.set_result(None)


class Dialler:
    """Opens connections for a pool's caller; `proxied` tells it that a slow dial says nothing of the
    upstream."""

    def __init__(self, loop, proxies: list[Proxy], own: str, fallback: bool) -> None:
        self.loop, self.proxies, self.own, self.fallback = loop, proxies, own, fallback
        self.proxied = True
        self.turn = 0

    async def __call__(self, factory: Callable, address: tuple[str, int]) -> tuple:
        """Transport and protocol, or DialError. At most two proxies are tried for one connection."""
        self.turn += 1
        now, last = self.loop.time(), None
        for proxy in order(self.proxies, self.turn, now)[:2]:
            if proxy.aside_until > now and (last is not None or self.fallback):
                break
            try:
                made = await self.through(proxy, factory, address)
            except DialError as failure:
                last = failure
                if failure.outcome == load_balancing.UNCONNECTED:
                    raise
                continue
            proxy.worked()
            return made
        if self.fallback:
            return await self.loop.create_connection(factory, *address)
        raise last or DialError(load_balancing.UNSENT, "every proxy is left alone for now")

    async def through(self, proxy: Proxy, factory: Callable, address: tuple[str, int]) -> tuple:
        where = destination(*address)
        codec = (
            socks.Dialling(where, proxy.login)
            if proxy.kind == "socks5"
            else connect.Dialling(where, proxy.login, self.own)
        )
        transport = None
        try:
            # The whole of it, however the bytes dribble.
            async with asyncio.timeout(proxy.handshake):
                transport, talk = await self.loop.create_connection(lambda: Handshake(codec), *proxy.address)
                await talk.ended
        except (OSError, TimeoutError) as failure:
            if transport is not None:
                transport.abort()
            why = "no handshake in time" if isinstance(failure, TimeoutError) else str(failure)
            proxy.failed(self.loop.time(), why)
            raise DialError(load_balancing.UNSENT, f"proxy {proxy.name}: {why}") from failure
        except asyncio.CancelledError:
            if transport is not None:
                transport.abort()
            raise
        if not codec.done:
            transport.abort()
            if codec.unreached:
                proxy.worked()  # it answered: the failure is the upstream's
                raise DialError(load_balancing.UNCONNECTED, f"proxy {proxy.name}: {codec.failed}")
            proxy.failed(self.loop.time(), codec.failed)
            raise DialError(load_balancing.UNSENT, f"proxy {proxy.name}: {codec.failed}")
        if codec.rest or transport.is_closing():
            # Bytes ahead of any request, or an end right behind the 200: not a connection to send anything
            # on.
            transport.abort()
            proxy.failed(self.loop.time(), "bytes or an end right behind its answer")
            raise DialError(
                load_balancing.UNSENT, f"proxy {proxy.name}: bytes or an end right behind its answer"
            )
        link = factory()
        transport.set_protocol(link)
        link.connection_made(transport)
        transport.resume_reading()
        return transport, link
