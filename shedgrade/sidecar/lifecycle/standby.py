"""Standing by: an operator has drained the sidecar, but the process stays until it resumes."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

# Of standing by, after which idle connections are closed: new ones come for 0.3 s, and after 2 s no request
# may come on a kept one.
CLOSE_IDLE_AFTER_S = 1.0
POLL_INTERVAL_S = 0.05  # between two looks at what is idle


class Standby:
    """Closes idle connections while the sidecar stands by.

    Attributes:
        timer: of the next look; None unless the sidecar stands by.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """The sidecar stands by from now on."""
        self.timer = self.sidecar.loop.call_later(CLOSE_IDLE_AFTER_S, self.close_idle)

    def close_idle(self) -> None:
        """Closes what is idle, again and again."""
        self.sidecar.close_idle()
        self.timer = self.sidecar.loop.call_later(POLL_INTERVAL_S, self.close_idle)

    def end(self) -> None:
        """The sidecar stands by no longer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
