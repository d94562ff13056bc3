"""Commands and reads at any of three members get a response in time, whatever the others do."""

import asyncio

import orjson
import virtual_loop
from control_net import Call, Net

from shedgrade.controlplane import command_router
from shedgrade.replication import CommittedState

MAX_RESPONSE_TIME_S = 0.7  # from sending to response, both ways included


def configuration(version, content=""):
    return orjson.dumps(
        {
            "configVersion": version,
            "serviceList": [{"name": "s", "note": content}],
            "routeList": [{"host": "h", "pathPrefix": "/", "service": "s"}],
        }
    )


def put(net, name, version, base, caller="operator", content=""):
    return Call(net, caller, name, "PUT", "/configuration", configuration(version, content), base)


def get(net, name):
    return Call(net, "operator", name, "GET", "/configuration")


async def wait_until_ready(net):
    """Waits until there is a primary and all three are members."""
    while net.primary() is None or len(net.processes[net.primary()].member.members) < 3:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)


async def response_of(call, within=3.0):
    """The status, and the seconds from sending to response."""
    reply = await asyncio.wait_for(call.response, within)
    return reply.status, call.responded_at - call.sent_at


def others(net, name):
    return [one for one in net.processes if one != name]


def run_scenario(scenario):
    async def run(loop):
        net = Net(loop)
        await wait_until_ready(net)
        await scenario(net)

    virtual_loop.run_scenario(run)


def test_any_member_accepts_commands_and_reads():
    async def scenario(net):
        for version, name in enumerate(net.processes, 1):
            status, seconds = await response_of(put(net, name, version, version - 1))
            assert status == 200 and seconds < 0.3
            for reader in net.processes:
                call = get(net, reader)
                assert (await response_of(call))[0] == 200
                assert call.response.result().body == configuration(version)

    run_scenario(scenario)


def test_a_forwarded_read_does_not_transfer_a_configuration_that_the_member_holds():
    """The primary's response is small if the member holds the primary's state already, and full otherwise."""

    async def scenario(net):
        raw = configuration(1, "x" * 100_000)
        assert (await response_of(put(net, "a", 1, 0, content="x" * 100_000)))[0] == 200
        await asyncio.sleep(1.0)
        sizes = []
        primary = net.processes[net.primary()]
        forwarded = primary.command_router.on_forwarded
        primary.command_router.on_forwarded = lambda body, answer: forwarded(
            body, lambda response_body: (sizes.append(len(response_body)), answer(response_body))
        )
        for name in others(net, net.primary()):
            call = get(net, name)
            assert (await response_of(call))[0] == 200 and call.response.result().body == raw
            member = net.processes[name].member
            held, member.replica.committed = member.replica.committed, CommittedState(0, 0, {})
            call = get(net, name)
            assert (await response_of(call))[0] == 200 and call.response.result().body == raw
            member.replica.committed = held
        assert [size > 100_000 for size in sizes] == [False, True] * 2

    run_scenario(scenario)


def test_an_isolated_member_responds_503_before_its_caller_gives_up():
    """For each of the three members in turn, at any moment after the two others were stopped."""

    async def scenario(net):
        await response_of(put(net, "a", 1, 0))
        for name in net.processes:
            for other in others(net, name):
                net.processes[other].loop.stop()
            for _ in range(20):
                for call in (
                    get(net, name),
                    put(net, name, 7, 1),
                    Call(net, "operator", name, "POST", "/evacuation/hall-1"),
                ):
                    status, seconds = await response_of(call)
                    assert status == 503 and seconds < MAX_RESPONSE_TIME_S
                    assert dict(call.response.result().headers)[b"Retry-After"]
            for other in others(net, name):
                net.processes[other].loop.resume()
            await asyncio.sleep(3.0)
            assert (await response_of(get(net, name)))[0] == 200

    run_scenario(scenario)


def test_a_member_without_a_primary_for_long_rejects_calls_at_once():
    async def scenario(net):
        for name in net.processes:
            net.cut(*((name, other) for other in others(net, name)))
            await asyncio.sleep(command_router.NO_PRIMARY_TIMEOUT_S + 1.5)
            for call in (get(net, name), put(net, name, 7, 0)):
                status, seconds = await response_of(call)
                assert status == 503 and seconds < 2.5 * net.delay
            net.heal()
            await asyncio.sleep(3.0)
            assert (await response_of(get(net, name)))[0] in (200, 404)

    run_scenario(scenario)


def test_calls_wait_for_a_new_primary_within_the_response_timeout():
    """Reads are sent at any moment after the primary was stopped, to the two remaining members in turn. A
    call without success gets its 503 in time, and calls succeed once there is a new primary."""

    async def scenario(net):
        first = net.primary()
        net.processes[first].loop.stop()
        stopped_at, success_delays, calls = net.loop.time(), [], []
        for number in range(40):
            calls.append(get(net, others(net, first)[number % 2]))
            await asyncio.sleep(0.05)
        for call in calls:
            status, seconds = await response_of(call)
            assert seconds < MAX_RESPONSE_TIME_S
            if status != 503:
                success_delays.append(call.sent_at - stopped_at)
        assert calls[-1].sent_at - stopped_at > 1.0 and len(success_delays) > 20
        # A call sent before there was a new primary was held and succeeded.
        assert min(success_delays) < 0.9

    run_scenario(scenario)


def test_a_large_body_extends_the_time_limits():
    async def scenario(net):
        async def slow(process, address, body, timeout):
            assert timeout > 1.0
            await asyncio.sleep(1.0)
            raise command_router.PeerCallError("late")

        primary = net.primary()
        name = others(net, primary)[0]
        process = net.processes[name]
        process.call = lambda *args: slow(process, *args)
        call = put(net, name, 1, 0, content="x" * 250_000)
        status, seconds = await response_of(call, 5.0)
        assert status == 503 and 1.6 < seconds < 1.8

    run_scenario(scenario)
