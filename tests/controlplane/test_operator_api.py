"""The operators' calls, from requests to responses, on a control state that is a plain dict."""

import doctest
from types import SimpleNamespace

import msgspec
import orjson
import pytest

import shedgrade.controlplane.operator_api
from shedgrade.controlplane.commands import CommandReply, ZoneCommand, make_decide, zone_revisions
from shedgrade.controlplane.operator_api import CHECKED_CHANGES, OperatorApi, if_match_version
from shedgrade.http.server import Request


class DecidingRouter:
    """Decides at once. `there`: whether a primary is available."""

    def __init__(self):
        self.state, self.there, self.seen = {}, True, []
        self.decide = make_decide({"north-a": "north", "söuth": "south"})

    def submit(self, command, tell, caller):
        command = self.on_newest(command)
        self.seen.append(command)
        if not self.there:
            tell(None)
            return
        decision = self.decide(self.state, command)
        self.state.update(decision.changes)
        tell(decision.outcome)

    def on_newest(self, command):
        if not isinstance(command, ZoneCommand):
            return command
        return msgspec.structs.replace(command, revision=zone_revisions(self.state).get(command.zone, 0))

    def read(self, tell, caller):
        tell(self.state if self.there else None)


@pytest.fixture
def place():
    router = DecidingRouter()
    operators = OperatorApi(router, lambda: {"role": "primary"})

    def call(method, path, body=b"", **headers):
        replies = []
        named = {name.replace("_", "-").encode(): value for name, value in headers.items()}
        operators.handle(Request(method.encode(), path.encode(), {}, named, body), replies.append)
        (reply,) = replies
        return reply

    return SimpleNamespace(router=router, operators=operators, call=call)


def configuration(version, **more):
    return orjson.dumps(
        {
            "configVersion": version,
            "serviceList": [{"name": "s"}],
            "routeList": [{"host": "h", "pathPrefix": "/", "service": "s", **more}],
        }
    )


def found(reply):
    return [(one["place"], one["text"]) for one in orjson.loads(reply.body)["findings"]]


def test_a_configuration_is_put_and_read_back(place):
    assert place.call("GET", "/configuration").status == 404
    raw = configuration(7)
    assert place.call("PUT", "/configuration", raw, if_match=b"0").status == 200
    reply = place.call("GET", "/configuration")
    assert (reply.status, reply.body, reply.content_type) == (200, raw, b"application/json")
    reply = place.call("PUT", "/configuration", configuration(9), if_match=b"0")
    assert reply.status == 412 and found(reply) == [("If-Match", "version 7 is in place")]
    reply = place.call("PUT", "/configuration", configuration(5), if_match=b"7")
    assert reply.status == 400 and found(reply)[0][0] == "configVersion"
    assert place.call("GET", "/configuration").body == raw


def test_named_items_are_changed_and_the_whole_is_read_back(place):
    place.call("PUT", "/configuration", configuration(7, name="r"), if_match=b"0")
    change = orjson.dumps(
        {
            "configVersion": 9,
            "addModify": {
                "routeList": [{"name": "r", "host": "h", "pathPrefix": "/", "service": "s", "timeoutMs": 5}]
            },
        }
    )
    for _ in range(2):
        assert place.call("PATCH", "/configuration", change, if_match=b"7").status == 200
    assert orjson.loads(place.call("GET", "/configuration").body) == orjson.loads(
        configuration(9, name="r", timeoutMs=5)
    )
    reply = place.call("PATCH", "/configuration", change.replace(b"5}", b"6}"), if_match=b"7")
    assert reply.status == 412 and found(reply) == [("If-Match", "version 9 is in place")]
    reply = place.call(
        "PATCH",
        "/configuration",
        orjson.dumps({"configVersion": 11, "remove": {"serviceList": ["s"]}}),
        if_match=b"9",
    )
    assert reply.status == 400 and found(reply) == [("routeList[0].service", "'s' is not in serviceList")]


def test_an_unsound_change_of_named_items_never_becomes_an_order(place):
    reply = place.call("PATCH", "/configuration", b'{"configVersion": 0, "remove": {"limits": []}}')
    assert reply.status == 400
    assert [where for where, _ in found(reply)] == ["If-Match", "configVersion", "remove.limits"]
    assert place.router.seen == []


def test_a_body_found_sound_as_a_whole_is_not_taken_for_a_part(place):
    raw = b'{"configVersion": 9, "addModify": {}}'
    assert place.call("PATCH", "/configuration", raw, if_match=b"0").status == 200
    assert place.call("PUT", "/configuration", raw, if_match=b"0").status == 400


