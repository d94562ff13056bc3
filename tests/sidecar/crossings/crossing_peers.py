"""Peers that force two events into the order that a test needs.

Clients whose disconnect is not read, connections that open when told, responses that are held back.
"""

import asyncio
import socket
import struct

from helpers import World, ask, message, request, until

WRITE_BYTES = (
    8 * 1024
)  # bytes of each write; small, so that the last one and a FIN fit into the kernel's buffer


class RaceWorld(World):
    """A sidecar that dials once `dial_gate` is set; its upstreams respond once `release` is set."""

    def __init__(self, upstreams=1, held=(), **more):
        """`held`: numbers of the upstreams that wait for `release`."""
        super().__init__(*(self.script(number in held) for number in range(upstreams)), **more)
        self.dial_gate, self.release, self.dialled = asyncio.Event(), asyncio.Event(), []
        self.dial_gate.set()

    def script(self, held):
        async def answer(head, body):
            if held:
                await self.release.wait()
            return message(200, body)

        return answer

    def prepare(self):
        connections = self.sidecar.pool.connections
        connect = connections.connect

        async def late(factory, address):
            self.dialled.append(address)
            await self.dial_gate.wait()
            return await connect(factory, address)

        connections.connect = late

    def bodies(self):
        return [body for upstream in self.upstreams for _, body in upstream.seen]

    async def wait_until_idle(self):
        """Waits until no request is active and all queued events are handled."""
        await until(lambda: not self.sidecar.pool.dispatcher.active_requests)
        await until(lambda: not any(getattr(one, "unread", bool)() for one in self.sidecar.front.clients))
        for _ in range(5):
            await asyncio.sleep(0.005)

    def has_settled_connection(self):
        """Whether an upstream connection has been idle for long enough to be reused."""
        connections = self.sidecar.pool.connections
        now = connections.clock.now()
        settle_time = connections.idle.settle_time
        return any(now - since >= settle_time for _, since in connections.idle.idle_since.values())

    async def send_warmup_requests(self, body):
        """Sends 20 requests one after another; `release` is set meanwhile.

        The balancer queues requests only for upstreams that it knows to be fast, and does not count the first
        request on a connection. So each request waits until it can reuse the connection of the one before.
        """
        self.release.set()
        for number in range(20):
            assert (await ask(self, request(body, name=f"w{number}")))[0] == 200
            await until(self.has_settled_connection)
        self.release.clear()


class Client:
    """A client with its own socket.

    It can send more than the sidecar reads ahead, so that its disconnect stays unread.
    """

    def __init__(self, world):
        self.socket = socket.create_connection(world.config.listen)
        self.socket.setblocking(False)

    def send(self, raw):
        self.socket.send(raw)

    async def flood(self, world, raw):
        """Sends `raw` and further requests until the sidecar stops reading; a disconnect stays unread."""
        self.send(raw)
        ahead = request(b"x" * (WRITE_BYTES - 200), name="ahead")
        while not any(one.reading_paused for one in world.sidecar.front.clients):
            self.send(ahead)
            await asyncio.sleep(0.005)

    def disconnect(self, reset):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
