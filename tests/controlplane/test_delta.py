"""Changes of named items: their result, and the places of findings in invalid ones."""

import orjson
import pytest

from shedgrade.controlplane.configuration_validation import read_configuration
from shedgrade.controlplane.delta import EMPTY_CONFIGURATION, apply_delta, make_delta, read_delta


def route(name, **more):
    return {"name": name, "host": "h", "pathPrefix": f"/{name}/", "service": "s", **more}


BASE = {
    "configVersion": 7,
    "routeList": [route("a"), route("b", unknown={"x": 2.5})],
    "serviceList": [{"name": "s"}, {"name": "t", "coldRateS": 5.7}],
    "limits": {"headerBytes": 100},
    "remark": [1],
}
BASE_RAW = orjson.dumps(BASE)


def applied(delta, base=BASE_RAW):
    raw = orjson.dumps({"configVersion": 9, **delta})
    assert read_delta(raw).ok == 9
    return apply_delta(base, raw, 9)


def found(delta):
    result = read_delta(delta if isinstance(delta, bytes) else orjson.dumps(delta))
    assert result.is_error()
    return [finding.place for finding in result.error]


def test_items_are_replaced_in_place_added_at_the_end_and_removed():
    result = applied(
        {
            "addModify": {"routeList": [route("new", service="t"), route("b", timeoutMs=9)]},
            "remove": {"routeList": ["a", "not there"]},
        }
    )
    whole = orjson.loads(result.ok)
    assert whole == {
        **BASE,
        "configVersion": 9,
        "routeList": [route("b", timeoutMs=9), route("new", service="t")],
    }
    assert read_configuration(result.ok).ok.version == 9


def test_unchanged_items_and_fields_keep_their_bytes():
    result = applied({"addModify": {"routeList": [route("c")]}})
    for piece in (b'"unknown":{"x":2.5}', b'"coldRateS":5.7', b'"remark":[1]', b'"headerBytes":100'):
        assert piece in result.ok
    assert orjson.loads(applied({}).ok) == {**BASE, "configVersion": 9}
    nulls = applied({"addModify": None, "remove": {"serviceList": None}})
    assert orjson.loads(nulls.ok) == {**BASE, "configVersion": 9}


def test_the_first_configuration_may_be_a_delta():
    parts = {"addModify": {"routeList": [route("a")], "serviceList": [{"name": "s"}]}}
    assert read_configuration(applied(parts, EMPTY_CONFIGURATION).ok).ok.routes[0].name == "a"


@pytest.mark.parametrize(
    "delta, places",
    [
        ({"addModify": {"routeList": [route("c", service="none")]}}, ["addModify.routeList[0].service"]),
        ({"remove": {"serviceList": ["s"]}}, ["routeList[0].service", "routeList[1].service"]),
        (
            {"remove": {"serviceList": ["t"]}, "addModify": {"routeList": [route("a", service="t")]}},
            ["addModify.routeList[0].service"],
        ),
        ({"addModify": {"routeList": [route("c", pathPrefix="/b/")]}}, ["addModify.routeList[0]"]),
        ({"addModify": {"routeList": [route("a", host="H", pathPrefix="/b/")]}}, ["addModify.routeList[0]"]),
        (
            {"addModify": {"routeList": [route("c", weightedSplit=[{"service": "z", "weight": 1}])]}},
            ["addModify.routeList[0].weightedSplit[0].service"],
        ),
    ],
)
def test_invalid_references_are_found_when_a_delta_is_applied(delta, places):
    assert [finding.place for finding in applied(delta).error] == places


def test_two_routes_may_swap_prefixes():
    delta = {"addModify": {"routeList": [route("a", pathPrefix="/b/"), route("b", pathPrefix="/a/")]}}
    assert applied(delta).is_ok()


@pytest.mark.parametrize(
    "delta, places",
    [
        (b"{", [""]),
        (b"[]", [""]),
        ({}, ["configVersion"]),
        ({"configVersion": 0}, ["configVersion"]),
        ({"configVersion": "9"}, ["configVersion"]),
        ({"configVersion": 9, "addModify": []}, ["addModify"]),
        ({"configVersion": 9, "remove": "a"}, ["remove"]),
        ({"configVersion": 9, "addModify": {"limits": {}}}, ["addModify.limits"]),
        ({"configVersion": 9, "remove": {"other": []}}, ["remove.other"]),
        ({"configVersion": 9, "addModify": {"routeList": {}}}, ["addModify.routeList"]),
        ({"configVersion": 9, "remove": {"routeList": [3]}}, ["remove.routeList[0]"]),
        ({"configVersion": 9, "remove": {"routeList": [""]}}, ["remove.routeList[0]"]),
        ({"configVersion": 9, "remove": {"routeList": ["a", "a"]}}, ["remove.routeList[1]"]),
        ({"configVersion": 9, "addModify": {"routeList": [7]}}, ["addModify.routeList[0]"]),
        ({"configVersion": 9, "addModify": {"routeList": [route("")]}}, ["addModify.routeList[0].name"]),
        (
            {"configVersion": 9, "addModify": {"routeList": [route("a"), route("a")]}},
            ["addModify.routeList[1]"],
        ),
        (
            {"configVersion": 9, "addModify": {"routeList": [route("a")]}, "remove": {"routeList": ["a"]}},
            ["remove.routeList[0]"],
        ),
        (
            {"configVersion": 9, "addModify": {"routeList": [route("a", timeoutMs=0, pathPrefix="a")]}},
            ["addModify.routeList[0].pathPrefix", "addModify.routeList[0].timeoutMs"],
        ),
        (
            {"configVersion": 9, "addModify": {"routeList": [route("a", maxAttempts="two")]}},
            ["addModify.routeList[0].maxAttempts"],
        ),
        (
            {
                "configVersion": 9,
                "addModify": {"routeList": [route("a", weightedSplit=[{"service": "s", "weight": 0}])]},
            },
            ["addModify.routeList[0].weightedSplit"],
        ),
    ],
)
def test_findings_that_do_not_depend_on_the_base(delta, places):
    assert found(delta) == places


def test_a_service_and_a_route_may_have_the_same_name():
    parts = {"addModify": {"routeList": [route("x")]}, "remove": {"serviceList": ["x"]}}
    assert applied(parts).is_ok()


def test_a_delta_of_two_configurations_turns_one_into_the_other():
    new = {**BASE, "configVersion": 12, "routeList": [route("b", timeoutMs=5), route("c", service="u")]}
    new["serviceList"] = [{"name": "s"}, {"name": "u"}]
    delta = make_delta(BASE_RAW, orjson.dumps(new)).ok
    assert orjson.loads(delta)["remove"] == {"routeList": ["a"], "serviceList": ["t"]}
    assert orjson.loads(apply_delta(BASE_RAW, delta, read_delta(delta).ok).ok) == new
    moved = make_delta(BASE_RAW, orjson.dumps({**BASE, "limits": {}, "routeList": [route("")]}))
    assert [finding.place for finding in moved.error] == ["limits", "routeList[0].name"]
