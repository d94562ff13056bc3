"""The judge finds each planted fault, and none in a history without one."""

import json
from dataclasses import replace

import pytest

from shedgrade.engines import content
from shedgrade.engines.records import Run
from shedgrade.lab.system import history
from shedgrade.lab.system.demo import KINDS, ZONES, configuration
from shedgrade.lab.system.history import History, Order, Try
from shedgrade.lab.system.judge import judge, verdict
from shedgrade.lab.system.site import BOUNDS

KEY = b"the judge's key."
KIND = {kind.name: kind for kind in KINDS}
SERVICES = ["chat-lm", "lookup"]


def put(version, base, at=0.0, status=200, kinds=KINDS, **more):
    body = json.dumps(configuration(version, kinds, SERVICES)).encode()
    return Order("put", at, at + 0.1, status, base=base, version=version, body=body, **more)


def a_try(kind="book", number=1, at=10.0, **more):
    """A whole success, and its run."""
    told = KIND[kind]
    target = f"{told.prefix}{number:x}"
    asked = content.digest(b"POST", target.encode(), b"")
    one = Try(
        f"t-{number}",
        number,
        told,
        target,
        asked,
        "quay",
        "north",
        "edge",
        at,
        at + 0.05,
        at + 0.1,
        200,
        True,
        f"t-{number}",
    )
    one.seal = content.seal(KEY, "i-1", one.attempt, one.digest)
    if told.streams:
        one.events = [(event, content.mark(one.digest, event), at) for event in range(1, told.events + 1)]
    else:
        one.body = content.body(one.digest, told.answer_bytes)
    for name, value in more.items():
        setattr(one, name, value)
    return one


def a_run(one, **more):
    return replace(
        Run(
            one.sent_at + 0.01,
            "i-1",
            one.kind.service,
            "quay",
            one.attempt,
            "POST",
            one.target,
            one.digest,
            ran_at=one.sent_at + 0.02,
            outcome="done",
        ),
        **more,
    )


def past(*tries, runs=None, orders=None, **more):
    told = History(
        tries={one.attempt: one for one in tries},
        runs=[a_run(one) for one in tries] if runs is None else runs,
        orders=[put(1, 0)] if orders is None else orders,
        **more,
    )
    if told.read_back is None:
        told.read_back = told.orders[-1].body
    return told


def rules(told, **more):
    return sorted({breach.rule for breach in judge(told, KEY, ZONES, BOUNDS, **more)})


@pytest.mark.parametrize("kind", list(KIND))
def test_a_sound_history_breaks_no_rule(kind):
    told = past(*(a_try(kind, number, 10.0 + number) for number in range(5)))
    found = judge(told, KEY, ZONES, BOUNDS, cold_rate=5.0)
    assert found == [] and verdict(found) == "no rule was broken"


@pytest.mark.parametrize(
    "spoil",
    [
        {"seal": ""},
        {"seal": "i-1.0000"},
        {"body": b"half"},
        {"echoed_attempt": "t-9"},
        {"encoding": "gzip"},
        {"unexpected_bytes": True},
    ],
)
def test_a_success_that_is_not_the_upstreams_is_mixed(spoil):
    assert rules(past(a_try(**spoil))) == ["MIXED"]


def test_a_seal_of_one_that_did_not_run_it_is_mixed():
    one = a_try()
    assert rules(past(one, runs=[])) == ["MIXED"]
    assert rules(past(one, runs=[a_run(one, instance="i-2")])) == ["MIXED"]


def test_bytes_that_belong_to_nobody_are_mixed():
    assert rules(past(a_try(), stray=["bytes"])) == ["MIXED"]


@pytest.mark.parametrize(
    "keep",
    [
        lambda events: events[:3] + events[4:],
        lambda events: events[:4] + events[3:],
        lambda events: events[:-1],
        lambda events: events[1:],
        lambda events: [],
    ],
)
def test_a_stream_with_a_piece_that_is_missing_or_comes_twice_breaks_order(keep):
    one = a_try("reply")
    assert rules(past(replace(one, events=keep(one.events)))) == ["ORDER"]


def test_a_stream_of_another_request_is_mixed():
    one, other = a_try("reply"), a_try("reply", 2)
    assert "MIXED" in rules(past(replace(one, events=other.events), other))


