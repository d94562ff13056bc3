"""A UDP endpoint for small datagrams between the system's own processes, which may be lost or forged."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from shedgrade.peer_transport.address import format_address, parse_address
from shedgrade.peer_transport.frames import VERSION

MAX_BODY_BYTES = 1200  # with all headers below the smallest MTU in common use
VERSION_BYTE = bytes((VERSION,))


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One socket at `address`; calls `on_datagram(sender, body)` with each datagram, `sender` as "ip:port".

    A body is preceded by one byte, the version. A datagram of another version, or with a body longer than
    MAX_BODY_BYTES, is ignored.
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
        """Opens the socket. Raises OSError if the address can't be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self.address)
            await self.loop.create_datagram_endpoint(lambda: self, sock=sock)
        except BaseException:
            sock.close()
            raise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, sender: tuple[str | Any, int]) -> None:
        """Passes on a datagram of this version."""
        if data[:1] == VERSION_BYTE and len(data) <= 1 + MAX_BODY_BYTES:
            self.on_datagram(format_address(sender), data[1:])

    def error_received(self, error: Exception) -> None:
        """Ignores an ICMP error or a full send buffer: datagrams may be lost anyway."""

    def send(self, address: str, body: bytes) -> None:
        """Sends a datagram, or drops it if the socket isn't open. Raises ValueError if the address is invalid
        or the body too long."""
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"body of {len(body)} bytes is too long for a datagram")
        host_port = parse_address(address)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(VERSION_BYTE + body, host_port)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
