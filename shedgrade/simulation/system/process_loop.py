"""The event loop of a simulated process.

`ProcessLoop` implements the part of `asyncio.AbstractEventLoop` that the programs use. A process that is
stopped keeps its events until it is resumed; a process that has ended runs none.
"""

from __future__ import annotations

import asyncio
from asyncio import events
from collections.abc import Callable, Coroutine, Sized
from typing import Any, NamedTuple, Protocol, TypeVar

from shedgrade.simulation.system.host import Address, Host
from shedgrade.simulation.system.virtual_time import Callback, Event, VirtualTime

T = TypeVar("T")
ProtocolFactory = Callable[[], Any]
Context = dict[str, Any]  # as asyncio passes it to exception handlers


class LoopSocket(Protocol):
    """A socket of the simulated network, as an event loop uses it."""

    on_backlog: Callable[[], None] | None

    @property
    def backlog(self) -> Sized:
        """Connections that the process has not accepted yet."""

    def fileno(self) -> int:
        """The file descriptor."""

    def bind(self, address: Address) -> None:
        """Binds the socket to a local address."""

    def listen(self, backlog: int = 0) -> None:
        """Starts to accept connections."""

    def accept(self) -> tuple[LoopSocket, Address]:
        """Takes the next connection and its peer's address."""

    def attach(self, protocol: Any) -> tuple[asyncio.Transport, Any]:
        """Makes the transport of a connected socket, and returns it with its protocol."""

    def close(self) -> None:
        """Closes the socket."""

    def lose_power(self) -> None:
        """Drops the socket without a packet to the other side, as the machine loses power."""


class LoopNetwork(Protocol):
    """The network, as an event loop uses it."""

    def socket(self, loop: ProcessLoop) -> LoopSocket:
        """A new socket of the loop's process."""

    async def connect(self, handle: Any, address: Address) -> None:
        """Connects a socket to an address."""

    def open_datagrams(self, handle: Any, protocol: Any) -> tuple[asyncio.DatagramTransport, Any]:
        """Makes the transport of a bound UDP socket, and returns it with its protocol."""


