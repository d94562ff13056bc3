"""Subsets of zones, sizes that vary with load, tenants: what deployments with shared connections need."""

from math import isclose

import orjson
import pytest
from helpers import World, ask, balancer, message, method, on_sockets, request, row, settings
from loguru import logger
from typer.testing import CliRunner

from shedgrade import load_balancing
from shedgrade.cli import app
from shedgrade.sidecar.lifecycle.settings_checks import deployment_problem

SHARED = {"multiplex": 100}


def sidecar(number, sidecars, rows, zones=2, own=0, **more):
    conf = settings(zones=zones, az=own, limits=SHARED, balancers=sidecars, my_number=number, **more)
    b = load_balancing.Balancer(conf, number, 0)
    b.list_changed(0, rows, True, True)
    return b


def id_hash(up):
    return up * 2654435761 % 2**32  # stands in for the hash of an id


def fleet_rows(count, zones=2, **more):
    return [(up, up % zones, load_balancing.READY, 0, 0, id_hash(up), 1.0, 0) for up in range(count)]


def test_subsets_are_small_and_even_over_the_upstreams_of_a_zone():
    # Each of 300 sidecars had a connection to each of 60 upstreams, which accept a few tens: over half of all
    # attempts got none.
    use_counts = dict.fromkeys(range(60), 0)
    for number in range(300):
        b = sidecar(number, 300, fleet_rows(60), own=number % 2)
        near, far = b.zones[number % 2], b.zones[1 - number % 2]
        assert 1 <= len(near.subset) <= 4 and len(far.subset) <= 3 and set(near.rotation) == set(near.subset)
        for up in near.subset:
            use_counts[up.index] += 1
    assert max(use_counts.values()) - min(use_counts.values()) <= 1


def test_a_small_fleet_is_used_whole_and_a_large_upstream_by_more_sidecars():
    assert len(sidecar(0, 3, fleet_rows(6)).zones[0].subset) == 3
    rows = [(*one[:6], 4.0 if one[0] == 0 else 1.0, 0) for one in fleet_rows(20, zones=1)]
    count = sum(
        any(up.index == 0 for up in sidecar(number, 100, rows, zones=1).zones[0].subset)
        for number in range(100)
    )
    even = 100 * len(sidecar(0, 100, rows, zones=1).zones[0].subset) / 20
    assert count > 2 * even


def test_a_change_of_one_upstream_changes_few_subsets():
    moved = 0
    for number in range(200):
        b = sidecar(number, 200, fleet_rows(40, zones=1), zones=1)
        before = set(b.zones[0].subset)
        b.list_changed(1, [row(7, state=load_balancing.REMOVED)], False, True)
        gone = {up for up in before if up.index == 7}
        moved += bool(set(b.zones[0].subset) - before) and not gone
        assert not any(up.index == 7 for up in b.zones[0].rotation)
    assert moved < 200 / 2


def test_without_shared_connections_or_alone_every_upstream_is_in_rotation():
    for limits, sidecars in (({}, 300), (SHARED, 1)):
        b = balancer(settings(limits=limits, balancers=sidecars), [(up, 0) for up in range(20)])
        assert len(b.zones[0].rotation) == 20 and b.zones[0].subset is None


def test_the_last_resort_opens_no_connection_beyond_the_subset():
    # A sidecar whose whole subset refused tried the entire fleet and filled every connection table.
    b = sidecar(0, 750, fleet_rows(64, zones=4), zones=4)
    subset = {up.index for zone in b.zones for up in zone.subset}
    for index in subset:
        b.eject(0, b.upstreams[index], True)
    sent = set()
    for number in range(30):
        answer = b.admit(number, 0, 9000).decide(number)
        if answer and answer[0] >= 0:
            sent.add(answer[0])
    assert sent <= subset and len(subset) <= 2


def apply_sizes(rows, now=0, b=None):
    b = b or load_balancing.Balancer(settings(zones=1, weight_kind="live"), 1, 0)
    b.list_changed(now, [row(up, size=size, kind=kind) for up, size, kind in rows], False, True)
    return b


