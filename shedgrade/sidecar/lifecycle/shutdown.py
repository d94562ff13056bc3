"""The shutdown after SIGTERM: how long the sidecar accepts connections, and when it cuts the remaining ones.

The times follow from the clients and the platform: new connections may arrive for 0.4 s after SIGTERM, and
SIGKILL comes 0.7 s after the longest hard deadline at the earliest.
"""

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from shedgrade.sidecar.lifecycle.phases import Phase

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

LISTENER_CLOSE_DELAY_S = 0.5  # after SIGTERM
# After SIGTERM. A request that is sent while its connection is being closed is sent again on a new one, which
# a process must still accept.
IDLE_CLOSE_DELAY_S = 0.4
FINAL_ANSWER_DELAY_S = 0.6  # after the longest hard deadline: remaining requests are ended with a response
FINAL_ANSWER_FLUSH_S = 0.06  # for these last responses to be sent
POLL_INTERVAL_S = 0.05  # between two checks whether all connections are closed


class Shutdown:
    """Drains the sidecar, and sets `done` once all connections are closed or the time is over.

    Attributes:
        done: set when the process may exit.
        final_answers_at: when remaining requests are ended with a response, by the loop's clock; 0 before
            SIGTERM. A reload does not change it: the time of SIGKILL was fixed when SIGTERM was sent.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.loop = sidecar.loop
        self.done = asyncio.Event()
        self.final_answers_at = 0.0

    def begin(self) -> None:
        """Starts the shutdown at SIGTERM; has no effect the second time."""
        sidecar = self.sidecar
        if sidecar.phase in (Phase.SERVING, Phase.STANDING_BY):
            sidecar.standby.end()
            sidecar.enter(Phase.DRAINING)
            self.final_answers_at = (
                self.loop.time() + sidecar.pool.longest_hard_deadline_s + FINAL_ANSWER_DELAY_S
            )
            self.loop.call_later(IDLE_CLOSE_DELAY_S, sidecar.front.close_idle)
            self.loop.call_later(LISTENER_CLOSE_DELAY_S, self.stop_accepting)
            self.loop.call_at(self.final_answers_at, self.finish)

    def stop_accepting(self) -> None:
        """Closes the listeners once no connection waits to be accepted."""
        sidecar = self.sidecar
        if sidecar.listener.waiting() or any(
            feature.has_pending_connections() for feature in sidecar.features
        ):
            self.loop.call_later(POLL_INTERVAL_S, self.stop_accepting)
            return
        sidecar.listener.close()
        for feature in sidecar.features:
            feature.stop_accepting()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections repeatedly, until no connection is open and no request is in flight."""
        self.sidecar.close_idle()
        if self.in_flight():
            self.loop.call_later(POLL_INTERVAL_S, self.close_idle)
        else:
            self.done.set()

    def in_flight(self) -> int:
        """Returns the number of open connections and requests in flight."""
        sidecar = self.sidecar
        own = len(sidecar.front.clients) + len(sidecar.pool.dispatcher.active_requests)
        return own + sum(feature.in_flight() for feature in sidecar.features)

    def finish(self) -> None:
        """Stops the attempts of all remaining requests, and responds to their clients before SIGKILL."""
        if self.done.is_set():
            return
        sidecar = self.sidecar
        pools = [sidecar.pool, *(pool for feature in sidecar.features for pool in feature.own_pools())]
        logger.warning(
            "connections cut at shutdown",
            connections=len(sidecar.front.clients),
            requests_answered=sum(len(pool.dispatcher.active_requests) for pool in pools),
        )
        for pool in pools:
            pool.dispatcher.conclude()
        self.loop.call_later(FINAL_ANSWER_FLUSH_S, self.done.set)
