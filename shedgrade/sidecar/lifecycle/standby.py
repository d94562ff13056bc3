"""Standby: after an operator's `drain`, the process sends its clients away but runs on, until `resume`."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

# After the start of standby. Clients open new connections for 0.3 s; after 2 s no request may arrive any more
# on an open connection.
CLOSE_IDLE_AFTER_S = 1.0
CLOSE_IDLE_INTERVAL_S = 0.05  # between two calls of `close_idle`


class Standby:
    """Closes idle connections while the sidecar stands by.

    Attributes:
        timer: runs `close_idle` the next time; None unless the sidecar stands by.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Starts closing idle connections, after CLOSE_IDLE_AFTER_S."""
        self.timer = self.sidecar.loop.call_later(CLOSE_IDLE_AFTER_S, self.close_idle)

    def close_idle(self) -> None:
        """Closes idle connections, and schedules the next call."""
        self.sidecar.close_idle()
        self.timer = self.sidecar.loop.call_later(CLOSE_IDLE_INTERVAL_S, self.close_idle)

    def end(self) -> None:
        """Stops closing idle connections."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
