"""The asyncio transport of a simulated process for one side of a TCP connection."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any, Protocol

from shedgrade.simulation.system.host import Address
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.simulation.system.tcp_endpoint import Endpoint
from shedgrade.simulation.system.tcp_segment import FIN, RESET, SEND_BUFFER_BYTES, Received
from shedgrade.simulation.system.tcp_stream import Stream

HIGH_WATER, LOW_WATER = 64 * 1024, 16 * 1024  # bytes, as in asyncio


class TransportSocket(Protocol):
    """The socket below a transport."""

    @property
    def loop(self) -> ProcessLoop:
        """The event loop of the socket's process."""

    @property
    def address(self) -> Address | None:
        """The local address."""

    @property
    def peer_address(self) -> Address | None:
        """The address of the other side."""

    def close(self) -> None:
        """Closes the socket."""


class StreamTransport(asyncio.Transport):
    """The transport by which a process uses one side of a connection.

    Attributes:
        high_water, low_water: bytes in the write buffer above which the protocol pauses writing, and below
            which it resumes.
        closing: whether the process has closed the transport; bytes that it wrote before are still sent.
        closed: whether the protocol's `connection_lost` was called or is scheduled.
        paused_reading: whether the protocol has paused reading.
        paused_writing: whether the transport has paused the protocol's writing.
    """

    def __init__(self, handle: TransportSocket, endpoint: Endpoint, protocol: Any) -> None:
        super().__init__()
        self.handle = handle
        self.endpoint = endpoint
        self.protocol = protocol
        self.loop = handle.loop
        self.high_water = HIGH_WATER
        self.low_water = LOW_WATER
        self.closing = False
        self.closed = False
        self.paused_reading = False
        self.paused_writing = False
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)

    # --- state

    def process_ended(self) -> bool:
        """Whether the process has ended."""
        return not self.loop.alive

    def io_soon(self, callback: Callable[..., Any]) -> None:
        """Schedules a callback in the process, as its loop does when a socket is ready."""
        self.loop.io_soon(callback)

    @property
    def awaits_drain(self) -> bool:
        """Whether the process waits for written bytes to leave it."""
        return not self.closed and (self.paused_writing or self.closing)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """As in asyncio, for "socket", "peername" and "sockname"."""
        values = {
            "socket": self.handle,
            "peername": self.handle.peer_address,
            "sockname": self.handle.address,
        }
        return values.get(name, default)

    def is_closing(self) -> bool:
        """As in asyncio."""
        return self.closing or self.closed

    def get_protocol(self) -> Any:
        """As in asyncio."""
        return self.protocol

    # --- writing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As in asyncio, in bytes."""
        self.high_water = HIGH_WATER if high is None else high
        self.low_water = self.high_water // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Number of bytes that the kernel has not taken."""
        return max(0, self.endpoint.out.outstanding() - SEND_BUFFER_BYTES)

    def can_write_eof(self) -> bool:
        """As in asyncio."""
        return True

    def write_eof(self) -> None:
        """As in asyncio."""
        self.endpoint.out.write(FIN)

    def write(self, data: Any) -> None:
        """As in asyncio."""
        if self.closed or self.closing or not data:
            return
        self.endpoint.out.write(bytes(data))
        if not self.paused_writing and self.get_write_buffer_size() > self.high_water:
            self.paused_writing = True
            self.protocol.pause_writing()
            self.endpoint.out.schedule_push()

    def drained(self) -> None:
        """Called when written bytes have left the process: resumes writing, or completes a close."""
        left = self.get_write_buffer_size()
        if self.paused_writing and left <= self.low_water:
            self.paused_writing = False
            self.loop.io_soon(self.resume_writing)
        if self.closing and left == 0:
            self.finish(None)

    def resume_writing(self) -> None:
        """Tells the protocol that it may write again."""
        if not self.closed:
            self.protocol.resume_writing()

    # --- reading

    def pause_reading(self) -> None:
        """As in asyncio."""
        self.paused_reading = True

    def resume_reading(self) -> None:
        """As in asyncio."""
        if self.paused_reading:
            self.paused_reading = False
            self.endpoint.notify()

    def is_reading(self) -> bool:
        """As in asyncio."""
        return not self.paused_reading and not self.is_closing()

    def deliver_unread(self) -> None:
        """Passes unread bytes and ends to the protocol until it pauses reading."""
        stream = self.endpoint.incoming
        has_delivered = False
        while not (self.paused_reading or self.closing or self.closed):
            item = stream.read()
            if item is None:
                break
            has_delivered = True
            self.deliver(stream, item)
        if has_delivered and not self.closed and not self.closing and stream.queue:
            stream.push()  # the window has room again

    def deliver(self, stream: Stream, item: Received) -> None:
        """Passes bytes or an end to the protocol."""
        if isinstance(item, bytes):
            if self.buffered:
                self.fill_buffer(stream, item)
            else:
                self.protocol.data_received(item)
        elif isinstance(item, OSError):
            self.finish(item)
        elif item is RESET:
            self.finish(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))
        elif not self.protocol.eof_received():
            self.close()

    def fill_buffer(self, stream: Stream, data: bytes) -> None:
        """Copies bytes into the buffer of a `BufferedProtocol`; bytes that do not fit stay unread."""
        space = self.protocol.get_buffer(-1)
        size = min(len(space), len(data))
        space[:size] = data[:size]
        if size < len(data):
            stream.put_back(data[size:])
        del space
        self.protocol.buffer_updated(size)

    # --- closing

    def close(self) -> None:
        """As in asyncio: bytes that were written are still sent."""
        if self.closing or self.closed:
            return
        self.closing = True
        self.drained()
        if not self.closed:
            self.endpoint.out.schedule_push()

    def abort(self) -> None:
        """As in asyncio: bytes that have not left the process are lost."""
        out = self.endpoint.out
        out.truncate(out.outstanding() - SEND_BUFFER_BYTES)
        self.finish(None)

    def finish(self, failure: Exception | None) -> None:
        """Closes the socket, and schedules the protocol's `connection_lost`."""
        if self.closed:
            return
        self.closed = True
        self.handle.close()
        self.loop.call_soon(self.protocol.connection_lost, failure)
