"""Replacements for standard library modules, and for the clock, in the programs' own modules.

The peer transport and the HTTP server open sockets through `socket` and pass them to their event loop. Inside
`patched_modules()` these modules use a simulated `socket`, whose sockets belong to the running process.
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
    """The event loop of the running simulated process. RuntimeError if none is running."""
    loop = events._get_running_loop()
    if not isinstance(loop, ProcessLoop):
        raise RuntimeError("no simulated process is running")
    return loop


def new_socket() -> SimulatedSocket:
    """A new socket of the running process."""
    loop = running_loop()
    return network_of(loop).socket(loop)


def find_socket(descriptor: int) -> SimulatedSocket | None:
    """The open socket with this descriptor, None if there is none."""
    return network_of(running_loop()).sockets.get(descriptor)


def network_of(loop: ProcessLoop) -> Network:
    """The network of a loop's sockets."""
    assert isinstance(loop.network, Network)
    return loop.network


class SocketModule:
    """Replaces the module `socket`."""

    def __getattr__(self, name: str) -> object:
        return getattr(socket, name)

    @staticmethod
    def socket(
        family: int = 0, kind: int = 0, protocol: int = 0, fileno: int | None = None
    ) -> SimulatedSocket | DuplicateSocket:
        """A new socket, or a second socket object for the open descriptor `fileno`."""
        if fileno is None:
            return new_socket()
        return DuplicateSocket(find_socket(fileno))

    @staticmethod
    def create_server(address: Address, **options: Any) -> SimulatedSocket:
        """A new socket that listens at `address`."""
        handle = new_socket()
        handle.bind(address)
        handle.listen()
        return handle


class DuplicateSocket:
    """A second socket object for an open descriptor."""

    def __init__(self, handle: SimulatedSocket | None) -> None:
        self.handle = handle

    def shutdown(self, how: int) -> None:
        """As `socket.shutdown`. OSError if the descriptor is closed."""
        if self.handle is None:
            raise OSError("no open socket with this descriptor")
        self.handle.shutdown(how)

    def detach(self) -> None:
        """Does nothing: the first socket object keeps the descriptor."""


class Poll:
    """Replaces `select.poll`: a listening socket is ready if connections wait, a connected one if the other
    side has ended the connection."""

    def __init__(self) -> None:
        self.handles: list[SimulatedSocket] = []

    def register(self, target: SimulatedSocket | int, events: int) -> None:
        """Adds a socket, by itself or by its descriptor. ValueError if it is closed; a descriptor that is not
        open is ignored."""
        handle = find_socket(target) if isinstance(target, int) else target
        if handle is None:
            return
        if handle.fileno() < 0:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        self.handles.append(handle)

    def poll(self, timeout: float) -> list[SimulatedSocket]:
        """The sockets that are ready now. Never waits."""
        return [handle for handle in self.handles if handle.backlog or handle.other_side_ended()]


class SelectModule:
    """Replaces the module `select`."""

    POLLIN, POLLRDHUP = select.POLLIN, select.POLLRDHUP
    poll = Poll


class FcntlModule:
    """Replaces the module `fcntl`: returns how many bytes of a connection its kernel holds."""

    @staticmethod
    def ioctl(descriptor: int, request: int, buffer: bytes) -> bytes:
        """Supports FIONREAD (bytes unread) and TIOCOUTQ (bytes not acknowledged). OSError if the descriptor
        is not a connected socket."""
        handle = find_socket(descriptor)
        if handle is None or handle.endpoint is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        sizes = {
            termios.FIONREAD: handle.endpoint.incoming.unread_bytes,
            termios.TIOCOUTQ: handle.endpoint.out.outstanding(),
        }
        return sizes[request].to_bytes(len(buffer), "little")


class NoOpGarbageCollector:
    """Replaces `gc` in programs that collect garbage at their start: they all share one interpreter."""

    @staticmethod
    def collect() -> None:
        """Does nothing: garbage collection is left to the interpreter."""

    @staticmethod
    def freeze() -> None:
        """Does nothing: garbage collection is left to the interpreter."""


class SteadyClock:
    """Replaces `shedgrade.runtime.clock.Clock`: the steady clock of the running process."""

    @staticmethod
    def now() -> int:
        """The time in tenths of a millisecond."""
        return int(running_loop().time() * 10_000)

    @staticmethod
    def to_monotonic(at: float) -> float:
        """Converts a time of this clock to seconds."""
        return at / 10_000


REPLACEMENTS = (
    ("shedgrade.peer_transport.tcp", "socket", SocketModule()),
    ("shedgrade.peer_transport.udp", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "fcntl", FcntlModule()),
    ("shedgrade.http.listener", "socket", SocketModule()),
    ("shedgrade.http.socket_state", "select", SelectModule()),
    ("shedgrade.http.listener", "select", SelectModule()),
    ("shedgrade.http.server", "select", SelectModule()),
    ("shedgrade.http.server_connection", "select", SelectModule()),
    ("shedgrade.controlplane.plane", "gc", NoOpGarbageCollector()),
    ("shedgrade.dataplane.plane", "gc", NoOpGarbageCollector()),
    ("shedgrade.dataplane.plane", "Clock", SteadyClock),
)


class PatchedAttribute(NamedTuple):
    """A module's attribute that was replaced, with its original value."""

    module: ModuleType
    name: str
    value: object


@contextmanager
def patched_modules() -> Iterator[None]:
    """Installs the replacements for the duration of the block. Blocks may be nested."""
    replaced: list[PatchedAttribute] = []
    try:
        for module, name, replacement in REPLACEMENTS:
            target = importlib.import_module(module)
            replaced.append(PatchedAttribute(target, name, getattr(target, name)))
            setattr(target, name, replacement)
        yield
    finally:
        for target, name, value in reversed(replaced):
            setattr(target, name, value)
