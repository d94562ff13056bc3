"""The limits of the configuration in force also apply to kept connections."""

import asyncio

import pytest
from ingress_rig import Client, Upstream, configuration, request, route, sidecar, whole

from shedgrade.configuration import Limits
from shedgrade.served_routes import Routes


async def served(upstream_request, writer):
    writer.write(whole(upstream_request, b"ok"))


@pytest.mark.parametrize(("before", "after", "status"), [(10, 100, 200), (100, 10, 413)])
def test_the_newest_limits_apply_to_a_kept_connection(before, after, status):
    async def scenario():
        one = route(route_class="safe")
        first = configuration(one, limits=Limits(body_bytes=before))
        second = configuration(one, limits=Limits(body_bytes=after))
        async with sidecar(first, Upstream("i-1", served)) as plane:
            client = await Client().open(plane)
            client.send(request(body=b"x" * 10))
            assert await client.head() == 200
            await client.body()
            plane.state.apply_configuration(Routes(second, plane.state.regions))
            client.send(request(body=b"x" * 100, name="id-2"))
            assert await client.head() == status

    asyncio.run(scenario())
