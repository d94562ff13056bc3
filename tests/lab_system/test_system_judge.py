"""The judge finds each injected fault and reports none in a history without one."""

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


def put(version, base, at=0.0, status=200, kinds=KINDS, **fields):
    body = json.dumps(configuration(version, kinds, SERVICES)).encode()
    return Order("put", at, at + 0.1, status, base=base, version=version, body=body, **fields)


def a_try(kind="book", number=1, at=10.0, **fields):
    """A successful try with a complete answer."""
    request_kind = KIND[kind]
    target = f"{request_kind.prefix}{number:x}"
    asked = content.digest(b"POST", target.encode(), b"")
    client_try = Try(
        f"t-{number}",
        number,
        request_kind,
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
    client_try.seal = content.seal(KEY, "i-1", client_try.attempt, client_try.digest)
    if request_kind.streams:
        client_try.events = [
            (event, content.event_text(client_try.digest, event), at)
            for event in range(1, request_kind.events + 1)
        ]
    else:
        client_try.body = content.body(client_try.digest, request_kind.answer_bytes)
    for name, value in fields.items():
        setattr(client_try, name, value)
    return client_try


def a_run(client_try, **fields):
    return replace(
        Run(
            client_try.sent_at + 0.01,
            "i-1",
            client_try.kind.service,
            "quay",
            client_try.attempt,
            "POST",
            client_try.target,
            client_try.digest,
            ran_at=client_try.sent_at + 0.02,
            outcome="done",
        ),
        **fields,
    )


def observed_history(*tries, runs=None, orders=None, **fields):
    observed = History(
        tries={client_try.attempt: client_try for client_try in tries},
        runs=[a_run(client_try) for client_try in tries] if runs is None else runs,
        orders=[put(1, 0)] if orders is None else orders,
        **fields,
    )
    if observed.read_back is None:
        observed.read_back = observed.orders[-1].body
    return observed


def broken_rules(observed, **options):
    return sorted({breach.rule for breach in judge(observed, KEY, ZONES, BOUNDS, **options)})


@pytest.mark.parametrize("kind", list(KIND))
def test_a_valid_history_breaks_no_rule(kind):
    observed = observed_history(*(a_try(kind, number, 10.0 + number) for number in range(5)))
    breaches = judge(observed, KEY, ZONES, BOUNDS, cold_rate=5.0)
    assert breaches == [] and verdict(breaches) == "no rule was broken"


@pytest.mark.parametrize(
    "fault",
    [
        {"seal": ""},
        {"seal": "i-1.0000"},
        {"body": b"half"},
        {"echoed_attempt": "t-9"},
        {"encoding": "gzip"},
        {"unexpected_bytes": True},
    ],
)
def test_a_success_that_no_upstream_sent_breaks_mixed(fault):
    assert broken_rules(observed_history(a_try(**fault))) == ["MIXED"]


def test_a_seal_of_an_upstream_that_did_not_run_the_request_breaks_mixed():
    client_try = a_try()
    assert broken_rules(observed_history(client_try, runs=[])) == ["MIXED"]
    assert broken_rules(observed_history(client_try, runs=[a_run(client_try, instance="i-2")])) == ["MIXED"]


def test_bytes_that_belong_to_no_request_break_mixed():
    assert broken_rules(observed_history(a_try(), stray=["bytes"])) == ["MIXED"]


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
def test_a_stream_with_a_missing_or_repeated_event_breaks_order(keep):
    client_try = a_try("reply")
    assert broken_rules(observed_history(replace(client_try, events=keep(client_try.events)))) == ["ORDER"]


def test_a_stream_of_another_request_breaks_mixed():
    client_try, other = a_try("reply"), a_try("reply", 2)
    assert "MIXED" in broken_rules(observed_history(replace(client_try, events=other.events), other))


def test_a_stream_may_be_completed_by_a_second_try():
    first = a_try("reply", 1, whole=False, failure=history.CLOSED)
    first.events = first.events[:6]
    second = a_try("reply", 2, last_event_before=6)
    second.events = second.events[6:]
    observed = observed_history(first, second)
    observed.runs[0].outcome = "cut"
    assert broken_rules(observed) == []
    second.last_event_before = 5
    assert broken_rules(observed) == ["ORDER"]


@pytest.mark.parametrize(
    "kind, broken", [("book", ["TWICE"]), ("digest", ["TWICE"]), ("find", []), ("reply", [])]
)
def test_a_request_that_may_not_be_repeated_runs_once(kind, broken):
    client_try = a_try(kind)
    assert (
        broken_rules(
            observed_history(client_try, runs=[a_run(client_try), a_run(client_try, instance="i-2")])
        )
        == broken
    )


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_denies_a_run_breaks_refused_if_the_request_ran(status):
    client_try = a_try(status=status, seal="", body=b"")
    assert broken_rules(observed_history(client_try)) == ["REFUSED"]
    assert broken_rules(observed_history(client_try, runs=[a_run(client_try, ran_at=None)])) == []
    assert broken_rules(observed_history(replace(client_try, status=502))) == []


def test_a_request_that_no_client_sent_or_that_was_changed_breaks_unasked():
    client_try = a_try()
    assert broken_rules(
        observed_history(client_try, runs=[a_run(client_try), a_run(client_try, attempt="")])
    ) == ["UNASKED"]
    assert broken_rules(observed_history(client_try, runs=[a_run(client_try, asked=b"other")])) == ["UNASKED"]


def test_an_arrival_outside_the_home_regions_breaks_home_even_if_it_did_not_run():
    client_try = a_try("digest")
    assert broken_rules(
        observed_history(
            client_try,
            runs=[a_run(client_try), a_run(client_try, zone="dale", ran_at=None, outcome="503 full")],
        )
    ) == ["HOME"]


def test_requests_that_the_directory_leads_to_other_regions_break_home():
    """The client's own region is allowed too, and 5% elsewhere, which may have been under way."""
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
    assert broken_rules(observed_history(*home, *own, abroad[0], edge_regions=regions)) == []
    assert broken_rules(observed_history(*home, *own, *abroad, edge_regions=regions)) == ["HOME"]


def evacuation(**more):
    orders = [put(1, 0), Order("evacuate", 5.0, 5.1, 200, "quay"), Order("return", 20.0, 20.1, 200, "quay")]
    return observed_history(a_try(at=18.0), orders=orders, read_back=orders[0].body, **more)


def test_an_arrival_in_an_evacuated_zone_breaks_evac_after_the_bound():
    observed = evacuation()
    assert broken_rules(observed) == ["EVAC"]
    for at in (10.0, 21.0):
        observed.runs[0].at = at
        assert broken_rules(observed) == []
    observed.runs[0].at = 19.0
    observed.disturbances.append((12.0, 16.0, "a cut"))
    assert broken_rules(observed) == []


def test_an_arrival_at_a_draining_upstream_breaks_drain():
    observed = observed_history(a_try(at=18.0), drained={"i-1": 13.0})
    assert broken_rules(observed) == ["DRAIN"]
    observed.drained["i-1"] = 14.5
    assert broken_rules(observed) == []


def test_an_end_without_an_answer_and_a_disturbance_breaks_lost():
    client_try = a_try(whole=False, status=0, failure=history.CLOSED, seal="", body=b"")
    assert broken_rules(observed_history(client_try)) == ["LOST"]
    assert broken_rules(observed_history(client_try, runs=[a_run(client_try, outcome="cut")])) == []
    assert broken_rules(observed_history(client_try, disturbances=[(9.0, 11.0, "a kill")])) == []


def test_a_service_that_no_configuration_allows_breaks_route():
    client_try = a_try()
    assert broken_rules(observed_history(client_try, runs=[a_run(client_try, service="chat-lm")])) == [
        "ROUTE"
    ]


def bookings_moved():
    """A second version that routes bookings to another service."""
    kinds = [replace(kind, service="chat-lm") if kind.name == "book" else kind for kind in KINDS]
    return put(4, 1, 5.0, kinds=kinds)


def test_a_run_that_only_an_old_version_allows_breaks_config_once_the_new_one_is_due():
    orders = [put(1, 0), bookings_moved()]
    assert broken_rules(observed_history(a_try(at=9.0), orders=orders)) == ["CONFIG"]
    assert broken_rules(observed_history(a_try(at=8.0), orders=orders)) == []
    assert (
        broken_rules(observed_history(a_try(at=9.0), orders=orders, disturbances=[(4.0, 6.0, "a kill")]))
        == []
    )


def test_a_configuration_that_lost_a_race_is_in_force_nowhere():
    lost = replace(bookings_moved(), status=412)
    client_try = a_try(at=9.0)
    observed = observed_history(
        client_try, orders=[put(1, 0), lost], runs=[a_run(client_try, service="chat-lm")]
    )
    observed.read_back = observed.orders[0].body
    assert broken_rules(observed) == ["CONFIG"]


def test_404_for_an_existing_route_breaks_config():
    client_try = a_try(status=404, seal="", body=b"")
    assert broken_rules(observed_history(client_try, runs=[])) == ["CONFIG"]
    without = put(4, 1, 2.0, kinds=[kind for kind in KINDS if kind.name != "book"])
    assert broken_rules(observed_history(client_try, runs=[], orders=[put(1, 0), without])) == []


def test_accepting_two_changes_of_one_version_or_an_invalid_one_breaks_config():
    assert broken_rules(observed_history(orders=[put(1, 0), put(2, 1), put(3, 1)])) == ["CONFIG"]
    assert broken_rules(observed_history(orders=[put(1, 0), put(2, 1), put(2, 1)])) == []
    observed = observed_history(orders=[put(1, 0), put(2, 1, valid=False)])
    observed.read_back = observed.orders[0].body
    assert broken_rules(observed) == ["CONFIG"]


def test_an_order_that_waits_too_long_without_a_disturbance_breaks_acks():
    orders = [replace(put(1, 0), sent_at=10.0, ended_at=15.2)]
    assert broken_rules(observed_history(orders=orders)) == ["Acks"]
    assert broken_rules(observed_history(orders=[replace(orders[0], ended_at=15.01)])) == []
    assert broken_rules(observed_history(orders=orders, disturbances=[(5.0, 6.5, "a kill")])) == []
    late = [put(1, 0), Order("evacuate", 10.0, 15.2, 0, "quay")]
    observed = observed_history(orders=late, read_back=late[0].body)
    assert broken_rules(observed) == ["Acks"]


def test_the_newest_acknowledged_configuration_is_read_back_unchanged():
    orders = [put(1, 0), put(2, 1)]
    assert broken_rules(observed_history(orders=orders)) == []
    assert broken_rules(observed_history(orders=orders, read_back=orders[0].body)) == ["LOST"]
    assert broken_rules(observed_history(orders=orders, read_back=orders[1].body + b" ")) == ["CONFIG"]
    observed = observed_history(orders=orders)
    observed.read_back = None
    assert broken_rules(observed) == ["CONFIG"]
    unclear = [put(1, 0), put(2, 1, status=0)]
    assert (
        broken_rules(observed_history(orders=unclear))
        == []
        == broken_rules(observed_history(orders=unclear, read_back=unclear[0].body))
    )


def test_the_last_order_for_a_zone_is_in_effect_at_the_end():
    observed = observed_history(
        orders=[put(1, 0), Order("evacuate", 5.0, 5.1, 200, "quay")], evacuated_at_end=()
    )
    observed.read_back = observed.orders[0].body
    assert broken_rules(observed) == ["LOST"]
    observed.evacuated_at_end = ("quay",)
    assert broken_rules(observed) == []


def test_repeats_beyond_the_budget_break_budget():
    client_try = a_try("find")
    runs = [a_run(client_try)] + [a_run(client_try, at=10.0 + turn / 100) for turn in range(60)]
    assert broken_rules(observed_history(client_try, runs=runs)) == ["BUDGET"]
    assert broken_rules(observed_history(client_try, runs=runs[:40])) == []


def test_too_many_requests_to_a_cold_upstream_break_failback():
    tries = [a_try("find", number, 10.0 + number / 100) for number in range(1, 16)]
    runs = [a_run(client_try, cold=True) for client_try in tries]
    assert broken_rules(observed_history(*tries, runs=runs), cold_rate=5.0) == ["FAILBACK"]
    assert broken_rules(observed_history(*tries, runs=runs[:12]), cold_rate=5.0) == [
        "MIXED"
    ]  # three tries have no run
    assert broken_rules(observed_history(*tries[:12], runs=runs[:12]), cold_rate=5.0) == []


def test_a_verdict_names_each_rule_once():
    breaches = judge(observed_history(a_try(seal="")), KEY, ZONES, BOUNDS)
    assert verdict(breaches).startswith("MIXED broken 1 times: book t-1")
