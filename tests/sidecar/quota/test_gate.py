"""The gate in front of the balancer: identities, settling, reloads, invalid configurations, and loopback."""

import asyncio
import json

import pytest
from helpers import World, ask, message, on_sockets, request, until
from typer.testing import CliRunner

from shedgrade.cli import app
from shedgrade.in_flight import ActiveRequest, Request
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.quota.feature import QuotaFeature
from shedgrade.sidecar.quota.gate import Gate
from shedgrade.sidecar.quota.tree import Ticket
from shedgrade.upstream_pool.errors import ConfigError

CONFIGURATION = """
[quota]
identity = ["org", "store"]
[quota.tree]
limits = [{dimension = "requests", window_s = 1.0, ceiling = 10}, {dimension = "flight", ceiling = 6}]
[quota.tree.children.big]
limits = [{dimension = "requests", window_s = 1.0, ceiling = 10, guarantee = 4}]
[quota.tree.children.big.template]
limits = [{dimension = "requests", window_s = 1.0, ceiling = 8}]
[quota.tree.children.small]
limits = [{dimension = "requests", window_s = 1.0, ceiling = 10, guarantee = 4}]
[quota.tree.children.small.children.one]
[quota.tree.children.others]
limits = [{dimension = "requests", window_s = 1.0, ceiling = 2}]
"""


def load_configuration(tmp_path, text=CONFIGURATION):
    (tmp_path / "f.toml").write_text(text)
    return load_features(tmp_path / "f.toml")


def active_request(text, login=""):
    return ActiveRequest(None, Request(b"1", b"POST", b"/m", [(b"X-Attrs", text.encode())], b""), login)


def test_known_identities_find_their_leaf_and_unknown_ones_share_the_default_leaf(tmp_path):
    gate = Gate(load_configuration(tmp_path).quota, 1)
    for text, name in (
        ("org=big,store=7", "all/big/7"),
        ("store=one, ORG=small", "all/small/one"),
        ("org=small,store=two", "all/others"),
        ("org=new,store=1", "all/others"),
        ("org=big", "all/others"),
        ("", "all/others"),
    ):
        assert gate.tree.find(0, gate.identity(active_request(text)), gate.default_leaf).full_name() == name


def test_refusals_return_waits_that_are_spread(tmp_path):
    gate = Gate(load_configuration(tmp_path).quota, 1)
    waits = []
    for _ in range(20):
        decision = gate.enter(0, active_request("org=big,store=7"), 0, False, 0.0)
        if isinstance(decision, Ticket):
            gate.leave(0, decision, 0, True, 100)
        else:
            waits.append(decision)
    # 4 within its guarantee and 2 that nobody is entitled to. Of the 3 that small may lend, none is lent at
    # once, as loans are paced evenly.
    assert len(waits) == 14 and min(waits) > 0 and len(set(waits)) > 3
    assert gate.refused


def test_a_reload_keeps_use_and_settles_requests_in_flight_under_a_removed_node(tmp_path):
    gate = Gate(load_configuration(tmp_path).quota, 1)
    tickets = [gate.enter(0, active_request("org=small,store=one"), 0, False, 0.0) for _ in range(3)]
    root = gate.tree.root
    gate.update(
        load_configuration(
            tmp_path,
            CONFIGURATION.replace("[quota.tree.children.small.children.one]", "").replace(
                "ceiling = 6}", "ceiling = 4}"
            ),
        ).quota
    )
    flight = root.accounts["flight", 0]
    assert flight.in_flight == 3 and root.accounts["requests", 10_000].window.used == 3
    assert (
        gate.tree.find(0, gate.identity(active_request("org=small,store=one")), gate.default_leaf)
        is gate.default_leaf
    )
    assert isinstance(gate.enter(0, active_request("org=big,store=1"), 0, False, 0.0), Ticket)
    # The new ceiling of 4 in flight is reached.
    assert not isinstance(gate.enter(0, active_request("org=big,store=1"), 0, False, 0.0), Ticket)
    for ticket in tickets:
        gate.leave(5, ticket, 0, False, 0)
    assert flight.in_flight == 1 and root.accounts["requests", 10_000].window.used == 1


