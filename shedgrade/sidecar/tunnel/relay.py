"""The two sides of an opaque tunnel: bytes both ways, bounded, half-closes kept. Decides nothing.

Each side reads only while the other has room (`most` bytes wait at the most), so a peer that reads nothing
stops its other end, not this process's memory.
"""

import asyncio
import select
import socket
import struct


class Side(asyncio.Protocol):
    """What both sides share. `peer` is the other one, once there is one."""

    def __init__(self, most: int) -> None:
        self.most, self.transport, self.peer = most, None, None
        self.moved = 0  # bytes that came in here
        self.paused = False  # not read from, for lack of room on the other side
        self.ended = self.lost = False  # its end of file has come; the connection is gone
        self.used = 0.0

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.most)
        self.used = asyncio.get_running_loop().time()

    def join(self, peer: "Side") -> None:
        self.peer, peer.peer = peer, self

    def data_received(self, data: bytes) -> None:
        self.moved += len(data)
        self.used = self.peer.used = asyncio.get_running_loop().time()
        if not self.peer.transport.is_closing():
            self.peer.transport.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None and not self.peer.transport.is_closing():
            self.peer.transport.pause_reading()
            self.peer.paused = True

    def resume_writing(self) -> None:
        if self.peer is not None and not self.peer.transport.is_closing() and not self.peer.held():
            self.peer.transport.resume_reading()
            self.peer.paused = False

    def unsent(self) -> int:
        return 0 if self.transport.is_closing() else self.transport.get_write_buffer_size()

    def broken(self) -> bool:
        """Reset while nothing is read from it, which the loop does not see."""
        if not self.paused or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), 0)
        return any(event & (select.POLLERR | select.POLLHUP) for _, event in poll.poll(0))

    def held(self) -> bool:
        """Nothing may be read from it now, whatever room there is."""
        return False

    def eof_received(self) -> bool:
        """Its half is over: the other side is told, and goes on in its own direction."""
        self.ended = True
        if self.peer is None:
            return False
        if not self.peer.transport.is_closing() and self.peer.transport.can_write_eof():
            self.peer.transport.write_eof()
        if self.peer.ended:
            self.peer.transport.close()
            return False
        return True

    def abort(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def reset(self) -> None:
        """Ends with a reset: an orderly end would tell the other side that all had come."""
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


class StreamLink(Side):
    """The upstream's side: the transmission that counts in flight for as long as this is open."""

    whole = True  # whatever is opened may have run, as far as anybody here can tell

    def __init__(self, connections, upstream: int, address: tuple[str, int]) -> None:
        super().__init__(connections.stream_buffer)
        self.connections, self.upstream, self.address = connections, upstream, address
        self.transmission = None
        self.draining = False
        self.failure: Exception | None = None

    def may_have_run(self) -> bool:
        return self.whole

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.pause_reading()  # until the client's side is told

    def begin(self, transmission, now: int) -> None:
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
            self.peer.other_lost(failure)

    def abort(self) -> None:
        """Stopped by the turn: its end is told there, not here."""
        self.transmission = None
        super().abort()

    cut = abort

    def drain(self) -> None:
        """The upstream drains or is gone: from the grace on nothing new goes to it, its answers still
        come."""
        if not self.draining:
            self.draining = True
            if self.peer is not None:
                self.peer.upstream_drains()
