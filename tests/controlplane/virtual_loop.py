"""An asyncio event loop with virtual time: instead of waiting, it advances its clock."""

import asyncio
import selectors


class VirtualSelector(selectors.SelectSelector):
    loop: "VirtualLoop"

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout is None:
            raise AssertionError("all tasks wait, and no event is scheduled")
        if not events and timeout > 0:
            self.loop.now += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """`peers`: by (host, port), a function that connects a protocol to the far end and returns its transport,
    or None if the far end never answers."""

    def __init__(self) -> None:
        self.now, self.peers = 1000.0, {}
        selector = VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        protocol = protocol_factory()
        transport = self.peers[(host, port)](protocol)
        if transport is None:
            await asyncio.sleep(10**6)  # the far end is partitioned off and never answers
        protocol.connection_made(transport)
        return transport, protocol


def run_scenario(scenario) -> None:
    """Runs the coroutine `scenario(loop)` to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
