"""Requests in flight while configuration, control state or settings change: each gets its complete answer."""

import asyncio

import pytest
from ingress_rig import Client, Upstream, configuration, request, route, sidecar, whole
from test_resettled import settings_with

from shedgrade.control_messages import ControlChange, EndpointUpdate
from shedgrade.served_routes import Routes


def remove_route(plane):
    other_route = configuration(route(path_prefix="/other/"), services=())
    plane.state.apply_configuration(Routes(other_route, plane.state.regions))


def shorten_route_timeout(plane):
    plane.state.apply_configuration(Routes(configuration(route(timeout_ms=1)), plane.state.regions))


def reload_settings(plane):
    plane.state.settings_changed(settings_with({"retryBudgetRatio": 0.0, "retrySlack": 0}))


def remove_zone(plane):
    plane.state.settings_changed(settings_with(zones={"z2": "west"}))


def evacuate_zone(plane):
    plane.state.apply_control(ControlChange(1, 1, 7, None, ("z1",)))


def remove_upstream(plane):
    plane.state.apply_endpoint_list(EndpointUpdate(2, 1, 0.0))


@pytest.mark.parametrize(
    "change",
    [
        remove_route,
        shorten_route_timeout,
        reload_settings,
        remove_zone,
        evacuate_zone,
        remove_upstream,
    ],
)
def test_a_request_in_flight_gets_its_complete_answer(change):
    async def scenario():
        was_reached, may_continue = asyncio.Event(), asyncio.Event()

        async def answer(request, writer):
            was_reached.set()
            await may_continue.wait()
            writer.write(whole(request, b"whole"))

        async with sidecar(configuration(route(route_class="unsafe")), Upstream("i-1", answer)) as plane:
            client = await Client().open(plane)
            client.send(request())
            async with asyncio.timeout(5):
                await was_reached.wait()
            change(plane)
            may_continue.set()
            assert await client.head() == 200 and await client.body() == b"whole"

    asyncio.run(scenario())
