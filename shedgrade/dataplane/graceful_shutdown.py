"""Executes the graceful shutdown of a data plane, as `Draining` decides: timers, cancellation and exit."""

import asyncio
from typing import Protocol

from shedgrade.dataplane.draining import Draining
from shedgrade.runtime.log import logger

CHECK_INTERVAL_S = 0.05  # between two checks whether all requests are answered


class DrainedProcess(Protocol):
    """The process that drains, as the shutdown uses it."""

    def busy(self) -> bool:
        """Whether clients are connected or waiting for a connection, or requests are in flight."""

    def close_idle(self) -> None:
        """Closes client connections without a request."""

    def in_flight_until(self) -> float:
        """When all requests in flight will have been answered at the latest, on the loop's clock."""

    def cancel_in_flight(self) -> int:
        """Gives all requests in flight a final answer. Returns how many there were."""

    def edge_changed(self) -> None:
        """Reports this edge's new status to the control plane and to gossip."""


class GracefulShutdown:
    """The shutdown from SIGTERM to the end of `serve`.

    Attributes:
        draining: decides which requests are still accepted; None until SIGTERM.
        finished: set when the process is to exit; only after `draining` is set.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, process: DrainedProcess) -> None:
        self.draining: Draining | None = None
        self.finished = asyncio.Event()
        self._loop = loop
        self._process = process

    def begin(self, grace_s: float) -> None:
        """Starts draining at SIGTERM; clients are sent to other edges if there are any. `grace_s`: time until
        SIGKILL."""
        if self.draining is not None:
            return
        self.draining = Draining(self._loop.time(), grace_s)
        logger.info("draining started", grace_s=grace_s)
        self._process.edge_changed()
        self._loop.call_at(self.draining.cancel_at, self._cancel)
        self._loop.call_at(self.draining.exit_at, self.finish)
        self._check(self.draining)

    def finish(self) -> None:
        """Lets the process exit and reports this to the control plane."""
        if not self.finished.is_set():
            self.finished.set()
            self._process.edge_changed()

    def accepts(self, longest_s: float) -> bool:
        """Whether a request is accepted that may take `longest_s`."""
        if self.draining is None:
            return True
        return self.draining.accepts(self._loop.time(), longest_s, self._process.in_flight_until())

    def retry_after_s(self) -> float:
        """The time after which an edge serves the requests rejected here; 0 if others serve already."""
        if self.draining is None:
            return 0.0
        return self.draining.retry_after_s(self._loop.time(), self._process.in_flight_until())

    def on_drain_target(self, drain_target: str) -> None:
        """Records the control plane's statement on which edges take over the clients."""
        if self.draining is not None:
            self.draining.on_drain_target(self._loop.time(), drain_target)

    def _check(self, draining: Draining) -> None:
        """Ends the process once all requests are answered. Guards against an exception in this check, which
        must not stop the checks: the next one is scheduled first."""
        if self.finished.is_set():
            return
        self._loop.call_later(CHECK_INTERVAL_S, self._check, draining)
        if draining.may_exit(self._loop.time()):
            self._process.close_idle()
            if not self._process.busy():
                self.finish()

    def _cancel(self) -> None:
        """Gives requests still in flight a final answer while it can still be sent."""
        cancelled = self._process.cancel_in_flight()
        if cancelled:
            logger.warning("requests cancelled at the end of draining", requests=cancelled)
