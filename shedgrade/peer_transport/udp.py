"""Datagrams between own processes: small, lost now and then, from whoever sends them."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import VERSION

MAX_BODY_BYTES = 1200  # with all headers under the smallest usual size of a packet
VERSION_BYTE = bytes((VERSION,))


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One socket at `address`; `on_datagram(sender, body)` gets what comes, `sender` as "ip:port".

    A body travels behind one byte, the version; a datagram of another version, or over the bound, is ignored.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_datagram: Callable[[str, bytes], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Opens the socket. OSError if the address can't be had."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self.address)
            await self.loop.create_datagram_endpoint(lambda: self, sock=sock)
        except BaseException:
            sock.close()
            raise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, sender: tuple[str | Any, int]) -> None:
        """Passes on a datagram of this version."""
        if data[:1] == VERSION_BYTE and len(data) <= 1 + MAX_BODY_BYTES:
            self.on_datagram(format_address(sender), data[1:])

    def error_received(self, error: Exception) -> None:
        """A dead port was reported, or the link is full: datagrams may be lost, so this is nothing new."""

    def send(self, address: str, body: bytes) -> None:
        """Dropped before the start and after the end. ValueError: no address, or a body that is too long."""
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"a body of {len(body)} bytes is too long for a datagram")
        pair = parse_address(address)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(VERSION_BYTE + body, pair)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