def test_a_listed_size_lowered_by_load_keeps_the_nominal_capacity_and_gives_the_load():
    b = apply_sizes([(0, 2.0, 0), (1, 1.5, 1), (2, 0.5, 0)])
    assert [b.upstreams[up].capacity for up in range(3)] == [2.0, 1.5, 2.0] and b.total_capacity == 5.5
    for step in range(30):
        apply_sizes([(0, 2.0, 0), (1, 1.5, 1), (2, 0.5, 0)], step, b)
    assert [round(b.upstreams[up].reported_load, 3) for up in range(3)] == [0.0, 0.0, 3.0]
    assert round(b.zones[0].reported_load, 3) == 1.0
    apply_sizes([(2, 2.0, 0)], 40, b)  # a single report may be noise: it moves the value in part
    assert 1.0 < b.upstreams[2].reported_load < 2.0 and b.total_capacity == 5.5
    apply_sizes([(1, 0.0, 1)], 41, b)  # no size is no load
    assert b.upstreams[1].reported_load == 0.0


def test_load_reported_by_the_list_raises_the_expected_duration():
    b = apply_sizes([(0, 1.0, 0), (1, 1.0, 0)])
    calm = b.expected_duration(b.upstreams[0], 0)
    for step in range(10):
        apply_sizes([(0, 0.2, 0)], step, b)
    assert b.expected_duration(b.upstreams[0], 1) > 2 * calm and isclose(
        b.expected_duration(b.upstreams[1], 1), calm
    )


def test_a_zone_reported_as_overloaded_takes_fewer_requests():
    # A quarter of the upstreams died; the own attempts of a sidecar with little traffic showed the overload
    # only when the other upstreams had been overloaded as well.
    b = apply_sizes([(up, 1.0, 0) for up in range(4)])
    b.latency_sums = [100.0, 150.0, 40_000.0, 250.0, 60_000.0]
    b.fit_latency()
    rpc = b.admit(0, 0, 9000)
    rpc.admission_draw, b.zones[0].concurrency_limit = 0.9, 1.0
    assert not b.zones[0].is_full(rpc)
    for step in range(10):
        apply_sizes([(up, 0.02, 0) for up in range(4)], step, b)
    assert b.zones[0].is_full(rpc)


def test_a_zone_reported_as_nearly_idle_takes_more_requests_at_once():
    # A limit near one rejected a fortieth of the requests under light load: with one in flight there was no
    # time to wait.
    b = apply_sizes([(up, 1.0, 0) for up in range(4)])
    rpc = b.admit(0, 0, 9000)
    rpc.admission_draw, b.zones[0].concurrency_limit, b.zones[0].in_flight = 0.2, 1.0, 1
    for step in range(10):
        apply_sizes([(up, 0.6, 0) for up in range(4)], step, b)
    assert 0.5 < b.zones[0].reported_load < 0.75 and not b.zones[0].is_full(rpc)
    for step in range(20):
        apply_sizes([(up, 0.33, 0) for up in range(4)], step, b)
    assert b.zones[0].is_full(rpc)


def test_requests_beyond_a_tenants_share_have_little_payoff():
    customers = [{"name": "a", "allowance_per_s": 10.0}, {"name": "b", "allowance_per_s": 10.0}]
    b = balancer(settings(customers=customers, excess_payoff=0.1), [(0, 0)])
    # 30 a second of the first, 10 of the second, over 20 s.
    payoffs = {0: 1.0, 1: 1.0}
    for step in range(600):
        payoffs[0] = b.admit(step * 333, 0, 10**9, tenant=0).payoff
        if step % 3 == 0:
            payoffs[1] = b.admit(step * 333, 0, 10**9, tenant=1).payoff
    assert payoffs[1] == 1.0 and 0.4 < payoffs[0] < 0.6
    assert b.admit(300_000, 0, 10**9, tenant=0).payoff == 1.0  # after a long pause it is within its share
    assert b.admit(0, 0, 9000, tenant=7).payoff == 1.0


