"""Three control planes and two data planes together, as operators and clients of the system see them."""

import asyncio

import orjson
from planes_rig import (
    CORES,
    EDGES,
    FULL_BODY,
    NET,
    configuration,
    front_address,
    running_system,
    wait_until,
)

BOTH_FRONTS = {front_address(number) for number in EDGES}


def test_a_new_system_serves_streams_once_configured(run_scenario):
    async def scenario(system):
        await wait_until(lambda: system.primary() is not None)
        primary = system.primary()
        assert (await system.read_configuration(primary))[0] == 404
        assert not any(edge.ready() for edge in system.edges.values())
        assert await system.resolve_edges(primary) == set()

        assert await system.put_configuration(1, 0) == 200
        for number in CORES:
            assert await system.read_configuration(number) == (200, configuration(1))
        await wait_until(lambda: all(edge.ready() for edge in system.edges.values()))
        for number in CORES:
            await system.wait_until_resolved(number, BOTH_FRONTS)
        for number in EDGES:
            for index in range(3):
                assert await system.stream_response(number, f"id-{number}-{index}") == (200, FULL_BODY)
        assert sum(len(upstream.requests) for upstream in system.upstreams.values()) == 6

    run_scenario(scenario, running_system)


def test_a_repeated_configuration_is_accepted_and_one_with_an_old_base_is_refused(run_scenario):
    async def scenario(system):
        assert await system.put_configuration(1, 0) == 200
        assert await system.put_configuration(2, 0) == 412
        assert await system.call_any_core("PUT", "/configuration", b"{}", "If-Match: 1") == 400
        assert await system.put_configuration(2, 1, timeout_ms=2000) == 200
        await wait_until(
            lambda: all(edge.watcher.received.configuration_version == 2 for edge in system.edges.values())
        )
        route = system.edges[EDGES[0]].routes.find(b"rota.example", b"/a/1")
        assert route.timeout_ms == 2000

    run_scenario(scenario)


def test_all_nodes_know_each_other_by_gossip_and_edges_count_the_edges(run_scenario):
    async def scenario(system):
        planes = [*system.cores.values(), *system.edges.values()]
        node_names = {f"node-{number}" for number in (*CORES, *EDGES)}
        await wait_until(
            lambda: all({node.name for node in plane.gossip.view.nodes()} == node_names for plane in planes)
        )
        core_addresses = {f"{NET}.{number}:7300" for number in CORES}
        for plane in planes:
            view = plane.gossip.view
            assert {node.link_address for node in view.nodes() if node.kind == "core"} == core_addresses
            assert view.count("edge") == len(EDGES)
        await wait_until(lambda: all(edge.state.edge_count == len(EDGES) for edge in system.edges.values()))
        await wait_until(
            lambda: all(node.state == "ready" for plane in planes for node in plane.gossip.view.nodes())
        )

    run_scenario(scenario)


def test_after_the_primary_crashes_another_one_acknowledges_changes(run_scenario):
    async def scenario(system):
        old_primary = system.primary()
        epoch = system.cores[old_primary].member.epoch
        await system.close_core(old_primary)
        assert await system.put_configuration(2, 1) == 200
        assert system.primary() != old_primary and system.cores[system.primary()].member.epoch > epoch
        for number in system.cores:
            assert await system.read_configuration(number) == (200, configuration(2))
        await wait_until(
            lambda: all(edge.watcher.received.configuration_version == 2 for edge in system.edges.values())
        )
        for number in EDGES:
            assert await system.stream_response(number, f"id-{number}") == (200, FULL_BODY)

    run_scenario(scenario)


def test_a_primary_that_returns_catches_up(run_scenario):
    async def scenario(system):
        old_primary = system.primary()
        await system.close_core(old_primary)
        assert await system.put_configuration(2, 1) == 200
        plane = system.start_core(old_primary, initial_start=False)
        await wait_until(lambda: plane.hub.version == 2)
        assert await system.read_configuration(old_primary) == (200, configuration(2))

    run_scenario(scenario)


def test_a_terminating_edge_is_no_longer_resolved_but_still_serves(run_scenario):
    async def scenario(system):
        first, second = EDGES
        for number in CORES:
            await system.wait_until_resolved(number, BOTH_FRONTS)
        leaving = system.edges[first]
        terminated_at = system.loop.time()
        leaving.terminate()
        for number in CORES:
            await system.wait_until_resolved(number, {front_address(second)})
        assert system.loop.time() - terminated_at < 1.0
        assert await system.stream_response(first, "id-late") == (200, FULL_BODY)
        await wait_until(
            lambda: all(
                f"node-{first}" not in {node.name for node in plane.gossip.view.nodes()}
                for plane in system.cores.values()
            )
        )
        # Its share of the fleet's budgets stays reserved while it may still use it.
        assert system.edges[second].state.edge_count == 2
        await asyncio.wait_for(system.tasks[first], 10)

    run_scenario(scenario)


