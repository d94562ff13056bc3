"""Three control planes and two data planes together: what operators and clients of the whole system see."""

import asyncio

import orjson
import pytest
import uvloop
from planes_rig import CORES, EDGES, NET, WHOLE, configuration, configured, front, running, until

BOTH = {front(number) for number in EDGES}


@pytest.fixture
def play(tmp_path):
    """Runs a play with the system, `configured` or only `running`."""

    def run(story, started=configured):
        async def whole():
            async with asyncio.timeout(60), started(tmp_path) as system:
                await story(system)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(whole())

    return run


def test_from_founding_to_the_first_stream(play):
    async def story(system):
        await until(lambda: system.primary() is not None)
        primary = system.primary()
        assert (await system.read(primary))[0] == 404
        assert not any(edge.ready() for edge in system.edges.values())
        assert await system.resolve(primary) == set()

        assert await system.put(1, 0) == 200
        for number in CORES:
            assert await system.read(number) == (200, configuration(1))
        await until(lambda: all(edge.ready() for edge in system.edges.values()))
        for number in CORES:
            await system.resolved(number, BOTH)
        for number in EDGES:
            for turn in range(3):
                assert await system.served(number, f"id-{number}-{turn}") == (200, WHOLE)
        assert sum(len(upstream.requests) for upstream in system.upstreams.values()) == 6

    play(story, running)


def test_the_same_configuration_again_and_one_on_an_old_base(play):
    async def story(system):
        assert await system.put(1, 0) == 200
        assert await system.put(2, 0) == 412
        assert await system.acknowledged("PUT", "/configuration", b"{}", "If-Match: 1") == 400
        assert await system.put(2, 1, timeout_ms=2000) == 200
        await until(
            lambda: all(edge.watcher.received.configuration_version == 2 for edge in system.edges.values())
        )
        route = system.edges[EDGES[0]].routes.find(b"rota.example", b"/a/1")
        assert route.timeout_ms == 2000

    play(story)


def test_all_know_all_by_gossip_and_edges_count_each_other(play):
    async def story(system):
        planes = [*system.cores.values(), *system.edges.values()]
        everybody = {f"node-{number}" for number in (*CORES, *EDGES)}
        await until(
            lambda: all({node.name for node in plane.gossip.view.nodes()} == everybody for plane in planes)
        )
        links = {f"{NET}.{number}:7300" for number in CORES}
        for plane in planes:
            view = plane.gossip.view
            assert {node.link_address for node in view.nodes() if node.kind == "core"} == links
            assert view.count("edge") == len(EDGES)
        await until(lambda: all(edge.state.edge_count == len(EDGES) for edge in system.edges.values()))
        await until(
            lambda: all(node.state == "ready" for plane in planes for node in plane.gossip.view.nodes())
        )

    play(story)


def test_a_primary_that_dies_is_followed_by_another_that_acknowledges(play):
    async def story(system):
        before = system.primary()
        epoch = system.cores[before].member.epoch
        await system.close_core(before)
        assert await system.put(2, 1) == 200
        assert system.primary() != before and system.cores[system.primary()].member.epoch > epoch
        for number in system.cores:
            assert await system.read(number) == (200, configuration(2))
        await until(
            lambda: all(edge.watcher.received.configuration_version == 2 for edge in system.edges.values())
        )
        for number in EDGES:
            assert await system.served(number, f"id-{number}") == (200, WHOLE)

    play(story)


def test_a_primary_that_comes_back_learns_what_it_missed(play):
    async def story(system):
        before = system.primary()
        await system.close_core(before)
        assert await system.put(2, 1) == 200
        plane = system.start_core(before, founding=False)
        await until(lambda: plane.hub.version == 2)
        assert await system.read(before) == (200, configuration(2))

    play(story)


def test_an_edge_that_leaves_is_resolved_no_more_and_serves_what_still_comes(play):
    async def story(system):
        first, second = EDGES
        for number in CORES:
            await system.resolved(number, BOTH)
        leaving = system.edges[first]
        began = system.loop.time()
        leaving.terminate()
        for number in CORES:
            await system.resolved(number, {front(second)})
        assert system.loop.time() - began < 1.0
        assert await system.served(first, "id-late") == (200, WHOLE)
        await until(
            lambda: all(
                f"node-{first}" not in {node.name for node in plane.gossip.view.nodes()}
                for plane in system.cores.values()
            )
        )
        # Its share of the fleet's budgets is not taken over while it may still use it.
        assert system.edges[second].state.edge_count == 2
        await asyncio.wait_for(system.tasks[first], 10)

    play(story)