def test_admission_draws_of_a_tenant_beyond_its_share_are_higher_than_within():
    customers = [{"name": "a", "allowance_per_s": 1.0}, {"name": "b", "allowance_per_s": 1000.0}]
    b = balancer(settings(customers=customers, excess_payoff=0.1), [(0, 0)])
    draws = {0: [], 1: []}
    for step in range(400):
        for tenant in (0, 1):
            draws[tenant].append(b.admit(step * 100, 0, 10**9, tenant=tenant).admission_draw)
    assert sum(draws[0][50:]) > 1.4 * sum(draws[1][50:])


def test_without_the_optional_keys_decisions_are_as_with_their_defaults():
    def decide_all(**more):
        b = balancer(
            settings([method(payoff=3.0), method("once")], zones=2, balancers=40, **more),
            [(up, up % 2) for up in range(12)],
            seed=7,
        )
        decisions, out = [], []
        for step in range(400):
            rpc = b.admit(step * 40, step % 2, step * 40 + 9000)
            decisions.append(rpc.decide(step * 40))
            out.append(rpc)
            for rpc in out[-6:-3]:
                if rpc.outstanding:
                    how = load_balancing.COMPLETED if step % 9 else load_balancing.FAILED
                    rpc.attempt_finished(step * 40, 0, how, 60 + step % 50, True)
        return decisions

    defaults = {
        "weight_kind": "nominal",
        "my_number": 3,
        "excess_payoff": 0.1,
        "customers": [],
        "limits": {"multiplex": 1},
        "report": {"fields": ["busy_reqs"], "via": "inline"},
    }
    assert decide_all() == decide_all(**defaults)


# --- the configuration


