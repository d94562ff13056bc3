"""How the command line calls the control plane, against a stand-in on loopback; pauses take no time."""

import doctest
import json
import re
from pathlib import Path

import pytest
from control_stand_in import Control, Time, client, configuration, run, serving
from docopt import docopt

from shedgrade.ctl import output
from shedgrade.ctl.__main__ import __doc__ as usage
from shedgrade.ctl.client import MAX_BACKOFF_S, make_client
from shedgrade.ctl.options import Options
from shedgrade.ctl.output import NoAnswerError, RejectedError
from shedgrade.findings import Finding
from shedgrade.http.server import Reply, failure

ROOT = Path(__file__).resolve().parents[2]


def sent_on(address: str, path="/configuration") -> Reply:
    return Reply(307, headers=((b"Location", f"http://{address}{path}".encode()),))


def test_the_next_address_is_tried_after_a_failure_a_5xx_and_429():
    one, other = Control(configuration()), Control(configuration())
    one.script = [failure(503, Finding("", "not here")), Reply(429)]
    other.script = [Reply(500)]
    time = Time()
    with serving(one, other) as addresses:
        answer = client(["127.0.0.1:1", *addresses], time=time).call("GET", "/configuration")
    assert json.loads(answer.body)["configVersion"] == 7
    assert len(one.calls) == 2 and len(other.calls) == 2
    assert len(time.pauses) == 5


def test_pauses_grow_up_to_a_bound_and_the_deadline_ends_them():
    time = Time()
    with pytest.raises(NoAnswerError) as silence:
        client(["127.0.0.1:1", "127.0.0.1:2"], deadline=9.0, time=time).call("GET", "/status")
    assert time.pauses[0] < 0.06 and max(time.pauses) <= MAX_BACKOFF_S and time.now >= 9.0
    assert time.pauses[3] > 2 * time.pauses[0]
    assert [finding.place for finding in silence.value.findings] == ["127.0.0.1:1", "127.0.0.1:2"]


def test_a_silent_address_is_left_for_the_next():
    silent, other = Control(), Control(configuration())
    silent.script = ["silent"]
    with serving(silent, other) as addresses:
        answer = client(addresses, answer_timeout_s=0.05).call("GET", "/configuration")
    assert answer.status == 200 and len(silent.calls) == len(other.calls) == 1


def test_307_is_followed_twice_and_no_further():
    one, other = Control(configuration()), Control(configuration())
    with serving(one, other) as (first, second):
        one.script, other.script = [sent_on(second)], [sent_on(first)]
        assert client([first]).call("GET", "/configuration").status == 200
        assert len(one.calls) == 2 and len(other.calls) == 1
        one.script, other.script = [sent_on(second), sent_on(second)], [sent_on(first)]
        assert client([first, second]).call("GET", "/configuration").status == 200
        assert len(one.calls) == 4 and len(other.calls) == 3


def test_a_refusal_ends_the_call_with_its_findings():
    control = Control(configuration())
    control.script = [failure(412, Finding("", "version 9 is in place"))]
    with serving(control) as addresses, pytest.raises(RejectedError) as refused:
        client(addresses).call("PUT", "/configuration", b"{}")
    assert refused.value.findings == (Finding("", "version 9 is in place"),) and len(control.calls) == 1


def test_another_4xx_ends_it_at_the_third_time():
    control = Control()
    with serving(control) as addresses, pytest.raises(RejectedError):
        client(addresses).call("POST", "/evacuation/nowhere")
    assert len(control.calls) == 3


def test_what_got_no_clear_answer_is_sent_again_unchanged():
    control = Control(configuration(5))
    control.script = [None, Reply(500)]  # it was taken or not: 500 says neither
    raw = json.dumps(configuration(7)).encode()
    with serving(control) as addresses:
        used = client(addresses)
        used.call("GET", "/configuration")
        used.call("PUT", "/configuration", raw, {"If-Match": "5"})
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
def test_wrong_usage_is_2(options, monkeypatch, capsys):
    monkeypatch.delenv("SHEDGRADE_CONTROL", raising=False)
    assert run(*options)[0] == 2 and capsys.readouterr().err


def test_nobody_there_is_3(capsys):
    used = client(["127.0.0.1:1"])
    assert run("status", "--control=127.0.0.1:1", client=used)[0] == 3
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_addresses_come_from_the_environment_too(monkeypatch):
    control = Control(configuration())
    with serving(control) as addresses:
        monkeypatch.setenv("SHEDGRADE_CONTROL", ",".join(addresses))
        code, text = run("config", "get")
    assert code == 0 and json.loads(text)["configVersion"] == 7


def test_the_deadline_is_for_all_calls_of_a_command():
    control, time = Control(configuration()), Time()
    with serving(control) as addresses:
        used = client(addresses, deadline=3.0, time=time)
        used.call("GET", "/configuration")
        time.now = 2.9
        control.script = [Reply(503)] * 4
        with pytest.raises(NoAnswerError):
            used.call("GET", "/status")
    assert time.now < 3.1 and len(control.calls) < 5


def test_orders_are_sent_again_for_a_shorter_time_by_default():
    usual = make_client(Options("status", control=("a:80",)))
    for command in ("evacuate", "return"):
        order = make_client(Options(command, control=("a:80",)))
        assert 4.0 < usual.expires_at - order.expires_at < 6.0


def test_the_examples_of_the_pages_parse():
    """Each call of the command line in the operators' pages is one that it takes."""
    pages = "".join(page.read_text() for page in (ROOT / "docs/operate").glob("*.md"))
    calls = re.findall(r"^    python3 -m shedgrade\.ctl (.*?)(?: > .*)?(?: +#.*)?$", pages, re.MULTILINE)
    assert len(calls) >= 4
    for call in calls:
        assert docopt(usage, call.split())


def test_the_examples_in_the_code_hold():
    assert doctest.testmod(output).failed == 0
