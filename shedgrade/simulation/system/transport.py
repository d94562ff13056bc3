"""A simulated process's hold of one side of a TCP connection, as asyncio knows it."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import TYPE_CHECKING

from shedgrade.simulation.system.segment import FIN, RESET, SEND_BUFFER

if TYPE_CHECKING:
    from shedgrade.simulation.system.stream import Stream
    from shedgrade.simulation.system.tcp import SimulatedSocket


class StreamTransport(asyncio.Transport):
    """The process's hold of one side."""

    def __init__(self, handle: SimulatedSocket, protocol) -> None:
        super().__init__()
        self.handle, self.protocol, self.loop = handle, protocol, handle.loop
        self.endpoint = handle.endpoint
        self.high, self.low = 64 * 1024, 16 * 1024
        self.closing = self.done = self.paused_reading = self.paused_writing = False
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)

    # --- state

    def loop_ended(self) -> bool:
        return not self.loop.alive

    @property
    def waits_for_room(self) -> bool:
        return not self.done and (self.paused_writing or self.closing)

    def get_extra_info(self, name, default=None):
        values = {
            "socket": self.handle,
            "peername": self.handle.peer_address,
            "sockname": self.handle.address,
        }
        return values.get(name, default)

    def is_closing(self) -> bool:
        return self.closing or self.done

    def get_protocol(self):
        return self.protocol

    # --- writing

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self.high = 64 * 1024 if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return max(0, self.endpoint.out.outstanding() - SEND_BUFFER)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.endpoint.out.put(FIN)

    def write(self, data) -> None:
        if self.done or self.closing or not data:
            return
        self.endpoint.out.put(bytes(data))
        if not self.paused_writing and self.get_write_buffer_size() > self.high:
            self.paused_writing = True
            self.protocol.pause_writing()
            self.endpoint.out.push_later()

    def drained(self) -> None:
        """Some of what was written has left the process."""
        left = max(0, self.endpoint.out.outstanding() - SEND_BUFFER)
        if self.paused_writing and left <= self.low:
            self.paused_writing = False
            self.loop.io_soon(self.resume_writing)
        if self.closing and left == 0:
            self.finish(None)

    def resume_writing(self) -> None:
        if not self.done:
            self.protocol.resume_writing()

    # --- reading

    def pause_reading(self) -> None:
        self.paused_reading = True

    def resume_reading(self) -> None:
        if self.paused_reading:
            self.paused_reading = False
            self.endpoint.notify()

    def is_reading(self) -> bool:
        return not self.paused_reading and not self.is_closing()

    def read_all(self) -> None:
        stream = self.endpoint.incoming
        took = False
        while not (self.paused_reading or self.closing or self.done):
            data = stream.read()
            if data is None:
                break
            took = True
            self.take(stream, data)
        if took and not self.done and not self.closing and stream.queue:
            stream.push()  # there is room in the window again

    def take(self, stream: Stream, data) -> None:
        if type(data) is bytes:
            if not self.buffered:
                self.protocol.data_received(data)
                return
            space = self.protocol.get_buffer(-1)
            size = min(len(space), len(data))
            space[:size] = data[:size]
            if size < len(data):
                stream.put_back(data[size:])
            del space
            self.protocol.buffer_updated(size)
        elif data is FIN:
            if not self.protocol.eof_received():
                self.close()
        else:
            self.finish(
                ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
                if data is RESET
                else data
            )

    # --- the end

    def close(self) -> None:
        if self.closing or self.done:
            return
        self.closing = True
        self.drained()
        if not self.done:
            self.endpoint.out.push_later()

    def abort(self) -> None:
        """What has not left the process is lost."""
        out = self.endpoint.out
        surplus = out.outstanding() - SEND_BUFFER
        while surplus > 0 and out.queue and type(out.queue[-1]) is bytes:
            data = out.queue.pop()
            out.queued -= len(data)
            surplus -= len(data)
        self.finish(None)

    def finish(self, failure: Exception | None) -> None:
        if self.done:
            return
        self.done = True
        self.handle.close()
        self.loop.call_soon(self.protocol.connection_lost, failure)
