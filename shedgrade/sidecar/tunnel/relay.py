"""The two sides of an opaque tunnel: relays bytes in both directions, with bounded buffers and half-closes.

Each side is read only while the write buffer of the other has room (`max_buffered` bytes at the most), so a
peer that stops reading makes its counterpart wait instead of growing this process's memory.
"""

import asyncio
import select
import socket
import struct


class TunnelSide(asyncio.Protocol):
    """Behaviour that both sides share.

    Attributes:
        max_buffered: the limit of the write buffer, in bytes.
        peer: the other side, once the tunnel is open.
        bytes_received: bytes that arrived on this side.
        paused: this side is not read because the other side's write buffer is full.
        eof_seen: this side has sent its end of file.
        lost: the connection is closed.
        last_active: the event loop's time of the last byte in either direction, in seconds.
    """

    def __init__(self, max_buffered: int) -> None:
        self.max_buffered, self.transport, self.peer = max_buffered, None, None
        self.bytes_received = 0
        self.paused = False
        self.eof_seen = self.lost = False
        self.last_active = 0.0

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.max_buffered)
        self.last_active = asyncio.get_running_loop().time()

    def join(self, peer: "TunnelSide") -> None:
        """Makes the two sides each other's peer."""
        self.peer, peer.peer = peer, self

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        self.last_active = self.peer.last_active = asyncio.get_running_loop().time()
        if not self.peer.transport.is_closing():
            self.peer.transport.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None and not self.peer.transport.is_closing():
            self.peer.transport.pause_reading()
            self.peer.paused = True

    def resume_writing(self) -> None:
        if self.peer is not None and not self.peer.transport.is_closing() and not self.peer.is_read_blocked():
            self.peer.transport.resume_reading()
            self.peer.paused = False

    def unsent_bytes(self) -> int:
        """Bytes in the write buffer; 0 if the transport is closing."""
        return 0 if self.transport.is_closing() else self.transport.get_write_buffer_size()

    def was_reset(self) -> bool:
        """Whether the connection was reset while it is not read, which the event loop does not notice."""
        if not self.paused or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), 0)
        return any(event & (select.POLLERR | select.POLLHUP) for _, event in poll.poll(0))

    def is_read_blocked(self) -> bool:
        """Whether reading must stay paused even if the other side has room."""
        return False

    def eof_received(self) -> bool:
        """Passes the end of file on; the other direction stays open."""
        self.eof_seen = True
        if self.peer is None:
            return False
        if not self.peer.transport.is_closing() and self.peer.transport.can_write_eof():
            self.peer.transport.write_eof()
        if self.peer.eof_seen:
            self.peer.transport.close()
            return False
        return True

    def abort(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def reset(self) -> None:
        """Ends with a reset: a graceful close would tell the peer that all bytes had arrived."""
        if self.transport.is_closing():
            return
        handle = socket.socket(fileno=self.transport.get_extra_info("socket").fileno())
        try:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:  # it is gone already
            pass
        finally:
            handle.detach()
        self.transport.abort()


class StreamLink(TunnelSide):
    """The upstream's side. Its transmission counts as in flight for as long as the connection is open."""

    # The upstream may have executed whatever was sent, since the bytes of a tunnel are not parsed.
    maybe_executed = True

    def __init__(self, connections, upstream: int, address: tuple[str, int]) -> None:
        super().__init__(connections.stream_buffer)
        self.connections, self.upstream, self.address = connections, upstream, address
        self.transmission = None
        self.draining = False
        self.failure: Exception | None = None

    def may_have_run(self) -> bool:
        return self.maybe_executed

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.pause_reading()  # until the client's side is open

    def begin(self, transmission, now: int) -> None:
        """Starts the transmission of an opened tunnel and counts it with the upstream's streams."""
        self.transmission, transmission.link, transmission.first_on_connection = transmission, self, True
        self.connections.streams.setdefault(self.upstream, set()).add(self)
        self.connections.dispatcher.stream_opened(transmission)

    def connection_lost(self, failure) -> None:
        from shedgrade import load_balancing

        self.lost, self.failure = True, failure
        self.connections.closed(self)
        links = self.connections.streams.get(self.upstream)
        if links is not None:
            links.discard(self)
            if not links:
                del self.connections.streams[self.upstream]
        transmission, self.transmission = self.transmission, None
        if transmission is not None:
            self.connections.dispatcher.attempt_finished(
                transmission, load_balancing.DROPPED if failure else load_balancing.COMPLETED, None
            )
        if self.peer is not None:
            self.peer.peer_closed(failure)

    def abort(self) -> None:
        """Aborts for the dispatcher, which records the end of the transmission itself."""
        self.transmission = None
        super().abort()

    cut = abort

    def drain(self) -> None:
        """The upstream drains or was removed: nothing new is sent to it after the grace, its answers are
        still relayed."""
        if not self.draining:
            self.draining = True
            if self.peer is not None:
                self.peer.on_upstream_drain()
