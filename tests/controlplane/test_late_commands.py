"""Commands for zones that are delayed, wherever they are held up, never undo a newer one."""

import asyncio

import msgspec
import pytest
import virtual_loop
from control_net import Call, Net

from shedgrade.controlplane import command_router, commands
from shedgrade.controlplane.command_router import CommandRouter, PendingZoneCommand
from shedgrade.replication.effects import Decision

ZONE = "/evacuation/hall-2"
ATTEMPT_TIMEOUT_S = 1.0  # without a response, after which a caller tries another member


def send_command(net, name, method, caller="operator"):
    return Call(net, caller, name, method, ZONE)


async def send_until_acknowledged(net, name, method, caller="operator"):
    """Sends the command until it is acknowledged, as an operator does; returns the seconds that this took."""
    started_at = net.loop.time()
    while True:
        call = send_command(net, name, method, caller)
        done, _ = await asyncio.wait([call.response], timeout=ATTEMPT_TIMEOUT_S)
        if done and call.response.result().status == 200:
            return net.loop.time() - started_at
        call.close()
        assert net.loop.time() - started_at < 10.0
        await asyncio.sleep(0.1)


def evacuated(net):
    primary = net.processes[net.primary()]
    return msgspec.json.decode(primary.member.committed.state.get("evacuations") or b"[]")


async def wait_until_ready(net):
    while net.primary() is None or len(net.processes[net.primary()].member.members) < 3:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)


def by_role(net, role):
    return next(name for name, process in net.processes.items() if process.member.role == role)


async def run_superseded(net, name, late, hold, release):
    """`late` is sent to the member and held up. Its caller moves on to another member and then sends the
    opposite command; then `late` is released. Returns the zones evacuated in the end, and those according to
    the last acknowledged command."""
    opposite = "DELETE" if late == "POST" else "POST"
    if late == "DELETE":
        await send_until_acknowledged(net, name, "POST")
    hold()
    call = send_command(net, name, late)
    await asyncio.sleep(ATTEMPT_TIMEOUT_S)
    call.close()
    other = next(one for one in net.processes if one != name and not net.processes[one].loop.stopped)
    await send_until_acknowledged(net, other, late, "operator elsewhere")
    await send_until_acknowledged(net, other, opposite, "operator elsewhere")
    release()
    await asyncio.sleep(4.0)
    return evacuated(net), ["hall-2"] if opposite == "POST" else []


def stopped(net, name):
    return net.processes[name].loop.stop, net.processes[name].loop.resume


def cut_from_caller(net, name):
    return lambda: net.cut(("operator", name)), net.heal


def cut_from_members(net, name):
    return lambda: net.cut(*((name, other) for other in net.processes if other != name)), net.heal


def run_scenario(scenario, **options):
    async def run(loop):
        net = Net(loop, **options)
        await wait_until_ready(net)
        await scenario(net)

    virtual_loop.run_scenario(run)


ROLES = ("primary", "backup", "witness")
HOLDS = (stopped, cut_from_caller, cut_from_members)


@pytest.mark.parametrize("late", ["POST", "DELETE"])
@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("hold_up", HOLDS, ids=lambda hold: hold.__name__)
def test_a_delayed_command_undoes_no_newer_one(hold_up, role, late):
    async def scenario(net):
        name = by_role(net, role)
        found, acknowledged = await run_superseded(net, name, late, *hold_up(net, name))
        assert found == acknowledged

    run_scenario(scenario)


async def late_applied_after_no_op(net, late):
    """The late command is the only one of its kind; the newer one changes nothing, because the zone is in the
    wanted state already. Returns whether the late one was applied in the end."""
    name, other = by_role(net, "witness"), by_role(net, "primary")
    if late == "DELETE":
        await send_until_acknowledged(net, other, "POST")
    net.cut((name, other))
    call = send_command(net, name, late)
    await asyncio.sleep(ATTEMPT_TIMEOUT_S)
    call.close()
    await send_until_acknowledged(net, other, "DELETE" if late == "POST" else "POST", "operator elsewhere")
    net.heal()
    await asyncio.sleep(4.0)
    return evacuated(net) == (["hall-2"] if late == "POST" else [])


