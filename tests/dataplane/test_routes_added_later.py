"""Routes and services that a later configuration adds are served like the first ones."""

import asyncio

from ingress_rig import Client, Upstream, configuration, request, route, sidecar, whole

from shedgrade.served_routes import Routes

REQUESTS = 20


def test_a_service_added_by_a_later_configuration_has_its_upstreams_at_once():
    """Its upstreams were on the list before any route led to them."""

    async def answer(request, writer):
        writer.write(whole(request, b"whole"))

    async def scenario():
        first, later = Upstream("i-1", answer), Upstream("i-2", answer)
        later.service = "later"
        old, new = route(), route(path_prefix="/b/", name="new", service="later")
        async with sidecar(configuration(old), first, later) as plane:
            both = configuration(old, new, services=("lm", "later"))
            plane.state.apply_configuration(Routes(both, plane.state.regions))
            for number in range(REQUESTS):
                for path in ("/a/1", "/b/1"):
                    client = await Client().open(plane)
                    client.send(request(path=path, name=f"{path}{number}"))
                    assert await client.head() == 200 and await client.body() == b"whole"
        assert len(first.requests) == len(later.requests) == REQUESTS

    asyncio.run(scenario())
