"""A proxy for SOCKS5 or CONNECT whose faults can be chosen, and a client for both protocols."""

import asyncio

from shedgrade.sidecar.tunnel import connect, socks
from shedgrade.sidecar.tunnel.destinations import destination


class StandInProxy:
    """A proxy that serves (`well`) or has one fault.

    `fault`: refuse (no listener), stall (no reply), dribble (a byte of the reply every 0.5 s), unreachable or
    deny (refusals), reset (after granting the tunnel), extra (bytes after the reply) or garbage (no reply of
    the protocol).
    """

    def __init__(self, protocol, fault="well", users=None):
        self.protocol, self.fault, self.users = protocol, fault, users
        self.requested, self.tasks, self.writers = [], set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        if self.fault == "refuse":
            self.server.close()
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        allowed = None if self.users is None else lambda user, password: self.users.get(user) == password
        codec = socks.Accepting(allowed) if self.protocol == "socks5" else connect.Accepting(allowed)
        try:
            while codec.destination is None and not codec.failed:
                data = await reader.read(4096)
                if not data:
                    return
                if self.fault == "stall":
                    await asyncio.sleep(60)
                codec.receive(data)
                writer.write(codec.take_out())
            if codec.failed:
                return
            self.requested.append(codec.destination)
            await self.reply(codec, reader, writer)
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, codec, reader, writer):
        granted = codec.granted()
        if self.fault in ("unreachable", "deny", "garbage"):
            writer.write(
                {
                    "unreachable": codec.refused("unreachable"),
                    "deny": codec.refused("route"),
                    "garbage": b"what?\r\n\r\n" + bytes(40),
                }[self.fault]
            )
            await writer.drain()
            return
        if self.fault == "dribble":
            for byte in granted:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.5)
        upstream_reader, upstream_writer = await asyncio.open_connection(
            codec.destination.host, codec.destination.port
        )
        writer.write(granted + (b"extra bytes" if self.fault == "extra" else b""))
        if self.fault == "reset":
            await writer.drain()
            writer.transport.abort()
            upstream_writer.close()
            return
        await asyncio.gather(relay(reader, upstream_writer), relay(upstream_reader, writer))


async def relay(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def open_tunnel(listener_address, protocol, host, port, login=None, ahead=b""):
    """Requests a tunnel. Returns (codec, reader, writer); `codec.done` is set if the tunnel is open. `ahead`:
    bytes to send inside the tunnel; with CONNECT they follow the request without waiting for the reply."""
    reader, writer = await asyncio.open_connection(*listener_address)
    target = destination(host, port)
    codec = socks.Dialling(target, login) if protocol == "socks" else connect.Dialling(target, login)
    writer.write(codec.take_out() + (ahead if protocol == "connect" else b""))
    async with asyncio.timeout(20):
        while not codec.done and not codec.failed:
            data = await reader.read(4096)
            if not data:
                codec.failed = codec.failed or "closed"
                break
            codec.receive(data)
            writer.write(codec.take_out())
    if protocol == "socks" and codec.done and ahead:
        writer.write(ahead)
    return codec, reader, writer
