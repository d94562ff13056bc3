"""What forces two events to cross, in the order that a test wants: clients whose end is not read, connections
that come up when told, answers that are held."""

import asyncio
import socket
import struct

from helpers import World, message, request, until

PIECE = 8 * 1024  # bytes sent at once until no more is read: the rest, and the end, fit into the kernel


class Crossed(World):
    """A sidecar whose dials come up when `gate` is opened, among upstreams that answer on `release`."""

    def __init__(self, upstreams=1, held=(), **more):
        """`held`: numbers of the upstreams that wait for `release`."""
        super().__init__(*(self.script(number in held) for number in range(upstreams)), **more)
        self.gate, self.release, self.dialled = asyncio.Event(), asyncio.Event(), []
        self.gate.set()

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
            await self.gate.wait()
            return await connect(factory, address)

        connections.connect = late

    def bodies(self):
        return [body for upstream in self.upstreams for _, body in upstream.seen]

    async def quiet(self):
        """Until nothing is in hand, and all that was gathered is carried out."""
        await until(lambda: not self.sidecar.pool.dispatcher.active_requests)
        await until(lambda: not any(getattr(one, "unread", bool)() for one in self.sidecar.front.clients))
        for _ in range(5):
            await asyncio.sleep(0.005)


class Client:
    """A client on a socket of its own. Behind its request it may send more than the sidecar reads ahead, so
    that its end is not read either."""

    def __init__(self, world):
        self.socket = socket.create_connection(world.config.listen)
        self.socket.setblocking(False)

    def send(self, raw):
        self.socket.send(raw)

    async def flood(self, world, raw):
        """`raw`, and further requests behind it until the sidecar reads no more: its end is here, unread."""
        self.send(raw)
        ahead = request(b"x" * (PIECE - 200), name="ahead")
        while not any(one.reading_paused for one in world.sidecar.front.clients):
            self.send(ahead)
            await asyncio.sleep(0.005)

    def leave(self, reset):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
