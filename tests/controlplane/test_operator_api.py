"""The operators' calls, from requests to responses, on a control state that is a plain dict."""

import doctest
from types import SimpleNamespace

import msgspec
import orjson
import pytest

import shedgrade.controlplane.operator_api
from shedgrade.controlplane.commands import CommandReply, ZoneCommand, make_decision_function, zone_revisions
from shedgrade.controlplane.operator_api import CHECKED_CHANGES, OperatorApi, if_match_version
from shedgrade.http.server import Request


class DecidingRouter:
    """Decides at once. `primary_available`: whether a primary is available."""

    def __init__(self):
        self.state, self.primary_available, self.submitted = {}, True, []
        self.decide = make_decision_function({"north-a": "north", "söuth": "south"})

    def submit(self, command, respond, caller):
        command = self.on_newest(command)
        self.submitted.append(command)
        if not self.primary_available:
            respond(None)
            return
        decision = self.decide(self.state, command)
        self.state.update(decision.changes)
        respond(decision.outcome)

    def on_newest(self, command):
        if not isinstance(command, ZoneCommand):
            return command
        return msgspec.structs.replace(command, revision=zone_revisions(self.state).get(command.zone, 0))

    def read(self, respond, caller):
        respond(self.state if self.primary_available else None)


@pytest.fixture
def api():
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


def test_a_configuration_is_put_and_read_back(api):
    assert api.call("GET", "/configuration").status == 404
    raw = configuration(7)
    assert api.call("PUT", "/configuration", raw, if_match=b"0").status == 200
    reply = api.call("GET", "/configuration")
    assert (reply.status, reply.body, reply.content_type) == (200, raw, b"application/json")
    reply = api.call("PUT", "/configuration", configuration(9), if_match=b"0")
    assert reply.status == 412 and found(reply) == [("If-Match", "version 7 is in place")]
    reply = api.call("PUT", "/configuration", configuration(5), if_match=b"7")
    assert reply.status == 400 and found(reply)[0][0] == "configVersion"
    assert api.call("GET", "/configuration").body == raw


def test_named_items_are_changed_and_the_whole_is_read_back(api):
    api.call("PUT", "/configuration", configuration(7, name="r"), if_match=b"0")
    change = orjson.dumps(
        {
            "configVersion": 9,
            "addModify": {
                "routeList": [{"name": "r", "host": "h", "pathPrefix": "/", "service": "s", "timeoutMs": 5}]
            },
        }
    )
    for _ in range(2):
        assert api.call("PATCH", "/configuration", change, if_match=b"7").status == 200
    assert orjson.loads(api.call("GET", "/configuration").body) == orjson.loads(
        configuration(9, name="r", timeoutMs=5)
    )
    reply = api.call("PATCH", "/configuration", change.replace(b"5}", b"6}"), if_match=b"7")
    assert reply.status == 412 and found(reply) == [("If-Match", "version 9 is in place")]
    reply = api.call(
        "PATCH",
        "/configuration",
        orjson.dumps({"configVersion": 11, "remove": {"serviceList": ["s"]}}),
        if_match=b"9",
    )
    assert reply.status == 400 and found(reply) == [("routeList[0].service", "'s' is not in serviceList")]


def test_an_invalid_patch_is_never_submitted(api):
    reply = api.call("PATCH", "/configuration", b'{"configVersion": 0, "remove": {"limits": []}}')
    assert reply.status == 400
    assert [where for where, _ in found(reply)] == ["If-Match", "configVersion", "remove.limits"]
    assert api.router.submitted == []


def test_a_body_found_valid_as_a_patch_is_still_checked_as_a_put(api):
    raw = b'{"configVersion": 9, "addModify": {}}'
    assert api.call("PATCH", "/configuration", raw, if_match=b"0").status == 200
    assert api.call("PUT", "/configuration", raw, if_match=b"0").status == 400


