"""The disk's thread beside the loop, where threads take turns at any point, as on several cores."""

import asyncio
import sys

import pytest

from shedgrade.controlplane.disk_thread import DiskThread
from shedgrade.storage import Store

WRITES = 300
OFTEN = 1e-6  # s between two turns of threads


@pytest.fixture
def turns_at_any_point():
    before = sys.getswitchinterval()
    sys.setswitchinterval(OFTEN)
    yield
    sys.setswitchinterval(before)


def test_writes_are_told_once_in_their_order_and_are_on_disk_when_told(turns_at_any_point, tmp_path):
    async def story():
        loop, told, all_told = asyncio.get_running_loop(), [], asyncio.Event()
        store = Store(tmp_path)
        store.load()

        def done(token, ok):
            told.append((token, ok, int(store.values["number"])))
            if len(told) == WRITES:
                all_told.set()

        disk = DiskThread(loop, store, done)
        disk.start()
        for number in range(WRITES):
            disk.write(number, {"number": b"%d" % number})
            if number % 7 == 0:
                await asyncio.sleep(0)
        async with asyncio.timeout(30):
            await all_told.wait()
        disk.close()
        disk.thread.join(10)
        assert not disk.thread.is_alive()
        assert [(token, ok) for token, ok, _ in told] == [(number, True) for number in range(WRITES)]
        assert all(written >= token for token, _, written in told)

    asyncio.run(story())
    assert Store(tmp_path).load().values == {"number": b"%d" % (WRITES - 1)}
