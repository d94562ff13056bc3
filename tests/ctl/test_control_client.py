"""Calls of the command line to a stand-in control plane on loopback; pauses take no real time."""

import doctest
import json
import re
from pathlib import Path

import pytest
from control_stand_in import ControlStandIn, FakeClock, configuration, new_client, run, serving
from docopt import docopt

from shedgrade.ctl import output
from shedgrade.ctl.__main__ import __doc__ as usage
from shedgrade.ctl.client import MAX_BACKOFF_S, make_client
from shedgrade.ctl.options import Options
from shedgrade.ctl.output import NoAnswerError, RejectedError
from shedgrade.findings import Finding
from shedgrade.http.server import Reply, failure

ROOT = Path(__file__).resolve().parents[2]


def redirect(address: str, path="/configuration") -> Reply:
    return Reply(307, headers=((b"Location", f"http://{address}{path}".encode()),))


def test_the_next_address_is_tried_after_a_network_error_a_5xx_and_429():
    first, second = ControlStandIn(configuration()), ControlStandIn(configuration())
    first.script = [failure(503, Finding("", "not here")), Reply(429)]
    second.script = [Reply(500)]
    clock = FakeClock()
    with serving(first, second) as addresses:
        answer = new_client(["127.0.0.1:1", *addresses], clock=clock).call("GET", "/configuration")
    assert json.loads(answer.body)["configVersion"] == 7
    assert len(first.calls) == 2 and len(second.calls) == 2
    assert len(clock.sleeps) == 5


def test_pauses_grow_up_to_a_limit_until_the_deadline():
    clock = FakeClock()
    with pytest.raises(NoAnswerError) as raised:
        new_client(["127.0.0.1:1", "127.0.0.1:2"], deadline_s=9.0, clock=clock).call("GET", "/status")
    assert clock.sleeps[0] < 0.06 and max(clock.sleeps) <= MAX_BACKOFF_S and clock.now >= 9.0
    assert clock.sleeps[3] > 2 * clock.sleeps[0]
    assert [finding.place for finding in raised.value.findings] == ["127.0.0.1:1", "127.0.0.1:2"]


def test_an_address_that_does_not_answer_is_followed_by_the_next():
    silent, second = ControlStandIn(), ControlStandIn(configuration())
    silent.script = ["silent"]
    with serving(silent, second) as addresses:
        answer = new_client(addresses, answer_timeout_s=0.05).call("GET", "/configuration")
    assert answer.status == 200 and len(silent.calls) == len(second.calls) == 1


def test_307_is_followed_twice_and_no_further():
    first, second = ControlStandIn(configuration()), ControlStandIn(configuration())
    with serving(first, second) as (address_1, address_2):
        first.script, second.script = [redirect(address_2)], [redirect(address_1)]
        assert new_client([address_1]).call("GET", "/configuration").status == 200
        assert len(first.calls) == 2 and len(second.calls) == 1
        first.script, second.script = [redirect(address_2), redirect(address_2)], [redirect(address_1)]
        assert new_client([address_1, address_2]).call("GET", "/configuration").status == 200
        assert len(first.calls) == 4 and len(second.calls) == 3


def test_a_rejection_ends_the_call_with_its_findings():
    control = ControlStandIn(configuration())
    control.script = [failure(412, Finding("", "version 9 is in place"))]
    with serving(control) as addresses, pytest.raises(RejectedError) as raised:
        new_client(addresses).call("PUT", "/configuration", b"{}")
    assert raised.value.findings == (Finding("", "version 9 is in place"),) and len(control.calls) == 1


def test_the_third_other_4xx_ends_the_call():
    control = ControlStandIn()
    with serving(control) as addresses, pytest.raises(RejectedError):
        new_client(addresses).call("POST", "/evacuation/nowhere")
    assert len(control.calls) == 3


def test_a_request_without_a_definite_answer_is_sent_again_unchanged():
    control = ControlStandIn(configuration(5))
    control.script = [None, Reply(500)]  # 500 does not tell whether the request was accepted
    raw = json.dumps(configuration(7)).encode()
    with serving(control) as addresses:
        client = new_client(addresses)
        client.call("GET", "/configuration")
        client.call("PUT", "/configuration", raw, {"If-Match": "5"})
    assert control.calls[1] == control.calls[2] and control.raw == raw


@pytest.mark.parametrize(
    "options",
    [
        ("status",),
        ("status", "--control=nowhere"),
        ("status", "--control=a:0"),
        ("status", "--control=a:b"),
        ("status", "--control=a:80", "--deadline=soon"),
        ("config",),
        ("config", "put"),
        ("fly",),
        ("evacuate", "a", "b", "--control=a:80"),
    ],
)
def test_wrong_usage_exits_with_2(options, monkeypatch, capsys):
    monkeypatch.delenv("SHEDGRADE_CONTROL", raising=False)
    assert run(*options)[0] == 2 and capsys.readouterr().err


def test_unreachable_addresses_exit_with_3(capsys):
    client = new_client(["127.0.0.1:1"])
    assert run("status", "--control=127.0.0.1:1", client=client)[0] == 3
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_addresses_are_read_from_the_environment(monkeypatch):
    control = ControlStandIn(configuration())
    with serving(control) as addresses:
        monkeypatch.setenv("SHEDGRADE_CONTROL", ",".join(addresses))
        code, text = run("config", "get")
    assert code == 0 and json.loads(text)["configVersion"] == 7


def test_the_deadline_applies_to_all_calls_of_a_command_together():
    control, clock = ControlStandIn(configuration()), FakeClock()
    with serving(control) as addresses:
        client = new_client(addresses, deadline_s=3.0, clock=clock)
        client.call("GET", "/configuration")
        clock.now = 2.9
        control.script = [Reply(503)] * 4
        with pytest.raises(NoAnswerError):
            client.call("GET", "/status")
    assert clock.now < 3.1 and len(control.calls) < 5


def test_evacuate_and_return_have_a_shorter_default_deadline():
    other = make_client(Options("status", control=("a:80",)))
    for command in ("evacuate", "return"):
        evacuation = make_client(Options(command, control=("a:80",)))
        assert 4.0 < other.expires_at - evacuation.expires_at < 6.0


def test_commands_on_the_operators_pages_parse():
    """The usage accepts each command on the operators' pages."""
    pages = "".join(page.read_text() for page in (ROOT / "docs/operate").glob("*.md"))
    calls = re.findall(r"^    python3 -m shedgrade\.ctl (.*?)(?: > .*)?(?: +#.*)?$", pages, re.MULTILINE)
    assert len(calls) >= 4
    for call in calls:
        assert docopt(usage, call.split())


def test_doctests():
    assert doctest.testmod(output).failed == 0
