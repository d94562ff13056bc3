"""The event loop of a simulated process.

`ProcessLoop` is the part of `asyncio.AbstractEventLoop` that the programs use. A process that is stopped
keeps its events until it is thawed; one that has ended runs none any more.
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
Context = dict[str, Any]  # as asyncio hands it to exception handlers


class LoopSocket(Protocol):
    """A socket of the simulated network, as an event loop uses it."""

    on_backlog: Callable[[], None] | None

    @property
    def backlog(self) -> Sized:
        """Connections that are not accepted yet."""

    def fileno(self) -> int:
        """Its descriptor."""

    def bind(self, address: Address) -> None:
        """Takes a local address."""

    def listen(self, backlog: int = 0) -> None:
        """Accepts connections from now on."""

    def accept(self) -> tuple[LoopSocket, Address]:
        """The next connection."""

    def attach(self, protocol: Any) -> tuple[asyncio.Transport, Any]:
        """Makes the transport of a connected socket."""

    def close(self) -> None:
        """Closes it."""

    def lose_power(self) -> None:
        """Its machine forgets it."""


class LoopNetwork(Protocol):
    """The network, as an event loop uses it."""

    def socket(self, loop: ProcessLoop) -> LoopSocket:
        """A new socket of the loop's process."""

    async def connect(self, handle: Any, address: Address) -> None:
        """Connects a socket."""

    def open_datagrams(self, handle: Any, protocol: Any) -> tuple[asyncio.DatagramTransport, Any]:
        """Makes the transport of a bound UDP socket."""