@pytest.mark.parametrize(
    "old, new, key",
    [
        ("window_s = 1.0, ceiling = 10}, {", "ceiling = 10}, {", "tree.limits[0].window_s"),
        ("ceiling = 10, guarantee = 4}]", "ceiling = 3, guarantee = 4}]", "big.limits[0].guarantee"),
        (
            '{dimension = "flight", ceiling = 6}',
            '{dimension = "requests", window_s = 1.0, ceiling = 6}',
            "limits[1]",
        ),
        ("ceiling = 10}, {", "ceiling = 7}, {", "tree.children"),
        ('["org", "store"]', '["org"]', "deeper"),
        ("ceiling = 8}", "ceiling = 8, guarantee = 1}", "template"),
        ("[quota.tree.children.small]", "[quota.tree.children.small]\nlends_to = ['bog']", "small.lends_to"),
        (
            "[quota.tree.children.small]",
            "[quota.tree.children.small]\nlends_to = ['small']",
            "small.lends_to",
        ),
        ("[quota.tree.children.small]", "[quota.tree.children.small]\ntemplate = 'shop'", "small.template"),
        (
            "[quota.tree.children.others]",
            "[quota.templates.x]\ntemplate = 'y'\n[quota.templates.y.children.z]\n"
            "template = 'x'\n[quota.tree.children.others]",
            "templates.x",
        ),
        ("[quota.tree]", "repay_windows = 3\n[quota.tree]", "repay_windows"),
        ("[quota]", "[quota]\nshares = 1", "shares"),
    ],
)
def test_an_invalid_tree_is_rejected_in_one_line(tmp_path, old, new, key):
    assert old in CONFIGURATION
    with pytest.raises(ConfigError) as raised:
        load_configuration(tmp_path, CONFIGURATION.replace(old, new, 1))
    assert "f.toml" in str(raised.value) and key in str(raised.value) and "\n" not in str(raised.value)
    assert CliRunner().invoke(app, ["quota", "check", str(tmp_path / "f.toml")]).exit_code == 2


def test_check_prints_the_tree_and_explain_replays_a_trace(tmp_path):
    load_configuration(tmp_path)
    output = CliRunner().invoke(app, ["quota", "check", str(tmp_path / "f.toml")]).output
    assert "all/big: requests in 1 s 10 (guarantee 4), flight 6, template" in output
    (tmp_path / "t.jsonl").write_text(
        "".join(json.dumps({"at_ms": 10 * number, "id": str(number)}) + "\n" for number in range(12))
    )
    told = (
        CliRunner()
        .invoke(
            app,
            [
                "quota",
                "explain",
                str(tmp_path / "f.toml"),
                "--as",
                "nobody/1",
                "--trace",
                str(tmp_path / "t.jsonl"),
            ],
        )
        .output
    )
    assert "2 of 12 admitted" in told and "refused by all/others: requests in 1 s, ceiling 2" in told


class QuotaWorld(World):
    def prepare(self):
        self.feature = QuotaFeature(self.sidecar, load_features(self.path).quota)
        self.sidecar.features.append(self.feature)


