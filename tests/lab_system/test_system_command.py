"""The demonstration as a command: its exit says what the judge found."""

import pytest

from shedgrade.lab.system import __main__ as command
from shedgrade.lab.system.history import Breach


@pytest.mark.parametrize("found, status", [([], 0), ([Breach("TWICE", "a request")], 1)])
def test_the_exit_tells_whether_a_rule_broke(monkeypatch, capsys, found, status):
    seeds = []

    async def played(seed, say):
        seeds.append(seed)
        say("a line")
        return found

    monkeypatch.setattr(command, "run", played)
    assert command.main(["--seed", "7"]) == status and seeds == [7]
    assert capsys.readouterr().out == "a line\n"


def test_wrong_usage_is_told(capsys):
    assert command.main(["--seed", "x"]) == 2 and "--seed" in capsys.readouterr().err
    with pytest.raises(SystemExit):
        command.main(["--what"])
