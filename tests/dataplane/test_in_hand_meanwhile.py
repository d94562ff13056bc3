"""Requests in flight while configuration, control state or settings change: each gets its complete answer."""

import asyncio

import pytest
from ingress_rig import Client, Upstream, configuration, request, route, sidecar, whole
from test_resettled import changed

from shedgrade.control_messages import ControlChange, EndpointUpdate
from shedgrade.dataplane.routes import Routes


def drop_its_route(plane):
    elsewhere = configuration(route(path_prefix="/other/"), services=())
    plane.state.apply_configuration(Routes(elsewhere, plane.state.regions))


def shorten_its_route(plane):
    plane.state.apply_configuration(Routes(configuration(route(timeout_ms=1)), plane.state.regions))


def read_settings_anew(plane):
    plane.state.settings_changed(changed({"retryBudgetRatio": 0.0, "retrySlack": 0}))


def lose_its_zone(plane):
    plane.state.settings_changed(changed(zones={"z2": "west"}))


def evacuate_its_zone(plane):
    plane.state.apply_control(ControlChange(1, 1, 7, None, ("z1",)))


def list_it_no_more(plane):
    plane.state.apply_endpoint_list(EndpointUpdate(2, 1, 0.0))


@pytest.mark.parametrize(
    "meanwhile",
    [
        drop_its_route,
        shorten_its_route,
        read_settings_anew,
        lose_its_zone,
        evacuate_its_zone,
        list_it_no_more,
    ],
)
def test_a_request_in_flight_gets_its_complete_answer(meanwhile):
    async def story():
        taken, go_on = asyncio.Event(), asyncio.Event()

        async def answer(request, writer):
            taken.set()
            await go_on.wait()
            writer.write(whole(request, b"whole"))

        async with sidecar(configuration(route(route_class="unsafe")), Upstream("i-1", answer)) as plane:
            client = await Client().open(plane)
            client.send(request())
            async with asyncio.timeout(5):
                await taken.wait()
            meanwhile(plane)
            go_on.set()
            assert await client.head() == 200 and await client.body() == b"whole"

    asyncio.run(story())
