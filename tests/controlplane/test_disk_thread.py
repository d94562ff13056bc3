"""The disk thread and the event loop, with a thread switch at any point, as on several cores."""

import asyncio
import sys

import pytest

from shedgrade.controlplane.disk_thread import DiskThread
from shedgrade.storage import Store

WRITES = 300
SWITCH_INTERVAL_S = 1e-6  # between two thread switches


@pytest.fixture
def frequent_thread_switches():
    before = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    yield
    sys.setswitchinterval(before)


def test_writes_are_reported_once_in_order_and_are_on_disk_by_then(frequent_thread_switches, tmp_path):
    async def scenario():
        loop, reported, all_reported = asyncio.get_running_loop(), [], asyncio.Event()
        store = Store(tmp_path)
        store.load()

        def on_written(token, succeeded):
            reported.append((token, succeeded, int(store.values["number"])))
            if len(reported) == WRITES:
                all_reported.set()

        disk = DiskThread(loop, store, on_written)
        disk.start()
        for number in range(WRITES):
            disk.write(number, {"number": b"%d" % number})
            if number % 7 == 0:
                await asyncio.sleep(0)
        async with asyncio.timeout(30):
            await all_reported.wait()
        disk.close()
        disk.thread.join(10)
        assert not disk.thread.is_alive()
        assert [(token, succeeded) for token, succeeded, _ in reported] == [
            (number, True) for number in range(WRITES)
        ]
        assert all(written_number >= token for token, _, written_number in reported)

    asyncio.run(scenario())
    assert Store(tmp_path).load().values == {"number": b"%d" % (WRITES - 1)}