class BoundCall(NamedTuple):
    """A callback with its arguments."""

    callback: Callback
    args: tuple[Any, ...]

    def __call__(self) -> None:
        """Calls it."""
        self.callback(*self.args)


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process, on the shared time.

    Attributes:
        offset: reading of the process's steady clock at virtual time 0, seconds.
        alive: the process has not ended.
        stopped: the process stands still (SIGSTOP).
        held_events: what fell due while it was stopped; empty otherwise.
        faults: contexts that reached `call_exception_handler`.
        sockets: open sockets of the process.
        readers: by descriptor, what is called when a listening socket has connections.
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
        """Runs an event that is due."""
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
        except Exception as failure:  # as any event loop: a callback that fails doesn't end the process
            self.call_exception_handler({"message": "a callback failed", "exception": failure})
        finally:
            events._set_running_loop(None)

    def stop_process(self) -> None:
        """SIGSTOP."""
        self.stopped = True

    def thaw(self, io_first: bool) -> None:
        """SIGCONT. What fell due runs now: timers in the order of their times, and what sockets have."""
        if not self.stopped:
            return
        self.stopped = False
        held, self.held_events = self.held_events, []
        timers = sorted((event for event in held if not event.is_io), key=lambda event: event.due)
        from_sockets = [event for event in held if event.is_io]
        for event in from_sockets + timers if io_first else timers + from_sockets:
            self.virtual_time.push(self.virtual_time.now, event)

    def end(self) -> None:
        """The process is gone; its sockets are the network's matter."""
        self.alive = False
        self.held_events = []

    # --- what a program asks of its loop

    def time(self) -> float:
        """The process's steady clock, seconds."""
        return self.virtual_time.now + self.offset

    def call_soon(self, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As asyncio's; the handle is an `Event`."""
        now = self.virtual_time.now
        event = Event(self, callback, args, now + self.offset)
        self.virtual_time.push(now, event)
        return event

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def io_soon(self, callback: Callback, *args: Any) -> None:
        """A socket of this process is ready."""
        now = self.virtual_time.now
        self.virtual_time.push(now, Event(self, callback, args, now + self.offset, True))

    def call_later(self, delay: float, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As asyncio's; the handle is an `Event`."""
        return self.call_at(self.time() + delay, callback, *args)

    def call_at(self, when: float, callback: Callback, *args: Any, context: Any = None) -> Event:  # type: ignore[override]
        """As asyncio's; the handle is an `Event`."""
        event = Event(self, callback, args, when)
        self.virtual_time.push(when - self.offset, event)
        return event

    def create_future(self) -> asyncio.Future[Any]:
        """As asyncio's."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, T], *, name: str | None = None, context: Any = None
    ) -> asyncio.Task[T]:
        """As asyncio's."""
        return asyncio.Task(coro, loop=self, name=name)

    def get_debug(self) -> bool:
        """Never in debug mode."""
        return False

    def is_running(self) -> bool:
        """Until the process has ended."""
        return self.alive

    def is_closed(self) -> bool:
        """Once the process has ended."""
        return not self.alive

    def set_exception_handler(self, handler: Callable[[ProcessLoop, Context], object] | None) -> None:  # type: ignore[override]
        """As asyncio's."""
        self.exception_handler = handler

    def call_exception_handler(self, context: Context) -> None:
        """Keeps the context as a fault, and hands it to the program's handler."""
        if not self.alive:
            return  # tasks of a process that ended are destroyed while they wait
        self.faults.append(context)
        if self.exception_handler is not None:
            self.exception_handler(self, context)

    def add_signal_handler(self, sig: int, callback: Callback, *args: Any) -> None:  # type: ignore[override]
        """As asyncio's."""
        self.signal_handlers[sig] = BoundCall(callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        """As asyncio's."""
        return self.signal_handlers.pop(sig, None) is not None

    def signal(self, number: int) -> None:
        """The process gets a signal that it handles."""
        callback, args = self.signal_handlers[number]
        self.io_soon(callback, *args)

    # --- sockets

    def add_reader(self, fd: LoopSocket, callback: Callback, *args: Any) -> None:  # type: ignore[override]
        """As asyncio's, for listening sockets only."""
        self.readers[fd.fileno()] = BoundCall(callback, args)
        fd.on_backlog = lambda: self.run_reader(fd)
        if fd.backlog:
            self.io_soon(self.run_reader, fd)

    def run_reader(self, handle: LoopSocket) -> None:
        """A listening socket has connections: its reader is called as long as there are any."""
        reader = self.readers.get(handle.fileno())
        if reader is not None:
            reader()
            if handle.backlog and handle.fileno() in self.readers:
                self.io_soon(self.run_reader, handle)

    def remove_reader(self, fd: LoopSocket) -> bool:  # type: ignore[override]
        """As asyncio's."""
        fd.on_backlog = None
        return self.readers.pop(fd.fileno(), None) is not None

    async def sock_connect(self, sock: LoopSocket, address: Address) -> None:  # type: ignore[override]
        """As asyncio's."""
        await self.network.connect(sock, address)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: ProtocolFactory,
        host: str = "",
        port: int = 0,
        *,
        sock: LoopSocket | None = None,
        **more: Any,
    ) -> tuple[asyncio.Transport, Any]:
        """As asyncio's."""
        if sock is None:
            sock = self.network.socket(self)
            await self.network.connect(sock, (host, port))
        return sock.attach(protocol_factory())

    async def connect_accepted_socket(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, sock: LoopSocket, **more: Any
    ) -> tuple[asyncio.Transport, Any]:
        """As asyncio's."""
        return sock.attach(protocol_factory())

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: ProtocolFactory,
        host: str = "",
        port: int = 0,
        *,
        sock: LoopSocket | None = None,
        **more: Any,
    ) -> SimulatedServer:
        """As asyncio's."""
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
        self, protocol_factory: ProtocolFactory, *, sock: LoopSocket | None = None, **more: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """As asyncio's, with a bound socket."""
        return self.network.open_datagrams(sock, protocol_factory())


def new_process_loop(
    virtual_time: VirtualTime, network: LoopNetwork, host: Host, offset: float = 0.0
) -> ProcessLoop:
    """The loop of a new process. What it lacks of an event loop the programs don't use."""
    return ProcessLoop(virtual_time, network, host, offset)  # type: ignore[abstract]


class SimulatedServer:
    """What `create_server` gives back."""

    def __init__(self, socket: LoopSocket) -> None:
        self.socket = socket

    def close(self) -> None:
        """Accepts no more connections."""
        self.socket.close()
