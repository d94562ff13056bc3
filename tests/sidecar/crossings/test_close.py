"""Closing a client connection on which something else is in progress."""

import asyncio
import socket

import pytest
from crossing_peers import RaceWorld
from helpers import PATIENT, message, on_sockets, read_message, request, until

from shedgrade.http.connection_pool import SETTLE_TIME
from shedgrade.http.idle_connections import IdleConnections


@pytest.mark.parametrize("size", [10, 60_000, 3_000_000])
def test_a_close_on_unread_bytes_does_not_lose_the_response(size):
    """Closing on unread bytes resets the connection, by which the client lost the rest of its response."""

    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=1, methods=[PATIENT]) as world:
            release = asyncio.Event()

            async def answer(head, body):
                await release.wait()
                return message(200, b"z" * size)

            world.upstreams[0].script = answer
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(world.config.listen)
            client.setblocking(False)
            client.send(request(b"one", "/m/7", 15000, "a1", "Connection: close"))
            await until(lambda: world.sent() == 1)
            link = next(iter(world.sidecar.front.clients))
            link.transport.pause_reading()
            client.send(b"more that was never asked for" * 100)
            release.set()
            await asyncio.sleep(0.1)  # enough for any close to happen; the client has read nothing
            reader, writer = await asyncio.open_connection(sock=client, limit=2**23)
            async with asyncio.timeout(20):
                head, body = await read_message(reader)
            assert head[0].split()[1] == "200" and body == b"z" * size
            writer.close()
            await until(lambda: not world.sidecar.front.clients)

    scenario()


def test_a_connection_settles_before_it_is_reused():
    """A connection reused within 2 ms delivered late bytes, behind the last response, to the next request.

    In five runs all 48 late responses came after 1.6 to 3.9 ms.
    """
    idle = IdleConnections(150_000, SETTLE_TIME)
    idle.put(0, "link", 1000)
    assert idle.take(0, 1000 + 39) is None and idle.take(0, 1000 + 100) == "link"