def test_a_stream_is_whole_over_two_tries():
    first = a_try("reply", 1, whole=False, failure=history.CLOSED)
    first.events = first.events[:6]
    second = a_try("reply", 2, last_event_before=6)
    second.events = second.events[6:]
    told = past(first, second)
    told.runs[0].outcome = "cut"
    assert rules(told) == []
    second.last_event_before = 5
    assert rules(told) == ["ORDER"]


@pytest.mark.parametrize(
    "kind, broken", [("book", ["TWICE"]), ("digest", ["TWICE"]), ("find", []), ("reply", [])]
)
def test_what_may_not_be_repeated_runs_once(kind, broken):
    one = a_try(kind)
    assert rules(past(one, runs=[a_run(one), a_run(one, instance="i-2")])) == broken


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_about_a_request_that_ran_breaks_refused(status):
    one = a_try(status=status, seal="", body=b"")
    assert rules(past(one)) == ["REFUSED"]
    assert rules(past(one, runs=[a_run(one, ran_at=None)])) == []
    assert rules(past(replace(one, status=502))) == []


def test_a_request_that_no_client_sent_or_that_was_changed_is_unasked():
    one = a_try()
    assert rules(past(one, runs=[a_run(one), a_run(one, attempt="")])) == ["UNASKED"]
    assert rules(past(one, runs=[a_run(one, asked=b"other")])) == ["UNASKED"]


def test_a_request_outside_its_homes_is_found_also_where_it_did_not_run():
    one = a_try("digest")
    assert rules(past(one, runs=[a_run(one), a_run(one, zone="dale", ran_at=None, outcome="503 full")])) == [
        "HOME"
    ]


def test_requests_that_the_directory_led_to_a_region_that_is_no_home_are_found():
    """The client's own region counts as well; so does one in twenty, which may have been on its way."""
    regions = {"1:80": "north", "2:80": "west", "3:80": "south"}
    home, own, abroad = (
        [a_try("digest", number, region=region, sidecar=sidecar) for number in numbers]
        for region, sidecar, numbers in [
            ("north", "1:80", range(1, 20)),
            ("south", "3:80", (20,)),
            ("north", "3:80", (21, 22)),
        ]
    )
    assert KIND["digest"].home_regions == ("north", "west")
    assert rules(past(*home, *own, abroad[0], edge_regions=regions)) == []
    assert rules(past(*home, *own, *abroad, edge_regions=regions)) == ["HOME"]


def evacuation(**more):
    orders = [put(1, 0), Order("evacuate", 5.0, 5.1, 200, "quay"), Order("return", 20.0, 20.1, 200, "quay")]
    return past(a_try(at=18.0), orders=orders, read_back=orders[0].body, **more)


def test_an_arrival_in_an_evacuated_zone_is_found_from_the_bound_on():
    told = evacuation()
    assert rules(told) == ["EVAC"]
    for at in (10.0, 21.0):
        told.runs[0].at = at
        assert rules(told) == []
    told.runs[0].at = 19.0
    told.disturbances.append((12.0, 16.0, "a cut"))
    assert rules(told) == []


def test_an_arrival_at_one_that_drains_is_found():
    told = past(a_try(at=18.0), drained={"i-1": 13.0})
    assert rules(told) == ["DRAIN"]
    told.drained["i-1"] = 14.5
    assert rules(told) == []


def test_a_calm_end_without_an_answer_is_lost():
    one = a_try(whole=False, status=0, failure=history.CLOSED, seal="", body=b"")
    assert rules(past(one)) == ["LOST"]
    assert rules(past(one, runs=[a_run(one, outcome="cut")])) == []
    assert rules(past(one, disturbances=[(9.0, 11.0, "a kill")])) == []


def test_a_service_that_no_configuration_allows_breaks_route():
    one = a_try()
    assert rules(past(one, runs=[a_run(one, service="chat-lm")])) == ["ROUTE"]


def moved():
    """A second version in which bookings go elsewhere."""
    kinds = [replace(kind, service="chat-lm") if kind.name == "book" else kind for kind in KINDS]
    return put(4, 1, 5.0, kinds=kinds)


