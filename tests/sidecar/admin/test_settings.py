"""Settings at a reload: methods added, changed and removed, fewer transmissions, and invalid files."""

import asyncio
from copy import deepcopy
from dataclasses import replace
from pathlib import Path

import orjson
import pytest
from helpers import SILENT, World, ask, balancer, message, method, on_sockets, request, settings, until
from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.config import load_config
from shedgrade.sidecar.lifecycle.settings_checks import required_settings_problem
from shedgrade.sidecar.lifecycle.settings_reload import merge_settings, missing_key
from shedgrade.upstream_pool.errors import ConfigError


def serve(head, body):
    return message(200, body)


def method_named(name, **more):
    return {**method("once", soft=2e4, hard=2e4), "name": name, **more}


def write_config(world, folder, conf, **changes):
    path = folder / "config.json"
    text = {
        "name": "n",
        "listen": "%s:%d" % world.config.listen,  # noqa: UP031 (a pair fills both)
        "seed": "1",
        "discovery": "%s:%d" % world.config.discovery,  # noqa: UP031 (a pair fills both)
        "limits": {"sockets": 900, "memory_mb": 96},
        "settings": conf,
        **changes,
    }
    path.write_bytes(orjson.dumps(text))
    return str(path)


def reload_with(world, folder, conf, **changes):
    world.sidecar.config = replace(world.sidecar.config, path=write_config(world, folder, conf, **changes))
    world.sidecar.reload()


def test_a_reload_changes_methods_and_requests_in_flight_keep_theirs(tmp_path):
    @on_sockets
    async def scenario():
        release = asyncio.Event()

        async def late(head, body):
            await release.wait()
            return serve(head, body)

        async with World(late, late, methods=[method_named("m"), method_named("old")]) as world:
            held_requests = [
                asyncio.create_task(ask(world, request(b"x", f"/{name}/1", name=name)))
                for name in ("m", "old")
            ]
            await until(lambda: world.sent() == 2)
            conf = deepcopy(world.conf)
            conf["methods"] = [method_named("fresh"), method_named("m", idempotency="repeatable")]
            conf["limits"]["most_transmissions"] = 1
            reload_with(world, tmp_path, conf)
            b = world.sidecar.pool.balancer
            assert b.max_attempts == 1 and [one.name for one in b.methods] == ["fresh", "m"]
            assert all(
                not one.rpc.method.idempotent
                for one in world.sidecar.pool.dispatcher.active_requests.requests
            )
            assert (await ask(world, request(target="/old/1", name="b")))[0] == 404
            release.set()
            assert [(await pending_request)[0] for pending_request in held_requests] == [200, 200]
            for name in ("fresh", "m"):
                assert (await ask(world, request(target=f"/{name}/1", name=name + "2")))[0] == 200
            reload_with(world, tmp_path, {**conf, "az": 0, "zones": ["0", "1"], "tick": 5.0})
            assert len(b.zones) == 1 and b.deadline_margin == 100  # zones need a restart, the tick does not

    scenario()


def test_fewer_transmissions_apply_at_once_and_learned_state_is_kept():
    conf = settings([method("repeatable"), {**method(), "name": "n"}], limits={"most_transmissions": 3})
    b = balancer(conf, [(0, 0), (1, 0), (2, 0)])
    rpc = b.admit(0, 0, 10_000)
    assert rpc.decide(0)[0] >= 0
    rpc.attempt_finished(10, 0, load_balancing.UNSENT, 10, False)
    patience, sums = b.methods[0].longest_timeout, list(b.latency_sums)
    limits = {**conf["limits"], "most_transmissions": 1}
    b.update_settings({**conf, "methods": conf["methods"][::-1], "limits": limits})
    assert rpc.decide(10) == (load_balancing.EXHAUSTED, 9990)  # one attempt was made, which is now the limit
    assert (
        b.methods[1].longest_timeout == patience > 0 == b.methods[0].longest_timeout
        and b.latency_sums == sums
    )


BAD = [None, "", "5", 0, -1, True, float("inf")]


@pytest.mark.parametrize("key", ["soft_deadline", "hard_deadline", "most_transmissions"])
@pytest.mark.parametrize("value", BAD)
def test_deadlines_and_transmissions_must_be_positive_numbers(key, value):
    conf = deepcopy(World().conf)
    (conf["limits"] if key == "most_transmissions" else conf["methods"][0])[key] = value
    assert key in required_settings_problem(conf) and "\n" not in required_settings_problem(conf)