@pytest.mark.parametrize(
    ("key", "value", "found"),
    [
        ("weight_kind", "heavy", "settings.weight_kind: found 'heavy'; expected one of off, nominal"),
        (
            "customers",
            [{"name": "a"}],
            "settings.customers[0]: found {'name': 'a'}; expected a table with allowance_per_s",
        ),
        (
            "customers",
            [{"name": "a", "allowance_per_s": -1.0}],
            "settings.customers[0].allowance_per_s: found -1.0; expected a number from 0",
        ),
        ("customers", {}, "settings.customers: found {}; expected a list of tables"),
        ("excess_payoff", 2, "settings.excess_payoff: found 2; expected a number from 0 to 1"),
        ("my_number", -1, "settings.my_number: found -1; expected a whole number from 0"),
        ("my_number", 1.5, "settings.my_number: found 1.5; expected a whole number"),
        ("balancers", 0, "settings.balancers: found 0; expected a whole number from 1"),
        ("objective_mix", {"slow_end": -1}, "settings.objective_mix.slow_end: found -1; expected"),
        (
            "objective_mix",
            {"miss_allowed": 2},
            "settings.objective_mix.miss_allowed: found 2; expected a number",
        ),
        ("objective_mix", 7, "settings.objective_mix: found 7; expected a table"),
        ("report", {"via": "x"}, "settings.report.via: found 'x'; expected one of off, on_probe, inline"),
        ("report", [], "settings.report: found []; expected a table"),
        ("my_number", True, "settings.my_number: found True; expected a whole number"),
        ("excess_payoff", None, "settings.excess_payoff: found None; expected a number from 0 to 1"),
    ],
)
def test_an_invalid_setting_is_named_with_what_is_allowed(tmp_path, key, value, found):
    conf = {**World().conf, key: value}
    assert deployment_problem(conf).startswith(found) and deployment_problem(World().conf) is None
    path = tmp_path / "config.json"
    path.write_bytes(
        orjson.dumps({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": conf})
    )
    for command in ("check-config", "serve"):
        run = CliRunner().invoke(app, [command, "--config", str(path)])
        assert run.exit_code == 2 and found.split(";")[0] in run.output and str(path) in run.output
        assert len(run.output.strip().splitlines()) == 1


def test_a_sidecar_number_out_of_range_is_refused_where_connections_are_shared():
    wrong = deployment_problem(settings(balancers=4, my_number=4, limits=SHARED))
    assert wrong.startswith("settings.my_number: found 4")
    assert deployment_problem(settings(balancers=4, my_number=4)) is None


@on_sockets
async def test_the_tenant_comes_with_the_request_and_an_invalid_one_is_refused():
    async def echo(head, body):
        return message(200, body)

    world = World(echo)
    world.conf["customers"] = [{"name": "a", "allowance_per_s": 9.0}, {"name": "b", "allowance_per_s": 9.0}]
    async with world:
        for number, attributes in enumerate(("project=1", "work_hint=3, project=1", "work_hint=2")):
            raw = request(b"x", "/m/1", 9000, f"r{number}", f"X-Attrs: {attributes}")
            assert (await ask(world, raw))[0] == 200
        seen = [round(count, 1) for count, _ in world.sidecar.pool.balancer.tenant_counts]
        assert seen == [1.0, 2.0]
        for bad in ("project=2", "project=-1", "project=x", "project="):
            assert (await ask(world, request(b"x", "/m/1", 9000, "bad", f"X-Attrs: {bad}")))[0] == 400


@on_sockets
async def test_weights_that_vary_reach_the_balancer_and_fill_neither_log_nor_disk():
    async def echo(head, body):
        return message(200, body)

    world = World(echo, echo)
    world.conf["weight_kind"] = "live"
    lines = []
    async with world:
        sink = logger.add(lines.append, level="INFO", format="{message}")
        saved_lists = []
        world.sidecar.pool.saved = type(
            "Saved", (), {"save_list": lambda _, saved_list: saved_lists.append(saved_list)}
        )()
        await world.tell(world.entry(0, weight=1.0), world.entry(1, weight=1.0))  # they had none before
        await world.tell(world.entry(0, weight=0.25), world.entry(1, weight=1.0))
        assert world.sidecar.pool.balancer.upstreams[0].reported_load > 1.0
        await world.tell(world.entry(1, "terminating", weight=1.0))
        logger.remove(sink)
        world.sidecar.pool.saved = None
    assert [len(saved_list["instances"]) for saved_list in saved_lists] == [0, 0, 1]
    assert sum("endpoint list updated" in line for line in lines) == 1


@on_sockets
async def test_on_sockets_a_sidecar_opens_connections_to_its_subset_only_and_moves_on_when_it_drains():
    async def echo(head, body):
        return message(200, body)

    world = World(*[echo] * 12, multiplex=100)
    world.conf["balancers"], world.conf["my_number"] = 100, 42
    async with world:
        for number in range(20):
            assert (await ask(world, request(b"x", name=f"r{number}")))[0] == 200
        used = [number for number, up in enumerate(world.upstreams) if up.seen]
        assert len(used) == 1 and sum(bool(up.connections) for up in world.upstreams) == 1
        await world.tell(world.entry(used[0], "terminating"))
        for number in range(20):
            assert (await ask(world, request(b"x", name=f"s{number}")))[0] == 200
        now = [number for number, up in enumerate(world.upstreams) if up.seen and number not in used]
        assert len(now) == 1 and len(world.upstreams[used[0]].seen) == 20


def test_a_warming_upstream_gets_no_more_than_its_rate_from_all_sidecars_that_use_it():
    # 60 sidecars with 2 requests a second, 12 upstreams: 10 a second each when warm, which they can serve.
    sent, users = [], 0
    for number in range(60):
        b = sidecar(number, 60, fleet_rows(12), own=number % 2)
        b.latency_sums, b.finish_rate.numerator, b.finish_rate.denominator = (
            [10.0, 10.0, 10_000.0, 10.0, 10_000.0],
            10.0,
            4 * load_balancing.SECOND,
        )
        b.fit_latency()
        start = 20 * load_balancing.SECOND
        (row0,) = [one for one in fleet_rows(12) if one[0] == 0]
        b.finish_rate.decayed_at = start
        b.list_changed(start, [(*row0[:3], start, *row0[4:])], False, True)
        up = b.upstreams[0]
        if b.own_zone != 0 or up not in b.zones[0].subset:
            continue
        users += 1
        for step in range(1, 201):  # its whole traffic would go there, for 10 s
            now = start + step * load_balancing.SECOND // 20
            b.finish_rate.decayed_at = now
            if b.is_warming_up(up, now) and b.has_slow_start_credit(up, now):
                b.charge_slow_start(up, now)
                sent.append(step / 20)
    assert users >= 4 and len(sent) > 30  # and it is not left idle
    for begin in range(9):
        window = [at for at in sent if begin < at <= begin + 2]
        able = 10 * sum(0.2 + 0.8 * (begin + part / 10) / 10 for part in range(20)) / 10
        assert len(window) <= 3.0 * able


# --- subsets where new connections have a price


def sidecar_with_price(number, sidecars, rows, zones=4, price=0.08, own=0):
    conf = settings(zones=zones, az=own, balancers=sidecars, my_number=number, prices={"handshake": price})
    b = load_balancing.Balancer(conf, number, 0)
    b.list_changed(0, rows, True, True)
    b.latency_sums = [100.0, 150.0, 60_000.0, 250.0, 90_000.0]
    b.fit_latency()
    return b


def send_sequentially(b, count=100, bad=(), whole=None):
    """Sends one request after another, as a sidecar with little traffic; upstreams in `bad` refuse.

    Returns the upstream of each attempt, and the number of completed requests.
    """
    used, done = [], 0
    for step in range(count):
        rpc = b.admit(step * 1000, 0, step * 1000 + 9000)
        answer = rpc.decide(step * 1000)
        while answer and answer[0] >= 0:
            used.append(answer[0])
            how = load_balancing.UNCONNECTED if answer[0] in bad else load_balancing.COMPLETED
            rpc.attempt_finished(
                step * 1000 + 1, len(rpc.attempts) - 1, how, 600, how == load_balancing.COMPLETED
            )
            done += how == load_balancing.COMPLETED
            answer = rpc.decide(step * 1000 + 1)
    return used, done


def test_two_hundred_sidecars_with_little_traffic_open_few_connections_where_each_has_a_price():
    # Each sidecar rotated over all of a hundred upstreams: a third to a half of all requests opened a
    # connection.
    use_counts, sent = dict.fromkeys(range(100), 0), dict.fromkeys(range(100), 0)
    for number in range(200):
        b = sidecar_with_price(number, 200, fleet_rows(100, 4), own=number % 4)
        used, _ = send_sequentially(b, 20)
        assert 3 <= len(b.zones[b.own_zone].subset) <= 8 and len(set(used)) <= 8
        for up in set(used):
            use_counts[up] += 1
        for up in used:
            sent[up] += 1
    assert max(use_counts.values()) <= 20 and min(use_counts.values()) >= 2 and max(sent.values()) <= 3 * 40
    assert len(set(send_sequentially(sidecar_with_price(0, 200, fleet_rows(100, 4), price=0.0))[0])) == 25


def test_a_subset_with_two_failing_upstreams_still_serves_and_a_replaced_fleet_is_assigned_anew():
    b = sidecar_with_price(7, 200, fleet_rows(100, 4))
    bad = {up.index for up in b.zones[0].subset[:2]}
    used, done = send_sequentially(b, 100, bad)
    assert done == 100 and len([up for up in used if up in bad]) < 20
    fresh = [(up + 1000, *one[1:]) for up, one in enumerate(fleet_rows(100, 4))]
    b.list_changed(10**6, fresh, True, True)
    assert 3 <= len(b.zones[0].subset) <= 5 and all(up.index >= 1000 for up in b.zones[0].rotation)
    assert b.zones[0].rotation == b.zones[0].subset


def test_a_connection_price_set_or_removed_at_a_reload_changes_the_subsets():
    b = sidecar_with_price(7, 200, fleet_rows(100, 4), price=0.0)
    assert b.zones[0].subset is None and len(b.zones[0].rotation) == 25
    conf = settings(zones=4, balancers=200, my_number=7, prices={"connection": 0.03})
    b.update_settings(conf)
    assert 3 <= len(b.zones[0].rotation) <= 5
    b.update_settings(settings(zones=4, balancers=200, my_number=7))
    assert b.zones[0].subset is None and len(b.zones[0].rotation) == 25


def test_few_sidecars_use_their_whole_zone_also_where_connections_have_a_price():
    for sidecars in (3, 8):
        b = sidecar_with_price(1, sidecars, fleet_rows(12, 4))
        assert len(b.zones[0].rotation) == 3