def test_what_only_an_old_version_allows_breaks_config_once_the_new_one_is_due():
    orders = [put(1, 0), moved()]
    assert rules(past(a_try(at=9.0), orders=orders)) == ["CONFIG"]
    assert rules(past(a_try(at=8.0), orders=orders)) == []
    assert rules(past(a_try(at=9.0), orders=orders, disturbances=[(4.0, 6.0, "a kill")])) == []


def test_a_configuration_that_lost_a_race_is_in_force_nowhere():
    lost = replace(moved(), status=412)
    one = a_try(at=9.0)
    told = past(one, orders=[put(1, 0), lost], runs=[a_run(one, service="chat-lm")])
    told.read_back = told.orders[0].body
    assert rules(told) == ["CONFIG"]


def test_404_for_a_route_that_is_there_breaks_config():
    one = a_try(status=404, seal="", body=b"")
    assert rules(past(one, runs=[])) == ["CONFIG"]
    without = put(4, 1, 2.0, kinds=[kind for kind in KINDS if kind.name != "book"])
    assert rules(past(one, runs=[], orders=[put(1, 0), without])) == []


def test_two_changes_on_top_of_one_version_and_an_invalid_one_are_not_taken():
    assert rules(past(orders=[put(1, 0), put(2, 1), put(3, 1)])) == ["CONFIG"]
    assert rules(past(orders=[put(1, 0), put(2, 1), put(2, 1)])) == []
    told = past(orders=[put(1, 0), put(2, 1, valid=False)])
    told.read_back = told.orders[0].body
    assert rules(told) == ["CONFIG"]


def test_an_order_that_waits_too_long_in_calm_is_found():
    orders = [replace(put(1, 0), sent_at=10.0, ended_at=15.2)]
    assert rules(past(orders=orders)) == ["Acks"]
    assert rules(past(orders=[replace(orders[0], ended_at=15.01)])) == []
    assert rules(past(orders=orders, disturbances=[(5.0, 6.5, "a kill")])) == []
    late = [put(1, 0), Order("evacuate", 10.0, 15.2, 0, "quay")]
    told = past(orders=late, read_back=late[0].body)
    assert rules(told) == ["Acks"]


def test_the_newest_that_was_acknowledged_comes_back_as_it_was_sent():
    orders = [put(1, 0), put(2, 1)]
    assert rules(past(orders=orders)) == []
    assert rules(past(orders=orders, read_back=orders[0].body)) == ["LOST"]
    assert rules(past(orders=orders, read_back=orders[1].body + b" ")) == ["CONFIG"]
    told = past(orders=orders)
    told.read_back = None
    assert rules(told) == ["CONFIG"]
    unclear = [put(1, 0), put(2, 1, status=0)]
    assert rules(past(orders=unclear)) == [] == rules(past(orders=unclear, read_back=unclear[0].body))


def test_the_last_order_for_a_zone_is_there_at_the_end():
    told = past(orders=[put(1, 0), Order("evacuate", 5.0, 5.1, 200, "quay")], evacuated_at_end=())
    told.read_back = told.orders[0].body
    assert rules(told) == ["LOST"]
    told.evacuated_at_end = ("quay",)
    assert rules(told) == []


def test_more_repeats_than_the_budget_are_found():
    one = a_try("find")
    runs = [a_run(one)] + [a_run(one, at=10.0 + turn / 100) for turn in range(60)]
    assert rules(past(one, runs=runs)) == ["BUDGET"]
    assert rules(past(one, runs=runs[:40])) == []


def test_too_much_for_a_cold_upstream_is_found():
    tries = [a_try("find", number, 10.0 + number / 100) for number in range(1, 16)]
    runs = [a_run(one, cold=True) for one in tries]
    assert rules(past(*tries, runs=runs), cold_rate=5.0) == ["FAILBACK"]
    assert rules(past(*tries, runs=runs[:12]), cold_rate=5.0) == ["MIXED"]  # three have no run
    assert rules(past(*tries[:12], runs=runs[:12]), cold_rate=5.0) == []


def test_a_verdict_names_each_rule_once():
    found = judge(past(a_try(seal="")), KEY, ZONES, BOUNDS)
    assert verdict(found).startswith("MIXED broken 1 times: book t-1")
