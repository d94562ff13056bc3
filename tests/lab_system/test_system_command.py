"""The exit status of the demonstration command follows from the breaches found."""

import pytest

from shedgrade.lab.system import __main__ as command
from shedgrade.lab.system.history import Breach


@pytest.mark.parametrize("breaches, status", [([], 0), ([Breach("TWICE", "a request")], 1)])
def test_the_exit_status_tells_whether_a_rule_was_broken(monkeypatch, capsys, breaches, status):
    seeds = []

    async def fake_run(seed, say):
        seeds.append(seed)
        say("a line")
        return breaches

    monkeypatch.setattr(command, "run", fake_run)
    assert command.main(["--seed", "7"]) == status and seeds == [7]
    assert capsys.readouterr().out == "a line\n"


def test_wrong_usage_is_reported(capsys):
    assert command.main(["--seed", "x"]) == 2 and "--seed" in capsys.readouterr().err
    with pytest.raises(SystemExit):
        command.main(["--what"])
