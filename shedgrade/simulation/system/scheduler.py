"""Virtual time that all simulated processes share, and the event loop that each of them runs on.

`ProcessLoop` is the part of `asyncio.AbstractEventLoop` that the programs use. Nothing here waits: an event
is run at its time, and time jumps from one event to the next. A process that is stopped keeps its events
until it is thawed; one that ended runs none any more.
"""

from __future__ import annotations

import asyncio
from asyncio import events
from collections.abc import Callable, Coroutine
from heapq import heappop, heappush


class Event:
    """One callback and its time. It is also the handle that an event loop gives back."""

    __slots__ = ("loop", "call", "args", "due", "is_io")

    def __init__(
        self, loop: ProcessLoop | None, call: Callable, args: tuple, due: float, is_io: bool = False
    ) -> None:
        self.loop, self.call, self.args, self.due, self.is_io = loop, call, args, due, is_io

    def cancel(self) -> None:
        self.call, self.args = None, ()

    def cancelled(self) -> bool:
        return self.call is None

    def when(self) -> float:
        return self.due


class VirtualTime:
    """Runs events in the order of their times (seconds); equal times in the order they were asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Event]] = []
        self.count = 0  # events that were ever asked for

    def at(self, time: float, call: Callable, *args) -> Event:
        """Calls outside of any process, at `time`; now if that is past."""
        event = Event(None, call, args, time)
        self.push(time, event)
        return event

    def after(self, delay_s: float, call: Callable, *args) -> Event:
        return self.at(self.now + delay_s, call, *args)

    def push(self, time: float, event: Event) -> None:
        self.count += 1
        heappush(self.heap, (time if time > self.now else self.now, self.count, event))

    def run(self, until: float) -> None:
        """Runs all events up to that time. May be called from within a running event loop."""
        heap = self.heap
        outer = events._get_running_loop()
        try:
            while heap and heap[0][0] <= until:
                self.now, _, event = heappop(heap)
                if event.call is None:
                    continue
                if event.loop is None:
                    event.call(*event.args)
                else:
                    event.loop.run_event(event)
        finally:
            events._set_running_loop(outer)
        self.now = until


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process, on the shared time. `network` makes its sockets (`network.py`).

    `offset` is the reading of its steady clock when virtual time is 0. To be looked at: `faults`, what
    reached `call_exception_handler`.
    """

    def __init__(self, virtual_time: VirtualTime, network, host, offset: float = 0.0) -> None:
        self.virtual_time, self.network, self.host, self.offset = virtual_time, network, host, offset
        self.alive, self.stopped = True, False
        self.held: list[Event] = []  # what fell due while the process was stopped
        self.signal_handlers: dict[int, tuple[Callable, tuple]] = {}
        self.exception_handler: Callable | None = None
        self.faults: list[dict] = []
        self.sockets: list = []  # open ones of this process, to be closed with it
        self.readers: dict[int, tuple[Callable, tuple]] = {}

    # --- running

    def run_event(self, event: Event) -> None:
        if not self.alive:
            return
        if self.stopped:
            self.held.append(event)
            return
        call, args = event.call, event.args
        event.call = None
        events._set_running_loop(self)
        try:
            call(*args)
        except Exception as failure:
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
        held, self.held = self.held, []
        timers = sorted((event for event in held if not event.is_io), key=lambda event: event.due)
        from_sockets = [event for event in held if event.is_io]
        for event in from_sockets + timers if io_first else timers + from_sockets:
            self.virtual_time.push(self.virtual_time.now, event)

    def end(self) -> None:
        """The process is gone; its sockets are the network's matter."""
        self.alive = False
        self.held = []

    # --- what a program asks of its loop

    def time(self) -> float:
        return self.virtual_time.now + self.offset

    def call_soon(self, callback, *args, context=None) -> Event:
        now = self.virtual_time.now
        event = Event(self, callback, args, now + self.offset)
        self.virtual_time.push(now, event)
        return event

    call_soon_threadsafe = call_soon

    def io_soon(self, callback, *args) -> None:
        """A socket of this process is ready."""
        now = self.virtual_time.now
        self.virtual_time.push(now, Event(self, callback, args, now + self.offset, True))

    def call_later(self, delay, callback, *args, context=None) -> Event:
        return self.call_at(self.time() + delay, callback, *args)

    def call_at(self, when, callback, *args, context=None) -> Event:
        event = Event(self, callback, args, when)
        self.virtual_time.push(when - self.offset, event)
        return event

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name=None, context=None) -> asyncio.Task:
        return asyncio.Task(coro, loop=self, name=name)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return self.alive

    def is_closed(self) -> bool:
        return not self.alive

    def set_exception_handler(self, handler) -> None:
        self.exception_handler = handler

    def call_exception_handler(self, context: dict) -> None:
        if not self.alive:
            return  # tasks of a process that ended are destroyed while they wait
        self.faults.append(context)
        if self.exception_handler is not None:
            self.exception_handler(self, context)

    def add_signal_handler(self, sig, callback, *args) -> None:
        self.signal_handlers[sig] = (callback, args)

    def remove_signal_handler(self, sig) -> bool:
        return self.signal_handlers.pop(sig, None) is not None

    def signal(self, number: int) -> None:
        """The process gets a signal that it handles."""
        callback, args = self.signal_handlers[number]
        self.io_soon(callback, *args)

    # --- sockets

    def add_reader(self, fd, callback, *args) -> None:
        self.readers[fd.fileno()] = callback, args
        fd.on_backlog = lambda: self.run_reader(fd)
        if fd.backlog:
            self.io_soon(self.run_reader, fd)

    def run_reader(self, handle) -> None:
        found = self.readers.get(handle.fileno())
        if found is not None:
            callback, args = found
            callback(*args)
            if handle.backlog and handle.fileno() in self.readers:
                self.io_soon(self.run_reader, handle)

    def remove_reader(self, fd) -> bool:
        fd.on_backlog = None
        return self.readers.pop(fd.fileno(), None) is not None

    async def sock_connect(self, sock, address) -> None:
        await self.network.connect(sock, address)

    async def create_connection(self, protocol_factory, host=None, port=None, *, sock=None, **more):
        if sock is None:
            sock = self.network.socket(self)
            await self.network.connect(sock, (host, port))
        return sock.attach(protocol_factory())

    async def connect_accepted_socket(self, protocol_factory, sock, **more):
        return sock.attach(protocol_factory())

    async def create_server(self, protocol_factory, host=None, port=None, *, sock=None, **more):
        if sock is None:
            sock = self.network.socket(self)
            sock.bind((host, port))
        sock.listen()

        def accept() -> None:
            while sock.backlog:
                connection, _ = sock.accept()
                connection.attach(protocol_factory())

        sock.on_backlog = accept
        return SimulatedServer(sock)

    async def create_datagram_endpoint(self, protocol_factory, *, sock=None, **more):
        return self.network.open_datagrams(sock, protocol_factory())


class SimulatedServer:
    """What `create_server` gives back."""

    def __init__(self, socket) -> None:
        self.socket = socket

    def close(self) -> None:
        self.socket.close()
