"""A configuration that an edge fails to apply: what was in force is served, and the version is not lost.

Guards against a configuration that is acknowledged, noted as received, and in force nowhere.
"""

import orjson
import pytest
from planes_rig import CORES, EDGES, FULL_BODY, wait_until

FAILING, SOUND = EDGES


def timeout_in_force(system, number):
    return system.edges[number].routes.find(b"rota.example", b"/a/1").timeout_ms


async def versions_shown(system):
    """The versions that `status` shows of the edges, by name, from whichever member each edge asks."""
    shown = {}
    for core in CORES:
        status, body = await system.call_control(core, "GET", "/status")
        assert status == 200
        for edge in orjson.loads(body)["edges"]:
            if edge["configVersion"] is not None:
                shown[edge["name"]] = edge["configVersion"]
    return shown


@pytest.mark.parametrize("error", [OverflowError, IndexError, KeyError])
def test_an_edge_keeps_what_it_had_and_applies_the_version_once_it_can(run_scenario, error):
    async def scenario(system):
        state = system.edges[FAILING].state
        apply_services, failures = state.apply_services, []

        def fail(routes, before):
            failures.append(routes.version)
            raise error("cannot be applied")

        state.apply_services = fail
        assert await system.put_configuration(5, 1, timeout_ms=2000) == 200
        assert await system.call_any_core("POST", "/evacuation/hall-1") == 200
        await wait_until(lambda: timeout_in_force(system, SOUND) == 2000)
        await wait_until(lambda: len(failures) >= 2)  # it asks again
        # What was in force is served, and the rest of the response counts.
        assert timeout_in_force(system, FAILING) == 4000
        assert await system.stream_response(FAILING, "meanwhile") == (200, FULL_BODY)
        await wait_until(lambda: state.evacuated == {"hall-1"})
        shown = {}
        while len(shown) < len(EDGES) or shown[f"node-{SOUND}"] != 5:
            shown |= await versions_shown(system)
        assert shown == {f"node-{FAILING}": 1, f"node-{SOUND}": 5}
        state.apply_services = apply_services
        await wait_until(lambda: timeout_in_force(system, FAILING) == 2000)
        await wait_until(lambda: system.all_received(5))

    run_scenario(scenario)
