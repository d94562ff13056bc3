"""Carries out the watcher's instructions: sends its requests over the peer transport, and applies updates."""

import asyncio
from collections.abc import Callable
from math import inf

import msgspec

from shedgrade import control_messages
from shedgrade.control_messages import NO_DRAIN_TARGET, WatchResponse
from shedgrade.dataplane.control_client import (
    ApplyUpdates,
    RequestFailedEvent,
    ResponseEvent,
    SendWatchRequest,
    TickEvent,
    Watcher,
)
from shedgrade.dataplane.core_member import STALE_CONTROL_S
from shedgrade.dataplane.received_state import Update
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.peer_transport.tcp import PeerConnectionPool
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.runtime.log import logger

BODY_KIND = b"K"  # the first byte of a body, by which the control plane tells its kinds apart
LEAST_TIMER_S = 0.001  # until the next tick, however long it is due


class ControlExchange:
    """One edge's exchange with the core, over `links`.

    `apply`: is handed what is to be applied, in order. `cover_received`: is told which edges take over the
    clients of this one, as each response says; NO_DRAIN_TARGET where the request did not say that this edge
    leaves.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: PeerConnectionPool,
        watcher: Watcher,
        prefix_index: EdgePrefixIndex,
        apply: Callable[[tuple[Update, ...]], None],
        cover_received: Callable[[str], None],
    ) -> None:
        self.links = links
        self.watcher = watcher
        self._loop = loop
        self._prefix_index = prefix_index
        self._apply = apply
        self._cover_received = cover_received
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def stop(self) -> None:
        """No request is due by time alone any more; what an event leads to is still sent."""
        self._stopped = True
        self._cancel_timer()

    def run_instructions(self) -> None:
        """Carries out what the watcher wants, and sets the timer for its next tick."""
        for instruction in self.watcher.take_instructions():
            match instruction:
                case SendWatchRequest():
                    task = self._loop.create_task(self._send(instruction))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case ApplyUpdates(updates):
                    self._apply_updates(updates)
        self._cancel_timer()
        wake_at = self.watcher.wake_at()
        if wake_at != inf and not self._stopped:
            self._timer = self._loop.call_at(max(wake_at, self._loop.time() + LEAST_TIMER_S), self._tick)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self._timer = None
        self.watcher.handle_event(TickEvent(self._loop.time()))
        self.run_instructions()

    def _apply_updates(self, updates: tuple[Update, ...]) -> None:
        try:
            self._apply(updates)
        except (ValueError, TypeError, AttributeError) as error:
            # Guards against state of another version: what was in force stays.
            logger.error("control update rejected", error=repr(error))

    async def _send(self, instruction: SendWatchRequest) -> None:
        """Sends one request, and hands the watcher what became of it."""
        address = instruction.address
        request = instruction.request
        reads: tuple = ()
        if not instruction.is_probe:
            # Versions of the prefix cache index are one member's own: a probe of another member asks for
            # none.
            reads = self._prefix_index.take_unsent()
            request = msgspec.structs.replace(
                request, prefix_reads=reads, prefix_index_version=self._prefix_index.version
            )
        try:
            body = await self.links.call(
                address, BODY_KIND + control_messages.encode(request), instruction.timeout_s
            )
            response = control_messages.decode(body[1:])
        except (PeerCallError, msgspec.MsgspecError, ValueError):
            response = None
        now = self._loop.time()
        if isinstance(response, WatchResponse):
            if not instruction.is_probe:
                self._prefix_index.apply_response(
                    now, response.primary_age_s < STALE_CONTROL_S, response.prefix_index
                )
            self._cover_received(response.drain_target if request.edge.shutdown_stage else NO_DRAIN_TARGET)
            self.watcher.handle_event(ResponseEvent(now, address, response, instruction.number))
        else:
            self._prefix_index.restore_unsent(reads)
            self.watcher.handle_event(RequestFailedEvent(now, address, instruction.number))
        self.run_instructions()