def test_on_loopback_a_refused_request_reaches_no_upstream_and_leaves_no_ticket(tmp_path):
    (tmp_path / "f.toml").write_text(CONFIGURATION.replace("window_s = 1.0", "window_s = 3600.0"))
    released = asyncio.Event()

    async def slow(head, body):
        if b"wait" in body:
            await released.wait()
        return message(200, body)

    @on_sockets
    async def scenario():
        world = QuotaWorld(slow, slow)
        world.path = tmp_path / "f.toml"
        async with world:
            root = world.feature.gate.tree.root
            for number in range(4):
                status, head, _ = await ask(
                    world, request(b"", "/m/1", 9000, f"a{number}", "X-Attrs: org=x,store=y")
                )
                assert status == (200 if number < 2 else 503)
            assert world.sent() == 2 and root.in_flight == 0
            # A client disconnects while its request is in flight: the end of the request settles its ticket.
            reader, writer = await world.connect()
            writer.write(request(b"wait", "/m/1", 9000, "gone", "X-Attrs: org=small,store=one"))
            await until(lambda: world.sent() == 3)
            assert root.in_flight == 1
            writer.close()
            await until(lambda: root.in_flight == 0)
            # The request may have run, so it stays charged.
            assert root.accounts["requests", 36_000_000].window.used == 3
            released.set()
            await asyncio.sleep(0.05)
            world.upstreams[0].stop()
            world.upstreams[1].stop()
            for upstream in world.upstreams:
                for one in list(upstream.writers):
                    one.transport.abort()
            await asyncio.sleep(0.05)
            assert (await ask(world, request(b"", "/m/1", 900, "b", "X-Attrs: org=small,store=one")))[
                0
            ] == 503
            # This request never ran, so its charge was refunded.
            assert root.accounts["requests", 36_000_000].window.used == 3

    scenario()


def test_a_login_is_the_identity_and_counts_of_upstreams_change_the_share(tmp_path):
    fleet = '[quota.fleet]\nheader = "X-Served"\nsidecars = 4\nepoch_s = 1.0\neven = 0.5\n[quota.tree]'
    text = CONFIGURATION.replace("[quota]", '[quota]\nsource = "login"').replace(
        "ceiling = 10", "ceiling = 1000"
    )
    gate = Gate(load_configuration(tmp_path, text.replace("[quota.tree]", fleet, 1)).quota, 1)
    for login, name in (
        ("big/7", "all/big/7"),
        ("big", "all/others"),
        ("", "all/others"),
        ("a/b/c", "all/others"),
    ):
        leaf = gate.tree.find(
            0, gate.identity(active_request("org=small,store=one", login)), gate.default_leaf
        )
        assert leaf.full_name() == name
    root = gate.tree.root.accounts["requests", 10_000]
    assert gate.tree.terms.share == 125_000
    count = 0
    for now in range(0, 60_000, 500):
        gate.refresh_share(now, 1)
        for value in (b"%d" % (count := count + 1), b"-1", b"9" * 40, b""):
            gate.record_answer(3, value)
    gate.enter(0, active_request("", "big/7"), 0, False, 0.0)
    assert gate.tree.terms.share == 625_000 and root.ceiling == 625
    gate.update(load_configuration(tmp_path).quota)
    assert gate.share is None and gate.tree.terms.share == 1_000_000


def test_a_refused_retry_waits_longer_and_refused_requests_are_not_charged(tmp_path):
    gate = Gate(
        load_configuration(
            tmp_path, CONFIGURATION.replace('flight", ceiling = 6', 'flight", ceiling = 1')
        ).quota,
        1,
    )
    ticket = gate.enter(0, active_request("org=big,store=7"), 0, False, 0.0)
    assert isinstance(ticket, Ticket)
    gate.leave(0, ticket, 0, True, 1)
    for _ in range(9):
        decision = gate.enter(0, active_request("org=x"), 0, False, 0.0)
        if isinstance(decision, Ticket):
            gate.leave(0, decision, 0, True, 1)
    first, again = (gate.enter(9_000, active_request("org=x"), 0, again, 0.0) for again in (False, True))
    # There is room at 10,710, when the two requests of others leave the window.
    assert 1_500 <= first <= 2_300 * 1.5 and again >= 2 * 1_500
    assert gate.tree.root.accounts["requests", 10_000].window.used == 3
    assert isinstance(gate.enter(10_720, active_request("org=x"), 0, True, 0.0), Ticket)
