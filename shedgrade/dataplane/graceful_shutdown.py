"""Carries out the graceful shutdown of a data plane: timers, cancelling and exit, as `Draining` decides."""

import asyncio
from typing import Protocol

from shedgrade.dataplane.draining import Draining
from shedgrade.runtime.log import logger

CHECK_INTERVAL_S = 0.05  # between two checks whether all requests are answered


class DrainedProcess(Protocol):
    """What the shutdown asks of the process that drains."""

    def busy(self) -> bool:
        """Whether clients are connected, or waiting to be, or requests are in flight."""

    def close_idle(self) -> None:
        """Closes clients' connections without a request."""

    def in_flight_until(self) -> float:
        """When all that is in flight has been answered at the latest, on the loop's clock."""

    def cancel_in_flight(self) -> int:
        """Gives all that is in flight its final answer. Returns how many requests that were."""

    def edge_changed(self) -> None:
        """Tells the control plane and gossip what this edge is now."""


class GracefulShutdown:
    """From SIGTERM to the end of `serve`.

    Attributes:
        draining: what is still accepted; None until SIGTERM.
        finished: set when the process is to exit; only after `draining` is there.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, process: DrainedProcess) -> None:
        self.draining: Draining | None = None
        self.finished = asyncio.Event()
        self._loop = loop
        self._process = process

    def begin(self, grace_s: float) -> None:
        """SIGTERM: clients are sent elsewhere, where there is an edge. `grace_s`: until SIGKILL."""
        if self.draining is not None:
            return
        self.draining = Draining(self._loop.time(), grace_s)
        logger.info("draining started", grace_s=grace_s)
        self._process.edge_changed()
        self._loop.call_at(self.draining.cancel_at, self._cancel)
        self._loop.call_at(self.draining.exit_at, self.finish)
        self._check(self.draining)

    def finish(self) -> None:
        """The process exits, and the control plane is told."""
        if not self.finished.is_set():
            self.finished.set()
            self._process.edge_changed()

    def accepts(self, longest_s: float) -> bool:
        """Whether a request is accepted that may need so long."""
        if self.draining is None:
            return True
        return self.draining.accepts(self._loop.time(), longest_s, self._process.in_flight_until())

    def retry_after_s(self) -> float:
        """After which an edge serves what is rejected here; 0: others do already."""
        if self.draining is None:
            return 0.0
        return self.draining.retry_after_s(self._loop.time(), self._process.in_flight_until())

    def cover_received(self, cover: str) -> None:
        """The control plane has said which edges take over the clients."""
        if self.draining is not None:
            self.draining.cover_received(self._loop.time(), cover)

    def _check(self, draining: Draining) -> None:
        """Ends the process once all requests are answered. Guards against a fault of our own, which must not
        end the checks: the next one is due before anything is done."""
        if self.finished.is_set():
            return
        self._loop.call_later(CHECK_INTERVAL_S, self._check, draining)
        if draining.may_exit(self._loop.time()):
            self._process.close_idle()
            if not self._process.busy():
                self.finish()

    def _cancel(self) -> None:
        """Whatever is in flight gets its final answer while that can still be sent."""
        cancelled = self._process.cancel_in_flight()
        if cancelled:
            logger.warning("requests cancelled at the end of draining", requests=cancelled)
