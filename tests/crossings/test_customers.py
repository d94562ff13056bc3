"""Settings of other customers: names and tenants as their clients write them, entries of lists that are not
sound for this one."""
from crossings.peers import Crossed
from crossings.test_watches import Asked, quick
from helpers import PATIENT, ask, method, on_sockets, request, until

from shedgrade.wire import discovery

TENANTS = [{"name": name, "share": 0.5, "allowance_per_s": 50.0} for name in ("guild-a", "zünfte b")]


def test_tenants_are_known_by_the_name_that_the_settings_give_them():
    """Played (slow-ledger): clients send `X-Tenant-Id` with a name; it was not read, all were the first's."""
    @on_sockets
    async def scenario():
        async with Crossed(upstreams=1, methods=[PATIENT]) as world:
            conf = {**world.conf, "customers": TENANTS}
            world.sidecar.pool.retuned(conf)
            balancer, tenants = world.sidecar.pool.balancer, []
            take = balancer.take
            balancer.take = lambda now, method, at, retry, tag, tenant: (
                tenants.append(tenant), take(now, method, at, retry, tag, tenant))[1]
            for number, head in enumerate(([], ["X-Tenant-Id: guild-a"], ["X-Tenant-Id: zünfte b"],
                                           ["X-Attrs: project=1"], ["X-Tenant-Id: of somebody else"])):
                assert (await ask(world, request(b"x", "/m/1", 15000, f"r{number}", *head)))[0] == 200
            assert tenants == [0, 0, 1, 1, 2]       # one that has no share here is beyond the last
    scenario()


def test_methods_are_known_by_what_a_path_has_to_write_for_their_names():
    names = ["hold seat", "prüfung", "a%20b", "roll.call~v2@desk,x;y=1"]

    @on_sockets
    async def scenario():
        async with Crossed(upstreams=1, methods=[{**PATIENT, "name": name} for name in names]) as world:
            for number, path in enumerate(("hold%20seat", "pr%C3%BCfung", "a%20b", "roll.call~v2@desk,x;y=1",
                                           "roll.call%7Ev2%40desk,x;y=1")):
                assert (await ask(world, request(b"x", f"/{path}/1?q=%20", 15000, f"r{number}")))[0] == 200
                assert world.upstreams[0].seen[-1][0][0] == f"POST /{path}/1?q=%20 HTTP/1.1"    # as it came
            for path in ("hold", "%", "a%2520", "nobody%20s"):
                assert (await ask(world, request(b"x", f"/{path}", 15000, path)))[0] == 404
    scenario()


def test_an_entry_that_is_never_sound_does_not_keep_a_drain_from_being_heard(monkeypatch):
    """A zone that only a start makes known: every later change was refused with it."""
    quick(monkeypatch)

    @on_sockets
    async def scenario():
        async with Asked(upstreams=2) as world:
            far = {**world.entry(1), "instanceId": "s-far", "zone": "of-a-later-start"}
            change = world.listing(far, 7, {}, world.entry(0, "terminating"), generation=2)
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.ups[0].listed)
            assert world.sidecar.pool.balancer.ups[1].listed and "s-far" not in world.sidecar.pool.reader.told
            # It is asked for again before that: what was spoilt on its way comes whole.
            assert sum("after=1&" in call for call in world.agent.calls) >= discovery.UNSOUND
    scenario()


def test_that_a_known_upstream_drains_counts_whatever_else_is_wrong_with_its_entry(monkeypatch):
    quick(monkeypatch)

    @on_sockets
    async def scenario():
        async with Asked(upstreams=2, methods=[method("once", soft=2e4, hard=2e4)]) as world:
            change = world.listing({**world.entry(0, "terminating"), "zone": "nowhere", "weight": "much"},
                                   {**world.entry(1), "hostPort": "nowhere"}, generation=2)
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.ups[0].listed)
            assert (await ask(world, request(b"one")))[0] == 200 and not world.upstreams[0].seen
    scenario()


def test_a_whole_list_with_entries_that_are_not_sound_removes_nobody_for_that(monkeypatch):
    quick(monkeypatch)

    @on_sockets
    async def scenario():
        async with Asked(upstreams=2) as world:
            change = world.listing({**world.entry(0), "zone": "nowhere"}, world.entry(1, "terminating"),
                                   {"instanceId": 7}, reset=True, generation=2)
            world.agent.answers += [change] * 12
            await until(lambda: world.sidecar.pool.reader.version == 2)
            await until(lambda: not world.sidecar.pool.balancer.ups[1].listed)
            assert world.sidecar.pool.balancer.ups[0].listed
            assert (await ask(world, request(b"one")))[0] == 200 and not world.upstreams[1].seen
    scenario()
