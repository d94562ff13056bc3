"""The gate before the decisions: identities, settling once, reload, the configuration; and on loopback."""

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

TEXT = """
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


def features(tmp_path, text=TEXT):
    (tmp_path / "f.toml").write_text(text)
    return load_features(tmp_path / "f.toml")


def who(text, login=""):
    return ActiveRequest(None, Request(b"1", b"POST", b"/m", [(b"X-Attrs", text.encode())], b""), login)


def test_identities_lead_to_their_leaf_and_the_unknown_share_one(tmp_path):
    gate = Gate(features(tmp_path).quota, 1)
    for text, name in (
        ("org=big,store=7", "all/big/7"),
        ("store=one, ORG=small", "all/small/one"),
        ("org=small,store=two", "all/others"),
        ("org=new,store=1", "all/others"),
        ("org=big", "all/others"),
        ("", "all/others"),
    ):
        assert gate.tree.find(0, gate.identity(who(text)), gate.default_leaf).full_name() == name


def test_refusals_say_how_long_and_not_all_alike(tmp_path):
    gate = Gate(features(tmp_path).quota, 1)
    found = []
    for _ in range(20):
        got = gate.enter(0, who("org=big,store=7"), 0, False, 0.0)
        if isinstance(got, Ticket):
            gate.leave(0, got, 0, True, 100)
        else:
            found.append(got)
    # 4 of its own, 2 that are nobody's; of the 3 that small may lend none at once: loans come evenly.
    assert len(found) == 14 and min(found) > 0 and len(set(found)) > 3
    assert gate.refused


def test_a_reload_keeps_what_is_counted_and_settles_what_is_in_flight_under_a_node_that_is_gone(tmp_path):
    gate = Gate(features(tmp_path).quota, 1)
    held = [gate.enter(0, who("org=small,store=one"), 0, False, 0.0) for _ in range(3)]
    root = gate.tree.root
    gate.update(
        features(
            tmp_path,
            TEXT.replace("[quota.tree.children.small.children.one]", "").replace(
                "ceiling = 6}", "ceiling = 4}"
            ),
        ).quota
    )
    flight = root.accounts["flight", 0]
    assert flight.in_flight == 3 and root.accounts["requests", 10_000].window.used == 3
    assert (
        gate.tree.find(0, gate.identity(who("org=small,store=one")), gate.default_leaf) is gate.default_leaf
    )
    assert isinstance(gate.enter(0, who("org=big,store=1"), 0, False, 0.0), Ticket)
    assert not isinstance(
        gate.enter(0, who("org=big,store=1"), 0, False, 0.0), Ticket
    )  # the new ceiling of 4 in flight
    for ticket in held:
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
def test_a_tree_that_cannot_be_is_refused_in_one_line(tmp_path, old, new, key):
    assert old in TEXT
    with pytest.raises(ConfigError) as wrong:
        features(tmp_path, TEXT.replace(old, new, 1))
    assert "f.toml" in str(wrong.value) and key in str(wrong.value) and "\n" not in str(wrong.value)
    assert CliRunner().invoke(app, ["quota", "check", str(tmp_path / "f.toml")]).exit_code == 2


def test_check_and_explain(tmp_path):
    features(tmp_path)
    shown = CliRunner().invoke(app, ["quota", "check", str(tmp_path / "f.toml")]).output
    assert "all/big: requests in 1 s 10 (guarantee 4), flight 6, template" in shown
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
        self.part = QuotaFeature(self.sidecar, load_features(self.path).quota)
        self.sidecar.features.append(self.part)


def test_on_loopback_a_refusal_is_prompt_reaches_nobody_and_leaves_nothing_behind(tmp_path):
    (tmp_path / "f.toml").write_text(TEXT.replace("window_s = 1.0", "window_s = 3600.0"))
    gate = asyncio.Event()

    async def slow(head, body):
        if b"wait" in body:
            await gate.wait()
        return message(200, body)

    @on_sockets
    async def scene():
        world = QuotaWorld(slow, slow)
        world.path = tmp_path / "f.toml"
        async with world:
            root = world.part.gate.tree.root
            for number in range(4):
                status, head, _ = await ask(
                    world, request(b"", "/m/1", 9000, f"a{number}", "X-Attrs: org=x,store=y")
                )
                assert status == (200 if number < 2 else 503)
            assert world.sent() == 2 and root.in_flight == 0
            # A client that leaves while it is carried: its ticket is settled by the one end there is.
            reader, writer = await world.connect()
            writer.write(request(b"wait", "/m/1", 9000, "gone", "X-Attrs: org=small,store=one"))
            await until(lambda: world.sent() == 3)
            assert root.in_flight == 1
            writer.close()
            await until(lambda: root.in_flight == 0)
            assert root.accounts["requests", 36_000_000].window.used == 3  # it may have run: it stays charged
            gate.set()
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
            assert root.accounts["requests", 36_000_000].window.used == 3  # it never ran: given back

    scene()


def test_a_login_names_who_asks_and_upstreams_counts_move_the_share(tmp_path):
    fleet = '[quota.fleet]\nheader = "X-Served"\nsidecars = 4\nepoch_s = 1.0\neven = 0.5\n[quota.tree]'
    text = TEXT.replace("[quota]", '[quota]\nsource = "login"').replace("ceiling = 10", "ceiling = 1000")
    gate = Gate(features(tmp_path, text.replace("[quota.tree]", fleet, 1)).quota, 1)
    for login, name in (
        ("big/7", "all/big/7"),
        ("big", "all/others"),
        ("", "all/others"),
        ("a/b/c", "all/others"),
    ):
        found = gate.tree.find(0, gate.identity(who("org=small,store=one", login)), gate.default_leaf)
        assert found.full_name() == name
    root = gate.tree.root.accounts["requests", 10_000]
    assert gate.tree.terms.share == 125_000
    count = 0
    for now in range(0, 60_000, 500):
        gate.refresh_share(now, 1)
        for value in (b"%d" % (count := count + 1), b"-1", b"9" * 40, b""):
            gate.record_answer(3, value)
    gate.enter(0, who("", "big/7"), 0, False, 0.0)
    assert gate.tree.terms.share == 625_000 and root.ceiling == 625
    gate.update(features(tmp_path).quota)
    assert gate.share is None and gate.tree.terms.share == 1_000_000


def test_a_retry_that_meets_the_same_refusal_is_to_stay_away_longer_and_is_charged_once(tmp_path):
    gate = Gate(features(tmp_path, TEXT.replace('flight", ceiling = 6', 'flight", ceiling = 1')).quota, 1)
    ticket = gate.enter(0, who("org=big,store=7"), 0, False, 0.0)
    assert isinstance(ticket, Ticket)
    gate.leave(0, ticket, 0, True, 1)
    for _ in range(9):
        got = gate.enter(0, who("org=x"), 0, False, 0.0)
        if isinstance(got, Ticket):
            gate.leave(0, got, 0, True, 1)
    first, again = (gate.enter(9_000, who("org=x"), 0, again, 0.0) for again in (False, True))
    assert (
        1_500 <= first <= 2_300 * 1.5 and again >= 2 * 1_500
    )  # room at 10,710, when its two of others leave
    assert gate.tree.root.accounts["requests", 10_000].window.used == 3
    assert isinstance(gate.enter(10_720, who("org=x"), 0, True, 0.0), Ticket)
