"""Puts simulated sockets, polls and collectors in the place of the operating system's, for modules that make
their own.

The link and the HTTP server open sockets by the standard library's `socket` and hand them to their loop.
While `installed()` lasts, those modules see a `socket` whose sockets are of the process that runs then.
"""

from __future__ import annotations

import errno
import importlib
import os
import select
import socket
import termios
from asyncio import events
from collections.abc import Iterator
from contextlib import contextmanager

from shedgrade.simulation.system.tcp import SimulatedSocket


def running_loop():
    loop = events._get_running_loop()
    if loop is None:
        raise RuntimeError("no simulated process runs now")
    return loop


class SocketModule:
    """Stands for the module `socket`."""

    def __getattr__(self, name: str) -> object:
        return getattr(socket, name)

    @staticmethod
    def socket(family: int = 0, kind: int = 0, protocol: int = 0, fileno: int | None = None):
        loop = running_loop()
        if fileno is None:
            return loop.network.socket(loop)
        return Borrowed(loop.network.sockets.get(fileno))

    @staticmethod
    def create_server(address: tuple[str, int], **more) -> SimulatedSocket:
        loop = running_loop()
        handle = loop.network.socket(loop)
        handle.bind(address)
        handle.listen()
        return handle


class Borrowed:
    """A second hold of an open socket, by its descriptor."""

    def __init__(self, handle: SimulatedSocket | None) -> None:
        self.handle = handle

    def shutdown(self, how: int) -> None:
        if self.handle is None:
            raise OSError("no such socket")
        self.handle.shutdown(how)

    def detach(self) -> None:
        """The other hold stays."""


class Poll:
    """Stands for `select.poll`: whether a listening socket has connections, or the other side of one has
    ended it."""

    def __init__(self) -> None:
        self.handles: list[SimulatedSocket] = []

    def register(self, handle: SimulatedSocket | int, events: int) -> None:
        if isinstance(handle, int):
            handle = running_loop().network.sockets.get(handle)
        elif handle.fileno() < 0:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        if handle is not None:
            self.handles.append(handle)

    def poll(self, timeout: float) -> list[SimulatedSocket]:
        return [handle for handle in self.handles if handle.backlog or handle.other_side_ended()]


class SelectModule:
    """Stands for the module `select`."""

    POLLIN, POLLRDHUP = select.POLLIN, select.POLLRDHUP
    poll = Poll


class FcntlModule:
    """Stands for `fcntl`: how many bytes of a connection its kernel holds."""

    @staticmethod
    def ioctl(descriptor: int, request: int, buffer: bytes) -> bytes:
        handle = running_loop().network.sockets.get(descriptor)
        if handle is None or handle.endpoint is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        held = {
            termios.FIONREAD: handle.endpoint.incoming.unread_bytes,
            termios.TIOCOUTQ: handle.endpoint.out.outstanding(),
        }
        return held[request].to_bytes(len(buffer), "little")


class NoCollector:
    """Stands for `gc` in programs that collect once at their start: one interpreter holds them all."""

    @staticmethod
    def collect() -> None:
        """Left to the interpreter."""

    @staticmethod
    def freeze() -> None:
        """Left to the interpreter."""


class SteadyClock:
    """Stands for `shedgrade.runtime.clock.Clock`: the steady clock of the process that runs."""

    @staticmethod
    def now() -> int:
        return int(running_loop().time() * 10_000)

    @staticmethod
    def on_monotonic(at: float) -> float:
        return at / 10_000


REPLACED = (
    ("shedgrade.peer_transport.tcp", "socket", SocketModule()),
    ("shedgrade.peer_transport.udp", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "fcntl", FcntlModule()),
    ("shedgrade.http.listener", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "select", SelectModule()),
    ("shedgrade.http.listener", "select", SelectModule()),
    ("shedgrade.http.server", "select", SelectModule()),
    ("shedgrade.http.server_connection", "select", SelectModule()),
    ("shedgrade.controlplane.plane", "gc", NoCollector()),
    ("shedgrade.dataplane.plane", "gc", NoCollector()),
    ("shedgrade.dataplane.plane", "Clock", SteadyClock),
)


@contextmanager
def installed() -> Iterator[None]:
    """Simulated sockets are in place for as long as the block lasts; it may stand inside another."""
    before = []
    try:
        for module, name, stand_in in REPLACED:
            place = importlib.import_module(module)
            before.append((place, name, getattr(place, name)))
            setattr(place, name, stand_in)
        yield
    finally:
        for place, name, value in reversed(before):
            setattr(place, name, value)