def test_an_evacuated_zone_gets_nothing_more_until_it_is_taken_back(play):
    async def story(system):
        async def sent(prefix, count=8):
            before = {zone: len(upstream.requests) for zone, upstream in system.upstreams.items()}
            for turn in range(count):
                assert await system.served(EDGES[turn % 2], f"{prefix}-{turn}") == (200, WHOLE)
            return {
                zone: len(upstream.requests) - before[zone] for zone, upstream in system.upstreams.items()
            }

        def told(*zones):
            return all(edge.state.evacuated == frozenset(zones) for edge in system.edges.values())

        # Both edges stand in hall-1, whose region has an upstream of its own.
        assert await sent("before") == {"hall-1": 8, "hall-2": 0}
        assert await system.acknowledged("POST", "/evacuation/hall-9") == 404
        assert await system.acknowledged("POST", "/evacuation/hall-1") == 200
        await until(lambda: told("hall-1"))
        assert await sent("during") == {"hall-1": 0, "hall-2": 8}
        status = orjson.loads((await system.control(system.primary(), "GET", "/status"))[1])
        assert status["evacuations"] == ["hall-1"]
        assert await system.acknowledged("DELETE", "/evacuation/hall-1") == 200
        await until(lambda: told())
        assert await sent("after") == {"hall-1": 8, "hall-2": 0}

    play(story)


def test_terms_of_the_polled_list_go_above_what_an_edge_holds(play):
    async def story(system):
        edge = system.edges[EDGES[0]]
        far = (edge.watcher.received.endpoint_list[0] + 2**40, 1)
        edge.watcher.received.endpoint_list = edge.watcher.received.list_floor = far
        system.upstreams.pop("hall-2").server.close()
        await until(lambda: edge.watcher.received.endpoint_list > far)
        await until(lambda: set(edge.state.instances) == {"i-1"})

    play(story)


def test_all_of_the_control_plane_gone_and_back_says_the_same(play):
    async def story(system):
        assert await system.put(2, 1) == 200
        for number in CORES:
            await system.close_core(number)
        assert await system.served(EDGES[0], "id-alone") == (200, WHOLE)
        for number in CORES:
            system.start_core(number, founding=False)
        assert await system.put(3, 2) == 200
        await until(
            lambda: all(edge.watcher.received.configuration_version == 3 for edge in system.edges.values())
        )
        await system.resolved(CORES[0], BOTH)

    play(story)


def test_edges_learn_through_the_core_what_the_others_have_in_flight(play):
    """Also after the member that they report to is gone; and they forget it when all of the core is."""

    def load(edge, change):
        balancer = edge.services["lm"].balancer
        balancer.add_load(balancer.upstreams[0], change, 0)
        return balancer.upstreams[0].id_hash

    async def story(system):
        one, other = (system.edges[number] for number in EDGES)
        # Both know the list, and their balancers have taken it, which is a pass of the dispatcher later.
        await until(lambda: one.ready() and other.ready())
        await until(lambda: all(0 in edge.services["lm"].balancer.upstreams for edge in (one, other)))
        seen = other.services["lm"].balancer
        mark = load(one, 5)
        mine = load(other, 1)  # an edge without a request in flight asks for nothing
        await until(lambda: other.loads.other_edges.loads.get(mark) == 5)
        assert sum(seen.remote_loads.values()) == 5
        await until(lambda: one.loads.other_edges.loads == {mine: 1})
        load(one, -3)
        await until(lambda: other.loads.other_edges.loads == {mark: 2})

        gone = next(
            number
            for number, core in system.cores.items()
            if core.own == one.watcher.preferred_member.address
        )
        await system.close_core(gone)
        load(one, 5)
        await until(lambda: other.loads.other_edges.loads.get(mark) == 7)

        for number in list(system.cores):
            await system.close_core(number)
        await until(lambda: not other.loads.other_edges.loads and not seen.remote_loads)
        assert await system.served(EDGES[1], "id-without") == (200, WHOLE)

    play(story)


def test_a_change_of_named_items_reaches_every_edge_and_is_taken_once(play):
    async def story(system):
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
            assert await system.acknowledged("PATCH", "/configuration", change, "If-Match: 1") == 200
        await until(
            lambda: all(edge.watcher.received.configuration_version == 4 for edge in system.edges.values())
        )
        for edge in system.edges.values():
            assert edge.routes.find(b"rota.example", b"/a/1").timeout_ms == 1500
            assert edge.routes.find(b"rota.example", b"/new/1").timeout_ms == 4000
        assert await system.put(5, 1) == 412
        assert (
            await system.acknowledged(
                "PATCH",
                "/configuration",
                b'{"configVersion": 6, "remove":{"serviceList": ["lm"]}}',
                "If-Match: 4",
            )
            == 400
        )
        held = orjson.loads((await system.read(system.primary()))[1])
        assert held["configVersion"] == 4 and [one["name"] for one in held["routeList"]] == ["r", "new"]

    play(story)
