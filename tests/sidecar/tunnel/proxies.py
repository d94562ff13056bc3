"""A stand-in proxy, SOCKS5 or CONNECT, and a plain client for both; the proxy can be told to misbehave."""

import asyncio

from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.destinations import destination


class StandInProxy:
    """`how`: well, refuse (no listener), stall, dribble, unreachable, deny, reset (after its 200), extra,
    garbage."""

    def __init__(self, kind, how="well", users=None):
        self.kind, self.how, self.users = kind, how, users
        self.requested, self.tasks, self.writers = [], set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        if self.how == "refuse":
            self.server.close()
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        allowed = None if self.users is None else lambda user, word: self.users.get(user) == word
        codec = socks.Accepting(allowed) if self.kind == "socks5" else connect.Accepting(allowed)
        try:
            while codec.destination is None and not codec.failed:
                data = await reader.read(4096)
                if not data:
                    return
                if self.how == "stall":
                    await asyncio.sleep(60)
                codec.receive(data)
                writer.write(codec.take_out())
            if codec.failed:
                return
            self.requested.append(codec.destination)
            await self.go_on(codec, reader, writer)
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def go_on(self, codec, reader, writer):
        granted = codec.granted()
        if self.how in ("unreachable", "deny", "garbage"):
            writer.write(
                {
                    "unreachable": codec.refused("unreachable"),
                    "deny": codec.refused("route"),
                    "garbage": b"what?\r\n\r\n" + bytes(40),
                }[self.how]
            )
            await writer.drain()
            return
        if self.how == "dribble":
            for byte in granted:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.5)
        inner, outer = await asyncio.open_connection(codec.destination.host, codec.destination.port)
        writer.write(granted + (b"extra bytes" if self.how == "extra" else b""))
        if self.how == "reset":
            await writer.drain()
            writer.transport.abort()
            outer.close()
            return
        await asyncio.gather(relay(reader, outer), relay(inner, writer))


async def relay(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def through(place, kind, host, port, login=None, ahead=b""):
    """A client's tunnel: (codec, reader, writer); the codec says whether it is open. `ahead` goes unasked."""
    reader, writer = await asyncio.open_connection(*place)
    target = destination(host, port)
    codec = socks.Dialling(target, login) if kind == "socks" else connect.Dialling(target, login)
    writer.write(codec.take_out() + (ahead if kind == "connect" else b""))
    async with asyncio.timeout(20):
        while not codec.done and not codec.failed:
            data = await reader.read(4096)
            if not data:
                codec.failed = codec.failed or "closed"
                break
            codec.receive(data)
            writer.write(codec.take_out())
    if kind == "socks" and codec.done and ahead:
        writer.write(ahead)
    return codec, reader, writer