def without_key(conf, path):
    conf = deepcopy(conf)
    *way, last = path
    table = conf
    for step in way:
        table = table[step]
    del table[last]
    return conf


def test_a_missing_key_is_reported_by_name():
    conf = World().conf
    key_paths = [(key,) for key in ("methods", "limits", "rules", "prices", "tick", "az")]
    key_paths += [("methods", 0, key) for key in conf["methods"][0] if key != "stream"]
    key_paths += [
        ("limits", key)
        for key in (
            "most_transmissions",
            "parallel_tries",
            "cancelling",
            "retry_after",
            "max_retry_after",
            "dial_timeout",
            "idle_close",
        )
    ]
    key_paths += [("rules", key) for key in conf["rules"] if key != "overload_for"]
    assert required_settings_problem(conf) is None
    for path in key_paths:
        assert str(path[-1]) in required_settings_problem(without_key(conf, path)), path
    assert missing_key(conf, conf) is None
    for path in [path for path in key_paths if 0 not in path] + [("customers",), ("report", "via")]:
        assert missing_key(conf, without_key(conf, path)) == ".".join(map(str, path))


def test_an_invalid_file_changes_nothing(tmp_path):
    @on_sockets
    async def scenario():
        async with World(serve, methods=[method_named("m")]) as world:
            warnings = []
            sink = logger.add(warnings.append, level="WARNING", format="{message}: {extra[error]}")
            good = deepcopy(world.conf)
            good["methods"].append(method_named("fresh"))
            reload_with(world, tmp_path, good)
            assert set(world.sidecar.pool.methods) == {b"m", b"fresh"} and not warnings
            path = world.sidecar.config.path
            text = file_bytes = Path(path).read_bytes()
            other = deepcopy(good)
            other["methods"] = [method_named("other")]
            worse = deepcopy(other)
            worse["methods"][0]["hard_deadline"] = 0
            bad = [
                b"",
                b"{}",
                text[: len(text) // 2],
                text[:-1],
                b"[]",
                b"null",
                orjson.dumps({**orjson.loads(text), "settings": worse}),
                orjson.dumps({**orjson.loads(text), "settings": without_key(other, ("prices",))}),
                orjson.dumps(without_key({**orjson.loads(text), "settings": other}, ("limits",))),
                text.replace(b'"hard_deadline":20000.0', b'"hard_deadline":NaN'),
                text.replace(b'"name":"fresh"', b'"name":"m"'),
            ]
            for file_bytes in bad:
                with open(path, "wb") as file:
                    file.write(file_bytes)
                warnings.clear()
                world.sidecar.reload()
                assert len(warnings) == 1 and "reload rejected" in warnings[0], file_bytes[:60]
                assert warnings[0].count("\n") == 1 and path in warnings[0]
                assert set(world.sidecar.pool.methods) == {b"m", b"fresh"}
            logger.remove(sink)
            assert (await ask(world))[0] == 200

    scenario()


def test_keys_that_need_a_restart_are_reported():
    current = World().conf
    limits = {**current["limits"], "multiplex": 5}
    merged, restart_needed = merge_settings(
        current, {**current, "zones": ["x"], "tick": 2.0, "limits": limits}
    )
    assert merged == {**current, "tick": 2.0} and restart_needed == [
        "settings.zones",
        "settings.limits.multiplex",
    ]


def test_an_invalid_file_is_rejected_at_the_start(tmp_path):
    world = World()
    world.config = type("Addresses", (), {"listen": ("127.0.0.1", 1), "discovery": ("127.0.0.1", 1)})
    conf = deepcopy(world.conf)
    conf["methods"][0]["soft_deadline"] = -5
    with pytest.raises(ConfigError, match=r"methods\[0\].soft_deadline: found -5; expected a number over 0"):
        load_config(write_config(world, tmp_path, conf))


@on_sockets
async def test_requests_read_before_a_reload_keep_their_method(tmp_path=None):
    async with World(lambda head, body: SILENT, methods=[method_named("m"), method_named("n")]) as world:
        pool = world.sidecar.pool
        connection = await world.connect()
        connection[1].write(request(target="/n/1"))
        while not pool.dispatcher.events:  # the request was read and queued, but no decision made
            await asyncio.sleep(0)
        pool.update_settings(
            {**world.conf, "methods": [method_named("n", hard_deadline=5.0), method_named("x")]}
        )
        (rpc,) = (active_request.rpc for active_request in pool.dispatcher.active_requests.requests)
        assert rpc.method.name == "n" and rpc.method.hard_deadline == 200_000
        connection[1].close()
