"""Gossip on loopback sockets: discovery by one contact, state changes, leaving, and invalid addresses."""

import asyncio
import socket
from random import Random
from types import SimpleNamespace

import pytest
import uvloop
from addresses import free_address, host_port

from shedgrade.membership.gossip import Gossip
from shedgrade.membership.messages import MembershipUpdate, Node, Rumour, encode
from shedgrade.runtime import log

CONDITION_TIMEOUT_S = 10.0  # in which a condition has to become true


def can_bind(address):
    host, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((host, int(port)))
        except OSError:
            return False
        return True


def node(name, kind="edge", **node_fields):
    return Node(name, host_port(free_address()), kind, "hall-1", 7, "127.0.0.1:7300", **node_fields)


def make_gossip(own_node, *contacts):
    return Gossip(
        asyncio.get_running_loop(), own_node, [contact.address for contact in contacts], Random(own_node.name)
    )


async def wait_until(condition):
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():
            elapsed = asyncio.get_running_loop().create_future()
            asyncio.get_running_loop().call_later(
                0.005, lambda elapsed=elapsed: elapsed.done() or elapsed.set_result(None)
            )
            await elapsed


def names(member):
    return {known_node.name for known_node in member.view.nodes()}


@pytest.fixture(params=["asyncio", "uvloop"])
def run_scenario(request):
    def run(scenario):
        new_loop = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new_loop) as runner:
            return runner.run(scenario())

    return run


def test_members_find_each_other_by_one_contact_and_learn_of_a_leave_at_once(run_scenario):
    async def scenario():
        core, *edges = node("core-1", "core"), node("edge-1"), node("edge-2"), node("edge-3")
        members = [make_gossip(core, core)] + [make_gossip(edge, core) for edge in edges]
        for member in members:
            await member.start()
        try:
            await wait_until(lambda: all(len(names(member)) == 4 for member in members))
            assert [member.view.count("edge") for member in members] == [3] * 4
            members[3].announce_state("leaving")
            await wait_until(lambda: all("edge-3" not in names(member) for member in members[:3]))
            assert members[0].view.count("edge") == 2
        finally:
            for member in members:
                member.close()

    run_scenario(scenario)


def test_a_state_change_reaches_the_other_members(run_scenario):
    async def scenario():
        core, edge = node("core-1", "core"), node("edge-1", state="starting")
        members = [make_gossip(core), make_gossip(edge, core)]
        for member in members:
            await member.start()
        try:
            await wait_until(lambda: len(names(members[0])) == 2)
            members[1].announce_state("ready")
            await wait_until(
                lambda: [known_node.state for known_node in members[0].view.nodes()] == ["ready", "ready"]
            )
        finally:
            for member in members:
                member.close()

    run_scenario(scenario)


def test_an_address_in_use_is_logged_and_the_process_goes_on(run_scenario):
    async def scenario():
        own_node, logged_events = node("edge-1"), []
        log.set_sink(
            SimpleNamespace(
                **dict.fromkeys(
                    log.LOG_METHODS, lambda event, **fields: logged_events.append((event, fields))
                )
            )
        )
        first, second = make_gossip(own_node), make_gossip(own_node)
        try:
            await first.start()
            await second.start()
            second.announce_state("ready")
            [(event, fields)] = logged_events
            assert event == "gossip socket not opened"
            assert fields["address"] == own_node.address
            assert "in use" in fields["error"]
            second.close()
            first.close()
            await wait_until(lambda: can_bind(own_node.address))
        finally:
            log.set_sink(None)

    run_scenario(scenario)


def test_an_invalid_address_is_skipped(run_scenario):
    async def scenario():
        core = node("core-1", "core")
        member = make_gossip(core)
        member.view.add_contacts(
            [Node("edge-1", "127.0.0.1\0:7301", "edge"), Node("edge-2", "127.0.0.1:9", "edge")]
        )
        await member.start()
        try:
            member.on_datagram(
                "127.0.0.1:9", encode(MembershipUpdate([], [Rumour("edge-1", 5, "suspected")]))
            )
            member.announce_state("leaving")
            assert not member.view.instructions
        finally:
            member.close()

    run_scenario(scenario)
