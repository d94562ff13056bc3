"""Standby: an operator has drained the sidecar, and the process stays until it resumes."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

# After the start of standby. New connections arrive for 0.3 s, and after 2 s no request may arrive on a kept
# connection.
CLOSE_IDLE_AFTER_S = 1.0
POLL_INTERVAL_S = 0.05  # between two passes that close idle connections


class Standby:
    """Closes idle connections while the sidecar stands by.

    Attributes:
        timer: the next pass; None unless the sidecar stands by.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Starts closing idle connections, after CLOSE_IDLE_AFTER_S."""
        self.timer = self.sidecar.loop.call_later(CLOSE_IDLE_AFTER_S, self.close_idle)

    def close_idle(self) -> None:
        """Closes idle connections, and schedules the next pass."""
        self.sidecar.close_idle()
        self.timer = self.sidecar.loop.call_later(POLL_INTERVAL_S, self.close_idle)

    def end(self) -> None:
        """Stops closing idle connections."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
