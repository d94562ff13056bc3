"""An asyncio loop whose time is ours: where it would wait, time goes on at once."""

import asyncio
import selectors


class Selector(selectors.SelectSelector):
    loop: "VirtualLoop"

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout is None:
            raise AssertionError("everybody waits, and nothing will come")
        if not found and timeout > 0:
            self.loop.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """`peers`: by (host, port), what makes the far end of a connection: called with the protocol, it gives a
    transport."""

    def __init__(self) -> None:
        self.now, self.peers = 1000.0, {}
        selector = Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    async def create_connection(self, protocol_factory, host=None, port=None, **more):
        protocol = protocol_factory()
        transport = self.peers[(host, port)](protocol)
        if transport is None:
            await asyncio.sleep(10**6)  # behind a cut: nobody answers
        protocol.connection_made(transport)
        return transport, protocol


def play(scene) -> None:
    """Runs `scene(loop)` to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scene(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
