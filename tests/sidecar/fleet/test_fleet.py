"""24 sidecar processes that start, reload and are killed while upstreams change: who uses which upstream."""

import uvloop
from processes import Fleet


def test_subsets_stay_balanced_and_stable_while_sidecars_and_upstreams_change():
    # Subsets were assigned by a running total: one more upstream moved a third to a half of all assignments,
    # and a larger count, which took a restart, moved all of them.
    async def scenario():
        async with Fleet(24, 30) as fleet:
            first_pairs = await fleet.load()
            per_upstream = fleet.sidecars_per_upstream(first_pairs)
            assert (
                max(per_upstream.values()) <= 1.25 * sum(per_upstream.values()) / 30
                and min(per_upstream.values()) >= 4
            )
            upstreams_per_sidecar = [sum(number == one for one, _ in first_pairs) for number in range(24)]
            assert min(upstreams_per_sidecar) >= 3 and all(
                (number - up) % 3 == 0 for number, up in first_pairs
            )

            # A quarter of the sidecars is killed: the others keep their subsets.
            for number in range(0, 24, 4):
                fleet.kill(number)
            assert await fleet.load() <= first_pairs
            for number in range(0, 24, 4):
                await fleet.start(number)
            pairs_again = await fleet.load()  # on a busy machine slow upstreams get fewer requests
            assert pairs_again <= first_pairs and len(pairs_again) >= 0.9 * len(first_pairs)

            # One upstream goes, another comes.
            removed = fleet.upstreams.pop(7)
            await fleet.add_upstream(31)
            await fleet.change()
            changed_pairs = await fleet.load()
            removed.stop()
            assert {up for _, up in changed_pairs} == set(fleet.upstreams)
            lost_pairs = sum(up == 7 for _, up in first_pairs)
            assert (
                len(changed_pairs - first_pairs) <= 4 * lost_pairs
                and max(fleet.sidecars_per_upstream(changed_pairs).values()) <= 7
            )

            # The fleet grows by a half and shrinks again by reload: balanced at both sizes, then as before.
            await fleet.resize(36)
            grown_pairs = await fleet.load()
            per_upstream = fleet.sidecars_per_upstream(grown_pairs)
            assert (
                min(per_upstream.values()) >= 4
                and max(per_upstream.values()) <= 1.4 * sum(per_upstream.values()) / 30
            )
            remaining_pairs = {pair for pair in grown_pairs if pair[0] < 24}
            assert (
                len(grown_pairs) <= 1.1 * len(changed_pairs)
                and len(remaining_pairs - changed_pairs) <= len(changed_pairs) / 5
            )
            await fleet.resize(24)
            pairs_again = await fleet.load()
            assert pairs_again <= changed_pairs and len(pairs_again) >= 0.9 * len(changed_pairs)

    uvloop.run(scenario())
