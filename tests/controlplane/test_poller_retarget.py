"""A poller after the platform's address or rate limit changed in reloaded settings."""

import asyncio
from dataclasses import replace
from random import Random

from test_platform_poller import API, Platform, entry
from virtual_loop import run_scenario

from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.platform_poller import Poller

OTHER = ("10.200.0.9", 8266)


def play_with_new_address(scenario):
    async def run(loop):
        old, new = Platform(loop), Platform(loop)
        loop.peers = {API.address: old.connect, OTHER: new.connect}
        new.entries = [entry("z")]
        held = EndpointList(loop.time)
        poller = Poller(loop, API, held, lambda changed: None, random=Random(1))
        poller.start(term=5)
        await scenario(old, new, held, poller)
        poller.stop()
        await asyncio.sleep(0.1)

    run_scenario(run)


def test_the_next_list_comes_from_the_new_address():
    async def scenario(old, new, held, poller):
        await asyncio.sleep(1.0)
        assert set(held.endpoints) == {"a", "b", "c"}
        calls = len(old.calls)
        poller.retarget(replace(API, address=OTHER))
        await asyncio.sleep(1.0)
        assert set(held.endpoints) == {"z"} and len(old.calls) == calls and poller.host == b"10.200.0.9:8266"

    play_with_new_address(scenario)


def test_a_call_in_progress_to_the_old_address_is_aborted():
    async def scenario(old, new, held, poller):
        old.silent = True
        await asyncio.sleep(0.2)
        assert old.calls and not held.endpoints
        poller.retarget(replace(API, address=OTHER))
        await asyncio.sleep(0.5)
        assert set(held.endpoints) == {"z"}

    play_with_new_address(scenario)


def test_another_rate_keeps_the_connection_and_spaces_the_calls():
    async def scenario(old, new, held, poller):
        await asyncio.sleep(1.0)
        poller.retarget(replace(API, rate_per_s=0.5))
        await asyncio.sleep(1.0)
        before = len(old.calls)
        await asyncio.sleep(25.0)
        assert old.connections == 1 and 8 <= len(old.calls) - before <= 11

    play_with_new_address(scenario)