def test_an_evacuated_zone_gets_no_requests_until_it_is_returned(run_scenario):
    async def scenario(system):
        async def send_requests(prefix, count=8):
            counts_before = {zone: len(upstream.requests) for zone, upstream in system.upstreams.items()}
            for index in range(count):
                assert await system.stream_response(EDGES[index % 2], f"{prefix}-{index}") == (200, FULL_BODY)
            return {
                zone: len(upstream.requests) - counts_before[zone]
                for zone, upstream in system.upstreams.items()
            }

        def evacuated_everywhere(*zones):
            return all(edge.state.evacuated == frozenset(zones) for edge in system.edges.values())

        # Both edges are in hall-1, whose region has an upstream of its own.
        assert await send_requests("before") == {"hall-1": 8, "hall-2": 0}
        assert await system.call_any_core("POST", "/evacuation/hall-9") == 404
        assert await system.call_any_core("POST", "/evacuation/hall-1") == 200
        await wait_until(lambda: evacuated_everywhere("hall-1"))
        assert await send_requests("during") == {"hall-1": 0, "hall-2": 8}
        status = orjson.loads((await system.call_control(system.primary(), "GET", "/status"))[1])
        assert status["evacuations"] == ["hall-1"]
        assert await system.call_any_core("DELETE", "/evacuation/hall-1") == 200
        await wait_until(lambda: evacuated_everywhere())
        assert await send_requests("after") == {"hall-1": 8, "hall-2": 0}

    run_scenario(scenario)


def test_the_version_of_the_polled_list_exceeds_the_one_that_an_edge_holds(run_scenario):
    async def scenario(system):
        edge = system.edges[EDGES[0]]
        later_version = (edge.watcher.received.endpoint_list[0] + 2**40, 1)
        edge.watcher.received.endpoint_list = edge.watcher.received.list_floor = later_version
        system.upstreams.pop("hall-2").server.close()
        await wait_until(lambda: edge.watcher.received.endpoint_list > later_version)
        await wait_until(lambda: set(edge.state.instances) == {"i-1"})

    run_scenario(scenario)


def test_edges_serve_without_the_control_plane_which_recovers_its_state(run_scenario):
    async def scenario(system):
        assert await system.put_configuration(2, 1) == 200
        for number in CORES:
            await system.close_core(number)
        assert await system.stream_response(EDGES[0], "id-alone") == (200, FULL_BODY)
        for number in CORES:
            system.start_core(number, initial_start=False)
        assert await system.put_configuration(3, 2) == 200
        await wait_until(
            lambda: all(edge.watcher.received.configuration_version == 3 for edge in system.edges.values())
        )
        await system.wait_until_resolved(CORES[0], BOTH_FRONTS)

    run_scenario(scenario)


def test_edges_receive_the_loads_of_other_edges_through_the_core(run_scenario):
    """The loads also arrive after the member that the edge reports to has gone, and they are forgotten when
    all core members have gone.
    """

    def change_load(edge, change):
        balancer = edge.services["lm"].balancer
        balancer.add_load(balancer.upstreams[0], change, 0)
        return balancer.upstreams[0].id_hash

    async def scenario(system):
        first_edge, second_edge = (system.edges[number] for number in EDGES)
        # Both know the endpoint list, and their balancers have applied it one pass of the dispatcher later.
        await wait_until(lambda: first_edge.ready() and second_edge.ready())
        await wait_until(
            lambda: all(0 in edge.services["lm"].balancer.upstreams for edge in (first_edge, second_edge))
        )
        second_balancer = second_edge.services["lm"].balancer
        first_upstream = change_load(first_edge, 5)
        second_upstream = change_load(second_edge, 1)  # an edge without a request in flight gets no updates
        await wait_until(lambda: second_edge.loads.other_edges.loads.get(first_upstream) == 5)
        assert sum(second_balancer.remote_loads.values()) == 5
        await wait_until(lambda: first_edge.loads.other_edges.loads == {second_upstream: 1})
        change_load(first_edge, -3)
        await wait_until(lambda: second_edge.loads.other_edges.loads == {first_upstream: 2})

        reported_member = next(
            number
            for number, core in system.cores.items()
            if core.own_address == first_edge.watcher.preferred_member.address
        )
        await system.close_core(reported_member)
        change_load(first_edge, 5)
        await wait_until(lambda: second_edge.loads.other_edges.loads.get(first_upstream) == 7)

        for number in list(system.cores):
            await system.close_core(number)
        await wait_until(lambda: not second_edge.loads.other_edges.loads and not second_balancer.remote_loads)
        assert await system.stream_response(EDGES[1], "id-without") == (200, FULL_BODY)

    run_scenario(scenario)


def test_a_patch_reaches_every_edge_and_is_applied_once(run_scenario):
    async def scenario(system):
        change = orjson.dumps(
            {
                "configVersion": 4,
                "addModify": {
                    "routeList": [
                        {**orjson.loads(configuration(1))["routeList"][0], "timeoutMs": 1500},
                        {
                            **orjson.loads(configuration(1))["routeList"][0],
                            "name": "new",
                            "pathPrefix": "/new/",
                        },
                    ]
                },
            }
        )
        for _ in range(2):
            assert await system.call_any_core("PATCH", "/configuration", change, "If-Match: 1") == 200
        await wait_until(
            lambda: all(edge.watcher.received.configuration_version == 4 for edge in system.edges.values())
        )
        for edge in system.edges.values():
            assert edge.routes.find(b"rota.example", b"/a/1").timeout_ms == 1500
            assert edge.routes.find(b"rota.example", b"/new/1").timeout_ms == 4000
        assert await system.put_configuration(5, 1) == 412
        assert (
            await system.call_any_core(
                "PATCH",
                "/configuration",
                b'{"configVersion": 6, "remove":{"serviceList": ["lm"]}}',
                "If-Match: 4",
            )
            == 400
        )
        current = orjson.loads((await system.read_configuration(system.primary()))[1])
        assert current["configVersion"] == 4 and [route["name"] for route in current["routeList"]] == [
            "r",
            "new",
        ]

    run_scenario(scenario)