class BoundCall(NamedTuple):
    """A callback with its arguments."""

    callback: Callback
    args: tuple[Any, ...]

    def __call__(self) -> None:
        """Calls the callback."""
        self.callback(*self.args)


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process, in virtual time.

    Attributes:
        offset: reading of the process's steady clock at virtual time 0, s.
        alive: whether the process has not ended.
        stopped: whether the process is stopped (SIGSTOP).
        held_events: events that fell due while the process was stopped; empty otherwise.
        faults: contexts that were passed to `call_exception_handler`.
        sockets: open sockets of the process.
        readers: callback of each listening socket for new connections, by descriptor.
    """

    def __init__(
        self, virtual_time: VirtualTime, network: LoopNetwork, host: Host, offset: float = 0.0
    ) -> None:
        self.virtual_time = virtual_time
        self.network = network
        self.host = host
        self.offset = offset
        self.alive = True
        self.stopped = False
        self.held_events: list[Event] = []
        self.signal_handlers: dict[int, BoundCall] = {}
        self.exception_handler: Callable[[ProcessLoop, Context], object] | None = None
        self.faults: list[Context] = []
        self.sockets: list[LoopSocket] = []
        self.readers: dict[int, BoundCall] = {}

    # --- running

    def run_event(self, event: Event) -> None:
        """Runs an event that is due. Holds it while the process is stopped, drops it after its end."""
        if not self.alive:
            return
        if self.stopped:
            self.held_events.append(event)
            return
        callback, args = event.callback, event.args
        if callback is None:
            return
        event.callback = None
        events._set_running_loop(self)
        try:
            callback(*args)
        except Exception as failure:  # as in any event loop, a failing callback does not end the process
            self.call_exception_handler({"message": "a callback failed", "exception": failure})
        finally:
            events._set_running_loop(None)

    def stop_process(self) -> None:
        """Stops the process, as by SIGSTOP."""
        self.stopped = True

    def thaw(self, io_first: bool) -> None:
        """Resumes the process, as by SIGCONT. The held events run now: timers in the order of their due
        times, socket events before them if `io_first`, else after them."""
        if not self.stopped:
            return
        self.stopped = False
        held, self.held_events = self.held_events, []
        timers = sorted((event for event in held if not event.is_io), key=lambda event: event.due)
        io_events = [event for event in held if event.is_io]
        for event in io_events + timers if io_first else timers + io_events:
            self.virtual_time.push(self.virtual_time.now, event)

    def end(self) -> None:
        """Ends the process: no more events run. Its sockets stay open; the caller closes them."""
        self.alive = False
        self.held_events = []

    # --- asyncio's interface

    def time(self) -> float:
        """The process's steady clock, s."""
        return self.virtual_time.now + self.offset

    def call_soon(self, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As in asyncio; the handle is an `Event`."""
        now = self.virtual_time.now
        event = Event(self, callback, args, now + self.offset)
        self.virtual_time.push(now, event)
        return event

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def io_soon(self, callback: Callback, *args: Any) -> None:
        """Schedules a callback for a socket of this process that is ready."""
        now = self.virtual_time.now
        self.virtual_time.push(now, Event(self, callback, args, now + self.offset, True))

    def call_later(self, delay: float, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As in asyncio; the handle is an `Event`."""
        return self.call_at(self.time() + delay, callback, *args)

    def call_at(self, when: float, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As in asyncio; the handle is an `Event`."""
        event = Event(self, callback, args, when)
        self.virtual_time.push(when - self.offset, event)
        return event

    def create_future(self) -> asyncio.Future[Any]:
        """As in asyncio."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, T], *, name: str | None = None, context: Any = None
    ) -> asyncio.Task[T]:
        """As in asyncio."""
        return asyncio.Task(coro, loop=self, name=name)

    def get_debug(self) -> bool:
        """Always False."""
        return False

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.alive

    def is_closed(self) -> bool:
        """Whether the process has ended."""
        return not self.alive

    def set_exception_handler(self, handler: Callable[[ProcessLoop, Context], object] | None) -> None:  # type: ignore[override]
        """As in asyncio."""
        self.exception_handler = handler

    def call_exception_handler(self, context: Context) -> None:
        """Records the context as a fault, and passes it to the program's handler."""
        if not self.alive:
            return  # the pending tasks of a process that has ended are destroyed
        self.faults.append(context)
        if self.exception_handler is not None:
            self.exception_handler(self, context)

    def add_signal_handler(self, sig: int, callback: Callback, *args: Any) -> None:  # type: ignore[override]
        """As in asyncio."""
        self.signal_handlers[sig] = BoundCall(callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        """As in asyncio."""
        return self.signal_handlers.pop(sig, None) is not None

    def signal(self, number: int) -> None:
        """Delivers a signal to the process. KeyError if it has no handler for the signal."""
        callback, args = self.signal_handlers[number]
        self.io_soon(callback, *args)

    # --- sockets

    def add_reader(self, fd: LoopSocket, callback: Callback, *args: Any) -> None:  # type: ignore[override]
        """As in asyncio, for listening sockets only."""
        self.readers[fd.fileno()] = BoundCall(callback, args)
        fd.on_backlog = lambda: self.run_reader(fd)
        if fd.backlog:
            self.io_soon(self.run_reader, fd)

    def run_reader(self, handle: LoopSocket) -> None:
        """Calls the reader of a listening socket, repeatedly as long as connections wait."""
        reader = self.readers.get(handle.fileno())
        if reader is not None:
            reader()
            if handle.backlog and handle.fileno() in self.readers:
                self.io_soon(self.run_reader, handle)

    def remove_reader(self, fd: LoopSocket) -> bool:  # type: ignore[override]
        """As in asyncio."""
        fd.on_backlog = None
        return self.readers.pop(fd.fileno(), None) is not None

    async def sock_connect(self, sock: LoopSocket, address: Address) -> None:  # type: ignore[override]
        """As in asyncio."""
        await self.network.connect(sock, address)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: ProtocolFactory,
        host: str = "",
        port: int = 0,
        *,
        sock: LoopSocket | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, Any]:
        """As in asyncio."""
        if sock is None:
            sock = self.network.socket(self)
            await self.network.connect(sock, (host, port))
        return sock.attach(protocol_factory())

    async def connect_accepted_socket(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, sock: LoopSocket, **options: Any
    ) -> tuple[asyncio.Transport, Any]:
        """As in asyncio."""
        return sock.attach(protocol_factory())

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: ProtocolFactory,
        host: str = "",
        port: int = 0,
        *,
        sock: LoopSocket | None = None,
        **options: Any,
    ) -> SimulatedServer:
        """As in asyncio."""
        if sock is None:
            sock = self.network.socket(self)
            sock.bind((host, port))
        listener = sock
        listener.listen()

        def accept() -> None:
            while listener.backlog:
                connection, _ = listener.accept()
                connection.attach(protocol_factory())

        listener.on_backlog = accept
        return SimulatedServer(listener)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, *, sock: LoopSocket | None = None, **options: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """As in asyncio, with a bound socket."""
        return self.network.open_datagrams(sock, protocol_factory())


def new_process_loop(
    virtual_time: VirtualTime, network: LoopNetwork, host: Host, offset: float = 0.0
) -> ProcessLoop:
    """Makes the event loop of a new process. Programs do not use the abstract methods that it lacks."""
    return ProcessLoop(virtual_time, network, host, offset)  # type: ignore[abstract]


class SimulatedServer:
    """The server that `create_server` returns."""

    def __init__(self, socket: LoopSocket) -> None:
        self.socket = socket

    def close(self) -> None:
        """Stops accepting connections."""
        self.socket.close()
