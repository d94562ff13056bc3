"""Settings of different customers: names of methods and tenants in requests, and invalid entries in lists."""

import random

import pytest
from crossing_peers import RaceWorld
from helpers import PATIENT, ask, method, on_sockets, request, row, settings, until
from test_watches import DiscoveryWorld, shorten_timeouts

from shedgrade import load_balancing
from shedgrade.http import endpoint_discovery
from shedgrade.sidecar.lifecycle.settings_checks import deployment_problem, required_settings_problem

TENANTS = [{"name": name, "share": 0.5, "allowance_per_s": 50.0} for name in ("guild-a", "zünfte b")]


def test_tenants_are_found_by_their_name_in_the_settings():
    """Guards against an ignored `X-Tenant-Id` (slow-ledger): all requests counted for the first tenant."""

    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=1, methods=[PATIENT]) as world:
            conf = {**world.conf, "customers": TENANTS}
            world.sidecar.pool.update_settings(conf)
            balancer, tenants = world.sidecar.pool.balancer, []
            take = balancer.admit
            balancer.admit = lambda now, method, at, retry, tag, tenant: (
                tenants.append(tenant),
                take(now, method, at, retry, tag, tenant),
            )[1]
            for number, head in enumerate(
                (
                    [],
                    ["X-Tenant-Id: guild-a"],
                    ["X-Tenant-Id: zünfte b"],
                    ["X-Attrs: project=1"],
                    ["X-Tenant-Id: of somebody else"],
                )
            ):
                assert (await ask(world, request(b"x", "/m/1", 15000, f"r{number}", *head)))[0] == 200
            assert tenants == [0, 0, 1, 1, 2]  # a tenant without a share gets the number after the last

    scenario()


def test_methods_are_found_by_their_percent_encoded_name():
    names = ["hold seat", "prüfung", "a%20b", "roll.call~v2@desk,x;y=1"]

    @on_sockets
    async def scenario():
        async with RaceWorld(upstreams=1, methods=[{**PATIENT, "name": name} for name in names]) as world:
            for number, path in enumerate(
                (
                    "hold%20seat",
                    "pr%C3%BCfung",
                    "a%20b",
                    "roll.call~v2@desk,x;y=1",
                    "roll.call%7Ev2%40desk,x;y=1",
                )
            ):
                assert (await ask(world, request(b"x", f"/{path}/1?q=%20", 15000, f"r{number}")))[0] == 200
                assert world.upstreams[0].seen[-1][0][0] == f"POST /{path}/1?q=%20 HTTP/1.1"  # unchanged
            for path in ("hold", "%", "a%2520", "nobody%20s"):
                assert (await ask(world, request(b"x", f"/{path}", 15000, path)))[0] == 404

    scenario()


def test_an_entry_that_stays_invalid_does_not_block_a_drain(monkeypatch):
    """An entry with a zone that is known only after a restart made the sidecar reject all later changes."""
    shorten_timeouts(monkeypatch)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=2) as world:
            far = {**world.entry(1), "instanceId": "s-far", "zone": "of-a-later-start"}
            change = world.list_response(far, 7, {}, world.entry(0, "terminating"), generation=2)
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.upstreams[0].listed)
            assert (
                world.sidecar.pool.balancer.upstreams[1].listed
                and "s-far" not in world.sidecar.pool.reader.known_entries
            )
            # The list is requested again first, as it may have been damaged on its way.
            assert (
                sum("after=1&" in call for call in world.agent.calls)
                >= endpoint_discovery.INVALID_LISTS_BEFORE_PARTIAL
            )

    scenario()


def test_the_drain_of_a_known_upstream_is_accepted_from_an_invalid_entry(monkeypatch):
    shorten_timeouts(monkeypatch)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=2, methods=[method("once", soft=2e4, hard=2e4)]) as world:
            change = world.list_response(
                {**world.entry(0, "terminating"), "zone": "nowhere", "weight": "much"},
                {**world.entry(1), "hostPort": "nowhere"},
                generation=2,
            )
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.upstreams[0].listed)
            assert (await ask(world, request(b"one")))[0] == 200 and not world.upstreams[0].seen

    scenario()


def test_invalid_entries_of_a_complete_list_remove_no_upstream(monkeypatch):
    shorten_timeouts(monkeypatch)

    @on_sockets
    async def scenario():
        async with DiscoveryWorld(upstreams=2) as world:
            change = world.list_response(
                {**world.entry(0), "zone": "nowhere"},
                world.entry(1, "terminating"),
                {"instanceId": 7},
                reset=True,
                generation=2,
            )
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.upstreams[1].listed)
            assert world.sidecar.pool.balancer.upstreams[0].listed
            assert (await ask(world, request(b"one")))[0] == 200 and not world.upstreams[1].seen

    scenario()