def test_what_is_invalid_never_becomes_an_order(place):
    reply = place.call("PUT", "/configuration", configuration(7, timeoutMs=0, service="none"), if_match=b"0")
    assert reply.status == 400
    assert [where for where, _ in found(reply)] == ["routeList[0].timeoutMs", "routeList[0].service"]
    assert place.call("PUT", "/configuration", b"", if_match=b"0").status == 400
    assert place.router.seen == []


@pytest.mark.parametrize(
    "header", [{}, {"if_match": b"*"}, {"if_match": b""}, {"if_match": b"5, 6"}, {"if_match": b"9" * 30}]
)
def test_the_version_it_builds_on_must_be_said(place, header):
    reply = place.call("PUT", "/configuration", configuration(7), **header)
    assert reply.status == 400 and found(reply)[0][0] == "If-Match" and place.router.seen == []
    reply = place.call("PUT", "/configuration", configuration(7, timeoutMs=0), **header)
    assert [where for where, _ in found(reply)] == ["If-Match", "routeList[0].timeoutMs"]


def test_versions_may_be_written_as_entity_tags():
    assert [if_match_version(header) for header in (b"5", b' "5" ', b'W/"5"', b"-5", b"5.0", b"")] == [
        5,
        5,
        5,
        None,
        None,
        None,
    ]
    assert doctest.testmod(shedgrade.controlplane.operator_api).failed == 0


def test_a_repeat_is_not_checked_again(place, monkeypatch):
    checks = []
    real = shedgrade.controlplane.operator_api.read_configuration
    monkeypatch.setattr(
        shedgrade.controlplane.operator_api, "read_configuration", lambda raw: checks.append(raw) or real(raw)
    )
    for _ in range(3):
        assert place.call("PUT", "/configuration", configuration(7), if_match=b"0").status == 200
    assert len(checks) == 1
    for _ in range(2):
        assert place.call("PUT", "/configuration", b"[]", if_match=b"0").status == 400
    assert len(checks) == 3
    for version in range(8, 40):
        place.call("PUT", "/configuration", configuration(version), if_match=b"%d" % (version - 1))
    assert len(place.operators.checked) == CHECKED_CHANGES


def test_zones_are_emptied_by_name(place):
    assert place.call("POST", "/evacuation/north-a").status == 200
    assert place.call("POST", "/evacuation/s%C3%B6uth").status == 200
    assert orjson.loads(place.router.state["evacuations"]) == ["north-a", "söuth"]
    assert place.call("DELETE", "/evacuation/north-a").status == 200
    assert orjson.loads(place.router.state["evacuations"]) == ["söuth"]
    reply = place.call("POST", "/evacuation/west")
    assert reply.status == 404 and found(reply) == [("west", "no such zone")]
    assert place.call("POST", "/evacuation/%ff").status == 404


def test_calls_that_there_are_not(place):
    reply = place.call("POST", "/configuration")
    assert (reply.status, reply.headers) == (405, ((b"Allow", b"GET, PATCH, PUT"),)) and found(reply)
    assert dict(place.call("GET", "/evacuation/north-a").headers)[b"Allow"] == b"DELETE, POST"
    for path in ("/", "/evacuation", "/evacuation/", "/evacuation/a/b", "/configuration/"):
        assert place.call("GET", path).status == 404


def test_without_a_primary_callers_are_told_to_come_again(place):
    place.router.there = False
    for call in (
        ("PUT", "/configuration", configuration(7)),
        ("PATCH", "/configuration", b'{"configVersion": 7}'),
        ("GET", "/configuration"),
        ("POST", "/evacuation/north-a"),
        ("DELETE", "/evacuation/north-a"),
    ):
        reply = place.call(*call, if_match=b"0")
        assert reply.status == 503 and 0 < float(dict(reply.headers)[b"Retry-After"]) < 1
    assert orjson.loads(place.call("GET", "/status").body) == {"role": "primary"}


def test_a_status_of_the_decision_is_passed_on(place):
    place.router.submit = lambda command, tell, caller: tell(CommandReply(409, "a reason", "there"))
    reply = place.call("POST", "/evacuation/north-a")
    assert reply.status == 409 and found(reply) == [("there", "a reason")]


def test_without_a_status_there_is_no_such_call():
    replies = []
    OperatorApi(DecidingRouter()).handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 404
