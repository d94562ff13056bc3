"""The stand-in for the platform's list: its lag, pages, call rate and draining entries."""

import asyncio
import json
from dataclasses import replace

from shedgrade.lab.system.calls import call
from shedgrade.lab.system.platform import DRAINING, PAGE_SIZE, Entry, InstanceDirectory, PlatformServer


def entry(number=1, zone="quay", **fields):
    return Entry(
        **{
            "instance": f"i-{number}",
            "service": "lm",
            "address": "127.0.0.1:9000",
            "zone": zone,
            "slots": 4,
            **fields,
        }
    )


def names(page):
    return [one["instanceId"] for one in page["instanceList"]]


def test_the_list_is_shown_after_its_lag():
    directory = InstanceDirectory(0.5, 10)
    directory.replace_entries(1.0, [entry()])
    assert names(directory.page(1.4, None, None)) == []
    assert names(directory.page(1.6, None, None)) == ["i-1"]
    directory.replace_entries(2.0, [entry(), entry(2)])
    directory.replace_entries(2.1, [entry(2)])
    assert names(directory.page(2.3, None, None)) == ["i-1"]
    assert names(directory.page(2.55, None, None)) == ["i-1", "i-2"]
    assert names(directory.page(2.7, None, None)) == ["i-2"]


def test_a_later_change_of_an_entry_is_not_shown_early():
    directory = InstanceDirectory(0.5, 10)
    listed = entry()
    directory.replace_entries(1.0, [listed])
    listed.state = DRAINING
    assert directory.page(2.0, None, None)["instanceList"][0]["state"] == "available"
    directory.replace_entries(2.0, [listed])
    assert directory.page(2.6, None, None)["instanceList"][0]["state"] == "draining"
    assert directory.shown_draining == {"i-1": 2.5}


def test_pages_follow_each_other_and_zones_are_filtered():
    directory = InstanceDirectory(0.0, 10)
    directory.replace_entries(
        0.0, [entry(number, "quay" if number % 2 else "mill") for number in range(2 * PAGE_SIZE + 3)]
    )
    seen, token = [], None
    while True:
        page = directory.page(1.0, None, token)
        seen += names(page)
        token = page["nextToken"]
        if token is None:
            break
    assert seen == [f"i-{number}" for number in range(2 * PAGE_SIZE + 3)]
    assert len(names(directory.page(1.0, "mill", None))) == PAGE_SIZE
    assert {one["zone"] for one in directory.page(1.0, "mill", f"p-{PAGE_SIZE}")["instanceList"]} == {"mill"}


def test_an_entry_gives_the_remaining_cold_time_and_lifetime():
    fields = replace(entry(), cold_until=3.0, gone_at=2.5).as_json(1.0)
    assert fields["coldLeftMs"] == 2000 and fields["timeLeftMs"] == 1500
    assert "timeLeftMs" not in entry().as_json(1.0) and entry(cold_until=3.0).as_json(4.0)["coldLeftMs"] == 0


def test_calls_beyond_the_rate_get_429():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = [100.0]
        directory = InstanceDirectory(0.0, 3)
        directory.replace_entries(0.0, [entry()])
        server = PlatformServer(loop, ("127.0.0.1", 0), directory, lambda: now[0])
        await server.start()
        address = f"127.0.0.1:{server.server.port}"
        answers = [await call(address, "GET", "/instances") for _ in range(4)]
        assert [answer.status for answer in answers] == [200, 200, 200, 429] and directory.refused == 1
        assert names(json.loads(answers[0].body)) == ["i-1"]
        now[0] += 1.1
        assert (await call(address, "GET", "/instances?zone=mill")).body.count(b"i-1") == 0
        assert (await call(address, "GET", "/other")).status == 404
        server.close()

    asyncio.run(scenario())
