"""Datagrams between own processes: small, lost now and then, from whoever sends them."""

import asyncio
import socket
from collections.abc import Callable

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import VERSION

LONGEST = 1200  # bytes of a body: with all headers under the smallest usual size of a packet
MARK = bytes((VERSION,))


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One socket at `address`; `handle(sender, body)` gets what comes, `sender` as "ip:port".

    A body travels behind one byte, the version; a datagram of another version, or over the bound, is ignored.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], handle: Callable[[str, bytes], None]
    ) -> None:
        self.loop, self.address, self.handle = loop, address, handle
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Opens the socket. OSError if the address can't be had."""
        handle = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            handle.setblocking(False)
            handle.bind(self.address)
            await self.loop.create_datagram_endpoint(lambda: self, sock=handle)
        except BaseException:
            handle.close()
            raise

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        if data[:1] == MARK and len(data) <= 1 + LONGEST:
            self.handle(format_address(sender), data[1:])

    def error_received(self, error: OSError) -> None:
        """A dead port was reported, or the link is full: datagrams may be lost, so this is nothing new."""

    def send(self, address: str, body: bytes) -> None:
        """Dropped before the start and after the end. ValueError: no address, or a body that is too long."""
        if len(body) > LONGEST:
            raise ValueError(f"a body of {len(body)} bytes is too long for a datagram")
        where = parse_address(address)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(MARK + body, where)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
