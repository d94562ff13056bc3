"""Benchmarks of a large deployment, without sockets: `python benchmarks/move.py renewal|watch`.

renewal  time to apply a list in which all weights changed, and one in which a single upstream changed
watch    CPU of an RPC's decisions with and without a shadow policy, in paired runs
"""

import sys
from pathlib import Path
from random import Random
from statistics import median
from time import perf_counter
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from helpers import method, settings

from shedgrade import load_balancing
from shedgrade.sidecar.shadow_policy.config import ShadowPolicyConfig
from shedgrade.sidecar.shadow_policy.part import ShadowPolicyPart

SIDECARS, ZONES = 300, 4


def balancer_settings(**more):
    return settings(
        [method("once"), method(payoff=3.0)],
        zones=ZONES,
        balancers=SIDECARS,
        my_number=7,
        weight_kind="live",
        limits={"multiplex": 100},
        **more,
    )


def endpoint_rows(count, chance, changed=None):
    return [
        (
            up,
            up % ZONES,
            load_balancing.READY,
            0,
            0,
            up * 2654435761 % 2**32,
            1 / (1 + 3 * chance.random()),
            0,
        )
        for up in (range(count) if changed is None else changed)
    ]


def median_us(call, times):
    found = []
    for _ in range(times):
        start = perf_counter()
        call()
        found.append((perf_counter() - start) * 1e6)
    return median(found)


def measure_list_updates():
    for count in (13, 66, 300):
        chance = Random(1)
        b = load_balancing.Balancer(balancer_settings(), 1, 0)
        b.list_changed(0, endpoint_rows(count, chance), True, True)
        whole = median_us(
            lambda b=b, c=chance, n=count: b.list_changed(1, endpoint_rows(n, c), False, True), 200
        )
        alone = median_us(lambda c=chance, n=count: endpoint_rows(n, c), 200)
        flip = [load_balancing.DRAINING, load_balancing.READY]

        def change(b=b, c=chance, flip=flip):
            flip.reverse()
            (row,) = endpoint_rows(1, c, [0])
            b.list_changed(1, [(*row[:2], flip[0], *row[3:])], False, True)

        print(
            f"{count} upstreams: {whole - alone:.0f} us to apply a list with all weights changed, "
            f"{median_us(change, 200):.0f} us with one upstream changed"
        )


def measure_shadow_policy():
    def make_workload(watched):
        if watched:
            b = ShadowPolicyPart(ShadowPolicyConfig(settings={"limits": {"multiplex": 1}}), "f").decisions(
                balancer_settings(), 1, 0
            )
        else:
            b = load_balancing.Balancer(balancer_settings(), 1, 0)
        b.list_changed(0, endpoint_rows(66, Random(1)), True, True)
        state = [0]

        def rpcs():
            for _ in range(200):
                state[0] += 1000
                active_request = SimpleNamespace(rpc=None)
                active_request.rpc = b.admit(state[0], 0, state[0] + 9000, False, active_request)
                if active_request.rpc.decide(state[0]) is not None and active_request.rpc.outstanding:
                    active_request.rpc.attempt_finished(
                        state[0] + 200, 0, load_balancing.COMPLETED, 200, True
                    )
                for _ in b.due(state[0] + 200):
                    pass

        return rpcs

    run_plain, watched = make_workload(False), make_workload(True)
    pairs = [(median_us(run_plain, 1) / 200, median_us(watched, 1) / 200) for _ in range(30)]
    print(
        f"{median(a for a, _ in pairs):.1f} us per RPC, {median(b for _, b in pairs):.1f} us with a shadow "
        f"policy, ratio {median(b / a for a, b in pairs):.2f}"
    )


if __name__ == "__main__":
    {"renewal": measure_list_updates, "watch": measure_shadow_policy}[sys.argv[1]]()
