"""Reports this edge's requests in flight per upstream to the core, and applies those of the other edges."""

import asyncio
from collections.abc import Callable, Mapping

from shedgrade import control_messages
from shedgrade.load_reports import LoadReporter, LoadUpdate, PeerLoads
from shedgrade.peer_transport.tcp import PeerConnectionPool

BODY_KIND = b"K"  # first byte of a message body, by which the control plane distinguishes the kinds of bodies


class LoadExchange:
    """`own_loads()`: requests in flight here, by upstream. `apply`: called with the other edges' sums."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        peer_connections: PeerConnectionPool,
        reporter: LoadReporter,
        own_loads: Callable[[], dict[int, int]],
        apply: Callable[[Mapping[int, int]], None],
    ) -> None:
        self.peer_connections = peer_connections
        self._loop = loop
        self._reporter = reporter
        self.other_edges = PeerLoads()
        self._own_loads = own_loads
        self._apply = apply

    def send_report(self, address: str | None) -> None:
        """Sends a report to the core member at `address`, if there is one and a report is due."""
        now = self._loop.time()
        if self.other_edges.forget_if_stale(now):
            self._apply({})
        if address is None:
            return
        report = self._reporter.report(now, address, self._own_loads(), len(self.other_edges.loads))
        if report is not None:
            self.peer_connections.send(address, BODY_KIND + control_messages.encode(report))

    def take(self, loads: LoadUpdate) -> None:
        """Applies the other edges' requests in flight, as sent by the core."""
        self.other_edges.apply(self._loop.time(), loads)
        self._apply(self.other_edges.loads)
