"""Seeds of `commands_model.py`, and planted faults that it must find.

Many seeds: `SEEDS=1000 python -m pytest -q tests/controlplane/test_commands_model.py`.
"""

import os

import commands_model
import msgspec
import pytest

from shedgrade.controlplane import channels, commands, deduplication
from shedgrade.controlplane.channels import ForwardedResponse
from shedgrade.controlplane.command_router import PendingCommand, PendingZoneCommand
from shedgrade.controlplane.deduplication import AcceptanceStatus
from shedgrade.replication.effects import Decision

SEEDS = int(os.environ.get("SEEDS", "12"))
FOUND_WITHIN = 24  # seeds


@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_is_broken(seed):
    history = commands_model.run(seed)
    assert commands_model.check(history) == []
    assert sum(put.status == 200 for put in history.puts) > 2


def test_the_same_seed_plays_the_same():
    assert commands_model.run(7) == commands_model.run(7)


# --- planted faults


def on_current(state, command):
    """The command, changed as if it built on the newest state."""
    if not isinstance(command, commands.ZoneCommand):
        return msgspec.structs.replace(command, base=int(state.get("version") or 0))
    return msgspec.structs.replace(command, revision=commands.zone_revisions(state).get(command.zone, 0))


def decides(monkeypatch, change):
    """Replaces deciding by `change(state, command, decide)`."""
    real = commands.make_decide

    def make(zones):
        decide = real(zones)
        return lambda state, command: change(state, command, decide)

    monkeypatch.setattr("control_net.make_decide", make)


def base_not_compared(monkeypatch):
    decides(
        monkeypatch,
        lambda state, command, decide: decide(
            state, command if isinstance(command, commands.ZoneCommand) else on_current(state, command)
        ),
    )


def zones_unconditional(monkeypatch):
    decides(
        monkeypatch,
        lambda state, command, decide: decide(
            state, on_current(state, command) if isinstance(command, commands.ZoneCommand) else command
        ),
    )


def known_by_number_alone(monkeypatch):
    def change(state, command, decide):
        if not isinstance(command, commands.ZoneCommand) and command.version == int(
            state.get("version") or 0
        ):
            return Decision({}, commands.CommandReply(200))
        return decide(state, command)

    decides(monkeypatch, change)


def forgotten_is_refused(monkeypatch):
    real = deduplication.acceptance_status

    def acceptance_status(state, version, raw):
        newest = int(state.get("version") or 0)
        return AcceptanceStatus.NEVER_ACCEPTED if version < newest - 4 else real(state, version, raw)

    monkeypatch.setattr("shedgrade.controlplane.commands.deduplication.acceptance_status", acceptance_status)


def callers_trusted_to_wait(monkeypatch):
    monkeypatch.setattr(PendingZoneCommand, "caller_is_waiting", lambda self: True)


def reads_from_memory(monkeypatch):
    real = PendingCommand.attempt

    def attempt(self):
        if self.command is None:
            self.finish(ForwardedResponse(None, channels.read_response(self.router.member.committed.state)))
        else:
            real(self)

    monkeypatch.setattr(PendingCommand, "attempt", attempt)


FAULTS = (
    base_not_compared,
    zones_unconditional,
    known_by_number_alone,
    forgotten_is_refused,
    callers_trusted_to_wait,
    reads_from_memory,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_planted_faults_are_found(monkeypatch, fault):
    real = deduplication.acceptance_status
    fault(monkeypatch)
    for seed in range(FOUND_WITHIN):
        history = commands_model.run(seed)
        with monkeypatch.context() as whole:
            whole.setattr("shedgrade.controlplane.deduplication.acceptance_status", real)
            if commands_model.check(history):
                return
    raise AssertionError(f"not found within {FOUND_WITHIN} seeds")
