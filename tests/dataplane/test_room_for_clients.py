"""With all client connections in use, a client that has sent half a request makes room for a further one.

Guards against an exception while a connection is accepted, which keeps all further clients waiting.
"""

import asyncio

from ingress_rig import Client, Upstream, configuration, request, route, sidecar, whole


async def answer(received, writer):
    writer.write(whole(received, b"free: 4"))


def test_half_a_request_makes_room_if_nobody_is_idle():
    async def scenario():
        async with sidecar(configuration(route()), Upstream("i-1", answer)) as plane:
            halfway = await Client().open(plane)
            halfway.send(request()[:20])
            while not any(client.request_begun for client in plane.front.clients):
                await asyncio.sleep(0)
            plane.budget.max_clients = 1
            further = await Client().open(plane)
            further.send(request(name="id-2"))
            assert await further.head() == 200 and await further.body() == b"free: 4"
            assert await asyncio.wait_for(halfway.reader.read(), 5) == b""

    asyncio.run(scenario())


def test_a_client_with_a_request_at_an_upstream_keeps_its_connection():
    async def scenario():
        begun, release = asyncio.Event(), asyncio.Event()

        async def answer_later(received, writer):
            begun.set()
            await release.wait()
            writer.write(whole(received, b"free: 4"))

        async with sidecar(configuration(route()), Upstream("i-1", answer_later)) as plane:
            waiting = await Client().open(plane)
            waiting.send(request())
            await begun.wait()
            plane.budget.max_clients = 1
            further = await Client().open(plane)
            further.send(request(name="id-2"))
            release.set()
            assert await waiting.head() == 200 and await waiting.body() == b"free: 4"
            assert await further.head() == 200  # once the first client is idle

    asyncio.run(scenario())