@pytest.mark.parametrize(
    "changes", [{"zones": []}, {"zones": "ab"}, {"zones": [1]}, {"zones": None}, {"az": 1}, {"az": 2**70}]
)
def test_settings_without_their_own_zone_are_rejected(changes):
    """With such settings each RPC met an IndexError, and failed."""
    assert (
        required_settings_problem(settings(zones=1, limits={"dial_timeout": 1.0, "idle_close": 1.0})) is None
    )
    found = required_settings_problem(
        settings(zones=1, limits={"dial_timeout": 1.0, "idle_close": 1.0}) | changes
    )
    assert found.startswith(f"settings.{next(iter(changes))}: found ") and "\n" not in found


@pytest.mark.parametrize("seed", range(150))
def test_valid_settings_of_any_size_cause_no_internal_error(seed):
    """Guards against a division by zero on each RPC, with a soft deadline of two ticks or below 0.1 ms.

    The settings allow both; 283 of 1,500 drawn settings met the fault.
    """
    rng = random.Random(seed)
    pick, zones = rng.choice, rng.choice((1, 2, 5))
    methods = [
        {
            **method(
                pick(("once", "repeatable", "by_key")),
                pick(("all", "zone", "cell")),
                pick((0, 1, 5, 1e6)),
                pick((0.05, 1, 2, 10, 600, 1e5)),
                pick((0.05, 2, 20, 3e3, 1e5)),
                pick((0, 5, 2000)),
            ),
            "name": f"m{number}",
        }
        for number in range(pick((1, 1, 2, 4)))
    ]
    conf = settings(
        methods,
        zones,
        limits={
            "most_transmissions": pick((1, 2, 4, 100)),
            "parallel_tries": pick((True, False)),
            "cancelling": pick((True, False)),
            "max_retry_after": pick((0, 1000)),
            "multiplex": pick((1, 8)),
            "dial_timeout": 250.0,
            "idle_close": pick((0.001, 1, 15000)),
        },
    )
    conf |= {
        "balancers": pick((1, 2, 200, 5000)),
        "tick": pick((0, 0.1, 1, 5, 50)),
        "shapes": ["k"],
        "prices": pick(({}, {"cross_zone": 0.2, "handshake": 0.1}, {"cross_zone": 5})),
        "customers": pick(([], [{"allowance_per_s": 0}, {"allowance_per_s": 50}])),
        "excess_payoff": pick((0, 0.2, 1)),
        "objective_mix": pick(({}, *({"slow_end": 1, "miss_allowed": part} for part in (0, 0.01, 0.5, 1)))),
    }
    conf["rules"] |= {
        "cold": pick((0, 0.1, 1e4)),
        "cold_from": pick((0, 0.2, 1)),
        "ask_every": pick((0, 1e4)),
        "fall_multiple": pick((0, 0.1, 3)),
        "dropped_stay_open": pick((True, False)),
    }
    assert deployment_problem(conf) is None and required_settings_problem(conf) is None
    balancer, now, rpcs = load_balancing.Balancer(conf, seed, 0), 1, []
    balancer.list_changed(
        now, [row(index, index % zones, started=pick((0, now))) for index in range(6)], True, True
    )
    for _ in range(150):
        now += rng.randrange(400)
        draw = rng.random()
        if draw < 0.5:
            rpc = balancer.admit(
                now,
                rng.randrange(len(methods)),
                now + pick((0, 1, 10, 5000, 30000)),
                rng.random() < 0.1,
                None,
                rng.randrange(3),
            )
            rpcs.append(rpc)
            rpc.decide(now)
        elif draw < 0.85 and rpcs:
            rpc = pick(rpcs)
            if rpc.outstanding:
                outcome = rng.randrange(9)
                rpc.attempt_finished(
                    now,
                    pick(list(rpc.outstanding)),
                    outcome,
                    rng.randrange(5000),
                    outcome == load_balancing.COMPLETED and not rpc.done,
                    rng.random() < 0.2,
                )
                rpc.decide(now)
        elif draw < 0.9:
            change = row(rng.randrange(8), rng.randrange(zones), rng.randrange(3), pick((0, now)))
            balancer.list_changed(now, [change], False, True)
        elif draw < 0.92:
            balancer.update_settings(conf)
        for rpc in balancer.due(now):
            rpc.decide(now)
        balancer.wake_at()
