"""How a data plane applies reloaded settings."""

import asyncio
from types import SimpleNamespace

from ingress_rig import BOUNDS, SETTINGS, Upstream, configuration, route, sidecar

from shedgrade.configuration import Service


async def close_at_once(request, writer):
    return False


def settings_with(bounds=(), zones=SETTINGS.zones, lag_ms=800):
    return SimpleNamespace(
        zones=zones, region="east", bounds=BOUNDS | dict(bounds), cloud_api=SimpleNamespace(max_lag_ms=lag_ms)
    )


def run_with_sidecar(scenario):
    async def run_scenario():
        upstreams = Upstream("i-1", close_at_once), Upstream("i-2", close_at_once)
        async with sidecar(configuration(route()), *upstreams, zones={"i-2": "z3"}) as plane:
            await scenario(plane.state, plane.state.services["lm"])

    asyncio.run(run_scenario())


def test_new_bounds_apply_to_the_retry_budgets_of_present_and_later_services():
    async def scenario(state, pool):
        assert (pool.retry_budget.ratio, pool.retry_budget.slack, pool.retry_budget.window) == (
            0.2,
            50.0,
            100_000,
        )
        state.settings_changed(settings_with({"retryBudgetRatio": 0.5, "retrySlack": 4, "retryWindowS": 20}))
        assert (pool.retry_budget.ratio, pool.retry_budget.slack, pool.retry_budget.window) == (
            0.5,
            4,
            200_000,
        )
        held = state.routes
        held.services["late"] = Service("late")
        state.apply_configuration(held)
        assert state.services["late"].retry_budget.window == 200_000 and state.services["lm"] is pool

    run_with_sidecar(scenario)


def test_a_new_zone_of_a_known_region_adds_its_upstreams_at_once():
    async def scenario(state, pool):
        assert pool.ready() == 1  # the other upstream is in a zone that the settings don't name
        state.settings_changed(settings_with(zones=SETTINGS.zones | {"z3": "west"}))
        assert pool.ready() == 2
        state.settings_changed(settings_with())
        assert pool.ready() == 1

    run_with_sidecar(scenario)


def test_a_zone_of_a_new_region_is_ignored_until_restart():
    async def scenario(state, pool):
        state.settings_changed(settings_with(zones=SETTINGS.zones | {"z3": "north"}))
        assert pool.ready() == 1 and state.zones == SETTINGS.zones and state.ready()

    run_with_sidecar(scenario)


def test_settings_are_applied_before_any_configuration():
    async def scenario(state, pool):
        state.routes = None
        state.settings_changed(settings_with(lag_ms=100))
        assert state.routes is None and state.endpoint_list_lag_s == 0.1

    run_with_sidecar(scenario)
