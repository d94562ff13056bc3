"""24 sidecar processes that start, reload and are killed while upstreams change: who uses which upstream."""

import uvloop
from processes import Fleet


def test_parts_stay_fair_and_hardly_move_while_processes_and_upstreams_come_and_go():
    # Subsets were assigned by a running total: one more upstream moved a third to a half of all assignments,
    # and a larger count, which took a restart, moved all of them.
    async def scene():
        async with Fleet(24, 30) as fleet:
            begun = await fleet.load()
            kept = fleet.keeping(begun)
            assert max(kept.values()) <= 1.25 * sum(kept.values()) / 30 and min(kept.values()) >= 4
            by_sidecar = [sum(number == one for one, _ in begun) for number in range(24)]
            assert min(by_sidecar) >= 3 and all((number - up) % 3 == 0 for number, up in begun)

            # A quarter of the sidecars is killed: the others keep their subsets.
            for number in range(0, 24, 4):
                fleet.kill(number)
            assert await fleet.load() <= begun
            for number in range(0, 24, 4):
                await fleet.start(number)
            again = await fleet.load()  # on a busy machine slow upstreams get fewer requests
            assert again <= begun and len(again) >= 0.9 * len(begun)

            # One upstream goes, another comes.
            gone = fleet.upstreams.pop(7)
            await fleet.add_upstream(31)
            await fleet.change()
            after = await fleet.load()
            gone.stop()
            assert {up for _, up in after} == set(fleet.upstreams)
            lost = sum(up == 7 for _, up in begun)
            assert len(after - begun) <= 4 * lost and max(fleet.keeping(after).values()) <= 7

            # The fleet grows by a half and shrinks again by reload: balanced at both sizes, then as before.
            await fleet.resize(36)
            grown = await fleet.load()
            kept = fleet.keeping(grown)
            assert min(kept.values()) >= 4 and max(kept.values()) <= 1.4 * sum(kept.values()) / 30
            stayed = {pair for pair in grown if pair[0] < 24}
            assert len(grown) <= 1.1 * len(after) and len(stayed - after) <= len(after) / 5
            await fleet.resize(24)
            again = await fleet.load()
            assert again <= after and len(again) >= 0.9 * len(after)

    uvloop.run(scene())
