"""Stand-ins for modules of the standard library, for the programs' modules that open sockets by themselves.

The peer transport and the HTTP server open sockets by `socket` and hand them to their loop. While
`patched_modules()` lasts, those modules see a `socket` whose sockets are of the process that runs then.
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
from types import ModuleType
from typing import Any, NamedTuple

from shedgrade.simulation.system.host import Address
from shedgrade.simulation.system.network import Network
from shedgrade.simulation.system.process_loop import ProcessLoop
from shedgrade.simulation.system.simulated_socket import SimulatedSocket


def running_loop() -> ProcessLoop:
    """The loop of the simulated process that runs now. RuntimeError if none does."""
    loop = events._get_running_loop()
    if not isinstance(loop, ProcessLoop):
        raise RuntimeError("no simulated process runs now")
    return loop


def new_socket() -> SimulatedSocket:
    """A new socket of the process that runs now."""
    loop = running_loop()
    return network_of(loop).socket(loop)


def open_socket(descriptor: int) -> SimulatedSocket | None:
    """The open socket with that descriptor."""
    return network_of(running_loop()).sockets.get(descriptor)


def network_of(loop: ProcessLoop) -> Network:
    """The network that makes a loop's sockets."""
    assert isinstance(loop.network, Network)
    return loop.network


class SocketModule:
    """Stands for the module `socket`."""

    def __getattr__(self, name: str) -> object:
        return getattr(socket, name)

    @staticmethod
    def socket(
        family: int = 0, kind: int = 0, protocol: int = 0, fileno: int | None = None
    ) -> SimulatedSocket | BorrowedSocket:
        """A new socket, or a second hold of an open one."""
        if fileno is None:
            return new_socket()
        return BorrowedSocket(open_socket(fileno))

    @staticmethod
    def create_server(address: Address, **more: Any) -> SimulatedSocket:
        """A new listening socket."""
        handle = new_socket()
        handle.bind(address)
        handle.listen()
        return handle


class BorrowedSocket:
    """A second hold of an open socket, by its descriptor."""

    def __init__(self, handle: SimulatedSocket | None) -> None:
        self.handle = handle

    def shutdown(self, how: int) -> None:
        """As `socket.shutdown`. OSError if the socket is closed."""
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

    def register(self, target: SimulatedSocket | int, events: int) -> None:
        """Watches a socket, or the one with that descriptor. ValueError if it is closed."""
        handle = open_socket(target) if isinstance(target, int) else target
        if handle is None:
            return
        if handle.fileno() < 0:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        self.handles.append(handle)

    def poll(self, timeout: float) -> list[SimulatedSocket]:
        """Those that are ready now; it never waits."""
        return [handle for handle in self.handles if handle.backlog or handle.other_side_ended()]


class SelectModule:
    """Stands for the module `select`."""

    POLLIN, POLLRDHUP = select.POLLIN, select.POLLRDHUP
    poll = Poll


class FcntlModule:
    """Stands for `fcntl`: how many bytes of a connection its kernel holds."""

    @staticmethod
    def ioctl(descriptor: int, request: int, buffer: bytes) -> bytes:
        """For FIONREAD (bytes unread) and TIOCOUTQ (bytes not acknowledged)."""
        handle = open_socket(descriptor)
        if handle is None or handle.endpoint is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        sizes = {
            termios.FIONREAD: handle.endpoint.incoming.unread_bytes,
            termios.TIOCOUTQ: handle.endpoint.out.outstanding(),
        }
        return sizes[request].to_bytes(len(buffer), "little")


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
        """In tenths of a millisecond."""
        return int(running_loop().time() * 10_000)

    @staticmethod
    def on_monotonic(at: float) -> float:
        """A reading in seconds."""
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


class Replaced(NamedTuple):
    """What was replaced in a module."""

    module: ModuleType
    name: str
    value: object


@contextmanager
def patched_modules() -> Iterator[None]:
    """Simulated sockets are in place for as long as the block lasts; it may stand inside another."""
    replaced: list[Replaced] = []
    try:
        for module, name, stand_in in REPLACED:
            target = importlib.import_module(module)
            replaced.append(Replaced(target, name, getattr(target, name)))
            setattr(target, name, stand_in)
        yield
    finally:
        for target, name, value in reversed(replaced):
            setattr(target, name, value)