def test_an_invalid_configuration_is_never_submitted(api):
    reply = api.call("PUT", "/configuration", configuration(7, timeoutMs=0, service="none"), if_match=b"0")
    assert reply.status == 400
    assert [where for where, _ in found(reply)] == ["routeList[0].timeoutMs", "routeList[0].service"]
    assert api.call("PUT", "/configuration", b"", if_match=b"0").status == 400
    assert api.router.submitted == []


@pytest.mark.parametrize(
    "header", [{}, {"if_match": b"*"}, {"if_match": b""}, {"if_match": b"5, 6"}, {"if_match": b"9" * 30}]
)
def test_a_configuration_change_requires_if_match(api, header):
    reply = api.call("PUT", "/configuration", configuration(7), **header)
    assert reply.status == 400 and found(reply)[0][0] == "If-Match" and api.router.submitted == []
    reply = api.call("PUT", "/configuration", configuration(7, timeoutMs=0), **header)
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


def test_a_repeat_is_not_checked_again(api, monkeypatch):
    checks = []
    real = shedgrade.controlplane.operator_api.read_configuration
    monkeypatch.setattr(
        shedgrade.controlplane.operator_api, "read_configuration", lambda raw: checks.append(raw) or real(raw)
    )
    for _ in range(3):
        assert api.call("PUT", "/configuration", configuration(7), if_match=b"0").status == 200
    assert len(checks) == 1
    for _ in range(2):
        assert api.call("PUT", "/configuration", b"[]", if_match=b"0").status == 400
    assert len(checks) == 3
    for version in range(8, 40):
        api.call("PUT", "/configuration", configuration(version), if_match=b"%d" % (version - 1))
    assert len(api.operators.checked) == CHECKED_CHANGES


def test_zones_are_evacuated_by_name(api):
    assert api.call("POST", "/evacuation/north-a").status == 200
    assert api.call("POST", "/evacuation/s%C3%B6uth").status == 200
    assert orjson.loads(api.router.state["evacuations"]) == ["north-a", "söuth"]
    assert api.call("DELETE", "/evacuation/north-a").status == 200
    assert orjson.loads(api.router.state["evacuations"]) == ["söuth"]
    reply = api.call("POST", "/evacuation/west")
    assert reply.status == 404 and found(reply) == [("west", "no such zone")]
    assert api.call("POST", "/evacuation/%ff").status == 404


def test_unknown_calls_are_rejected(api):
    reply = api.call("POST", "/configuration")
    assert (reply.status, reply.headers) == (405, ((b"Allow", b"GET, PATCH, PUT"),)) and found(reply)
    assert dict(api.call("GET", "/evacuation/north-a").headers)[b"Allow"] == b"DELETE, POST"
    for path in ("/", "/evacuation", "/evacuation/", "/evacuation/a/b", "/configuration/"):
        assert api.call("GET", path).status == 404


def test_without_a_primary_callers_are_told_to_retry(api):
    api.router.primary_available = False
    for call in (
        ("PUT", "/configuration", configuration(7)),
        ("PATCH", "/configuration", b'{"configVersion": 7}'),
        ("GET", "/configuration"),
        ("POST", "/evacuation/north-a"),
        ("DELETE", "/evacuation/north-a"),
    ):
        reply = api.call(*call, if_match=b"0")
        assert reply.status == 503 and 0 < float(dict(reply.headers)[b"Retry-After"]) < 1
    assert orjson.loads(api.call("GET", "/status").body) == {"role": "primary"}


def test_a_status_of_the_decision_is_passed_on(api):
    api.router.submit = lambda command, respond, caller: respond(CommandReply(409, "a reason", "there"))
    reply = api.call("POST", "/evacuation/north-a")
    assert reply.status == 409 and found(reply) == [("there", "a reason")]


def test_without_a_status_there_is_no_such_call():
    replies = []
    OperatorApi(DecidingRouter()).handle(Request(b"GET", b"/status"), replies.append)
    assert replies[0].status == 404
