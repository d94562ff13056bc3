"""Calls over an adopted incoming connection: the answers arrive on the same connection."""

import asyncio

import pytest
import uvloop
from test_connections import HOST, OTHER, End

from shedgrade.peer_transport.tcp import PeerCallError, PeerConnectionPool


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request):
    """Two ends; the first has connected to the second, which has adopted that connection."""

    def run(story, is_response=True):
        async def whole():
            loop = asyncio.get_running_loop()
            first, second = End(loop, HOST), End(loop, OTHER)
            if is_response:
                first.links = PeerConnectionPool(loop, first.address, first.come_back, HOST, first.taken)
            await first.server.start()
            await second.server.start()
            try:
                first.links.send(second.address, b"met")
                assert await asyncio.wait_for(second.got.get(), 5) == (first.address, b"met")
                assert second.links.routes[first.address].adopted_connection is not None
                await story(first, second)
            finally:
                first.close()
                second.close()

        new = uvloop.new_event_loop if request.param == "uvloop" else asyncio.new_event_loop
        with asyncio.Runner(loop_factory=new) as runner:
            runner.run(whole())

    return run


def test_a_call_over_it_is_answered(play):
    async def story(first, second):
        assert await second.links.call(first.address, b"one", 5) == b"echo one"
        assert second.links.routes[first.address].own_connection is None  # the second end opened none

    play(story)


def test_many_at_once_get_each_its_own_answer(play):
    async def story(first, second):
        bodies = [b"%d" % number for number in range(50)]
        both = [
            *(second.links.call(first.address, body, 5) for body in bodies),
            *(first.links.call(second.address, body, 5) for body in bodies),
        ]
        assert await asyncio.gather(*both) == [b"echo " + body for body in bodies] * 2

    play(story)


def test_what_goes_one_way_still_comes_to_the_handle(play):
    async def story(first, second):
        second.links.send(first.address, b"told")
        assert await asyncio.wait_for(first.got.get(), 5) == (second.address, b"told")

    play(story)


def test_an_end_that_takes_no_calls_there_hands_them_on_unanswered(play):
    async def story(first, second):
        with pytest.raises(PeerCallError):
            await second.links.call(first.address, b"one", 0.05)
        assert await asyncio.wait_for(first.got.get(), 5) == (second.address, b"one")

    play(story, is_response=False)
