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

MOST = 10.0  # s in which a condition has to become true


def free(address):
    host, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as handle:
        try:
            handle.bind((host, int(port)))
        except OSError:
            return False
        return True


def node(name, kind="edge", **more):
    return Node(name, host_port(free_address()), kind, "hall-1", 7, "127.0.0.1:7300", **more)


def gossip(me, *contacts):
    return Gossip(asyncio.get_running_loop(), me, [each.address for each in contacts], Random(me.name))


async def until(condition):
    async with asyncio.timeout(MOST):
        while not condition():
            heard = asyncio.get_running_loop().create_future()
            asyncio.get_running_loop().call_later(
                0.005, lambda heard=heard: heard.done() or heard.set_result(None)
            )
            await heard


def names(running):
    return {each.name for each in running.view.nodes()}


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request):
    def run(story):
        new = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new) as runner:
            return runner.run(story())

    return run


def test_all_find_each_other_by_one_contact_and_hear_at_once_who_leaves(play):
    async def story():
        core, *edges = node("core-1", "core"), node("edge-1"), node("edge-2"), node("edge-3")
        running = [gossip(core, core)] + [gossip(each, core) for each in edges]
        for each in running:
            await each.start()
        try:
            await until(lambda: all(len(names(each)) == 4 for each in running))
            assert [each.view.count("edge") for each in running] == [3] * 4
            running[3].announce_state("leaving")
            await until(lambda: all("edge-3" not in names(each) for each in running[:3]))
            assert running[0].view.count("edge") == 2
        finally:
            for each in running:
                each.close()

    play(story)


def test_a_state_that_changes_reaches_the_others(play):
    async def story():
        core, edge = node("core-1", "core"), node("edge-1", state="starting")
        running = [gossip(core), gossip(edge, core)]
        for each in running:
            await each.start()
        try:
            await until(lambda: len(names(running[0])) == 2)
            running[1].announce_state("ready")
            await until(lambda: [each.state for each in running[0].view.nodes()] == ["ready", "ready"])
        finally:
            for each in running:
                each.close()

    play(story)


def test_an_address_that_is_taken_is_said_and_the_process_goes_on(play):
    async def story():
        me, lines = node("edge-1"), []
        log.set_sink(
            SimpleNamespace(
                **dict.fromkeys(log.METHODS, lambda event, **fields: lines.append((event, fields)))
            )
        )
        first, second = gossip(me), gossip(me)
        try:
            await first.start()
            await second.start()
            second.announce_state("ready")
            [(event, fields)] = lines
            assert event == "gossip socket not opened"
            assert fields["address"] == me.address
            assert "in use" in fields["error"]
            second.close()
            first.close()
            await until(lambda: free(me.address))
        finally:
            log.set_sink(None)

    play(story)


def test_an_address_that_is_none_is_passed_over(play):
    async def story():
        core = node("core-1", "core")
        running = gossip(core)
        running.view.add_contacts(
            [Node("edge-1", "127.0.0.1\0:7301", "edge"), Node("edge-2", "127.0.0.1:9", "edge")]
        )
        await running.start()
        try:
            running.on_datagram(
                "127.0.0.1:9", encode(MembershipUpdate([], [Rumour("edge-1", 5, "suspected")]))
            )
            running.announce_state("leaving")
            assert not running.view.instructions
        finally:
            running.close()

    play(story)