@pytest.mark.parametrize("late", ["POST", "DELETE"])
def test_a_command_that_changes_nothing_makes_older_ones_obsolete_too(late):
    async def scenario(net):
        assert not await late_applied_after_no_op(net, late)

    run_scenario(scenario)


def test_no_command_is_submitted_for_a_caller_that_has_gone():
    """The member has no primary; the caller leaves and a newer command is sent before the member has one."""

    async def scenario(net):
        name = by_role(net, "backup")
        submissions = []
        process = net.processes[name]
        real = process.command_router.submit_to_member
        process.command_router.submit_to_member = lambda command, on_outcome: (
            submissions.append(net.loop.time()) or real(command, on_outcome)
        )
        for other in net.processes:
            if other != name:
                net.processes[other].loop.stop()
        await asyncio.sleep(1.0)
        call = send_command(net, name, "POST")
        await asyncio.sleep(0.02 + net.delay)
        call.close()
        await asyncio.sleep(2.0)
        assert submissions == []

    run_scenario(scenario)


def test_without_faults_commands_are_acknowledged_at_once_by_any_member():
    """Each command goes to another member than the one before; some of these don't know of that one yet."""

    async def scenario(net):
        for turn in range(12):
            name = "abc"[turn % 3]
            seconds = await send_until_acknowledged(net, name, ("POST", "DELETE")[turn % 2])
            assert seconds < command_router.CLOSE_DELAY_S + 12 * net.delay
            assert evacuated(net) == (["hall-2"] if turn % 2 == 0 else [])

    run_scenario(scenario, delay=0.03)


def test_the_same_command_may_be_sent_to_all_members_at_once():
    async def scenario(net):
        for method in ("POST", "DELETE", "POST"):
            calls = [send_command(net, name, method) for name in net.processes for _ in range(3)]
            await asyncio.sleep(0.6)
            assert [call.response.result().status for call in calls] == [200] * 9
        assert evacuated(net) == ["hall-2"]

    run_scenario(scenario)


# --- planted faults, each of which one of the tests above must find


def unconditional(monkeypatch):
    """A command builds on no revision."""
    real = commands.make_decision_function

    def make(zones):
        decide = real(zones)

        def blind(state, command):
            if isinstance(command, commands.ZoneCommand):
                current = commands.zone_revisions(state).get(command.zone, 0)
                command = msgspec.structs.replace(command, revision=current)
            return decide(state, command)

        return blind

    monkeypatch.setattr("control_net.make_decision_function", make)


def callers_trusted_to_wait(monkeypatch):
    """A member trusts that its state is new and that the caller is waiting."""
    monkeypatch.setattr(PendingZoneCommand, "caller_is_waiting", lambda self: True)


def closed_connections_ignored(monkeypatch):
    """A member does not check whether its caller has closed the connection."""
    real = CommandRouter.submit
    monkeypatch.setattr(
        CommandRouter,
        "submit",
        lambda self, command, respond, caller: real(
            self, command, respond, command_router.Caller(caller.arrived_after)
        ),
    )


def unchanged_zone_keeps_its_revision(state, command, decide):
    decision = decide(state, command)
    return decision if "evacuations" in decision.changes else Decision({}, decision.outcome)


def test_a_planted_fault_in_commands_that_change_nothing_is_found(monkeypatch):
    real = commands.make_decision_function

    def make(zones):
        decide = real(zones)
        return lambda state, command: unchanged_zone_keeps_its_revision(state, command, decide)

    monkeypatch.setattr("control_net.make_decision_function", make)
    wrong = []

    async def scenario(net):
        wrong.append(await late_applied_after_no_op(net, "POST"))

    run_scenario(scenario)
    assert wrong == [True]


@pytest.mark.parametrize(
    "fault, hold_up",
    [
        (unconditional, cut_from_members),
        (callers_trusted_to_wait, stopped),
        (callers_trusted_to_wait, cut_from_caller),
        (closed_connections_ignored, cut_from_caller),
    ],
)
def test_planted_faults_are_found(monkeypatch, fault, hold_up):
    fault(monkeypatch)
    wrong = []

    async def scenario(net):
        name = by_role(net, "witness")
        found, acknowledged = await run_superseded(net, name, "POST", *hold_up(net, name))
        wrong.append(found != acknowledged)

    run_scenario(scenario)
    assert wrong == [True]
