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
    UpdateRejectedEvent,
    Watcher,
)
from shedgrade.dataplane.core_member import STALE_CONTROL_S
from shedgrade.dataplane.received_state import Update
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.peer_transport.tcp import PeerConnectionPool
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.runtime.log import logger

BODY_KIND = b"K"  # first byte of a message body, by which the control plane distinguishes the kinds of bodies
MIN_TIMER_DELAY_S = 0.001  # minimum delay of the next tick, even if it is overdue


class ControlExchange:
    """One edge's exchange with the core over `peer_connections`.

    `apply`: called with the updates to apply, in order. `version_in_force`: returns the version of the
    configuration that is in force as a whole, -1 if none is. `on_drain_target`: called for each response
    with the edges that take over this edge's clients; NO_DRAIN_TARGET if the request didn't say that this
    edge is leaving.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        peer_connections: PeerConnectionPool,
        watcher: Watcher,
        prefix_index: EdgePrefixIndex,
        apply: Callable[[tuple[Update, ...]], None],
        version_in_force: Callable[[], int],
        on_drain_target: Callable[[str], None],
    ) -> None:
        self.peer_connections = peer_connections
        self.watcher = watcher
        self._loop = loop
        self._prefix_index = prefix_index
        self._apply = apply
        self._version_in_force = version_in_force
        self._on_drain_target = on_drain_target
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def stop(self) -> None:
        """Stops the timer: requests are sent only in response to events from now on."""
        self._stopped = True
        self._cancel_timer()

    def run_instructions(self) -> None:
        """Executes the watcher's instructions and sets the timer for its next tick."""
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
            self._timer = self._loop.call_at(max(wake_at, self._loop.time() + MIN_TIMER_DELAY_S), self._tick)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self._timer = None
        self.watcher.handle_event(TickEvent(self._loop.time()))
        self.run_instructions()

    def _apply_updates(self, updates: tuple[Update, ...]) -> None:
        """Applies each update by itself: one that can't be applied keeps none of the others out, and is
        requested again."""
        for update in updates:
            try:
                self._apply((update,))
            except Exception as error:
                # Any exception: an update is code and data of other versions, and what is in force is kept.
                logger.error("control update rejected", update=type(update).__name__, error=repr(error))
                self.watcher.handle_event(
                    UpdateRejectedEvent(self._loop.time(), update, self._version_in_force())
                )

    async def _send(self, instruction: SendWatchRequest) -> None:
        """Sends one request and reports the outcome to the watcher."""
        address = instruction.address
        # Made anew: the updates that came with the instruction are applied or rejected by now.
        request = self.watcher.request(self._loop.time(), instruction.request.wait_s)
        reads: tuple = ()
        if not instruction.is_probe:
            # A probe neither reports prefix reads nor requests the prefix cache index, since each member has
            # its own versions of the index.
            reads = self._prefix_index.take_unsent()
            request = msgspec.structs.replace(
                request, observed_prefixes=reads, prefix_index_version=self._prefix_index.version
            )
        try:
            body = await self.peer_connections.call(
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
            self._on_drain_target(response.drain_target if request.edge.shutdown_stage else NO_DRAIN_TARGET)
            self.watcher.handle_event(ResponseEvent(now, address, response, instruction.number))
        else:
            self._prefix_index.restore_unsent(reads)
            self.watcher.handle_event(RequestFailedEvent(now, address, instruction.number))
        self.run_instructions()
