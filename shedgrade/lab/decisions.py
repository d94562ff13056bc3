"""CPU cost of load-balancing decisions by size of the upstream list, in one process without sockets."""

import time
from random import Random

from shedgrade import load_balancing


def settings(zones: int) -> dict:
    """Minimal balancer settings with one method and this many zones."""
    return {
        "az": 0,
        "balancers": 4,
        "membership_mode": "pushed",
        "tick": 1.0,
        "prices": {"cross_zone": 0.02},
        "report": {"fields": [], "via": "off"},
        "zones": [str(zone) for zone in range(zones)],
        "methods": [
            {
                "name": "m",
                "idempotency": "once",
                "group": "all",
                "payoff": 1.0,
                "soft_deadline": 600.0,
                "hard_deadline": 1200.0,
                "overdue_payoff": 0.0,
                "repeat_window": 0.0,
            }
        ],
        "limits": {
            "most_transmissions": 3,
            "parallel_tries": False,
            "cancelling": True,
            "retry_after": False,
            "max_retry_after": 1000.0,
            "probes": False,
            "may_tell": False,
        },
        "rules": {
            "ask_every": 10_000.0,
            "cold": 10_000.0,
            "cold_from": 0.2,
            "fall_multiple": 3.0,
            "overload_for": 2_000.0,
            "stop_sending_within": 500.0,
        },
    }


def cost(upstreams: int, rpcs: int = 20_000, zones: int = 4, seed: int = 1) -> dict:
    """CPU microseconds per RPC and per list change of one upstream, with this many upstreams.

    An RPC is admitted, decided, ended and decided again. As many RPCs are open at any time as a tenth of the
    upstreams, and at least four; a random one of them ends next.
    """
    rng = Random(seed)
    balancer = load_balancing.Balancer(settings(zones), seed, 0)
    rows = [
        (number, number % zones, load_balancing.READY, 0, 0, number, 1.0, 0) for number in range(upstreams)
    ]
    balancer.list_changed(0, rows, True, True)
    now, open_rpcs, open_limit = 0, [], max(4, upstreams // 10)
    started = time.process_time()
    for _ in range(rpcs):
        now += 10
        rpc = balancer.admit(now, 0, now + 12_000)
        decision = rpc.decide(now)
        if decision is not None and decision[0] >= 0:
            open_rpcs.append((rpc, now))
        if len(open_rpcs) >= open_limit:
            rpc, sent = open_rpcs.pop(rng.randrange(len(open_rpcs)))
            rpc.attempt_finished(now, 0, load_balancing.COMPLETED, max(1, min(now - sent, 500)), True)
            rpc.decide(now)
        for rpc in balancer.due(now):
            decision = rpc.decide(now)
            if decision is not None and decision[0] >= 0:
                open_rpcs.append((rpc, now))
        balancer.take_released()
    rpc_us = (time.process_time() - started) / rpcs * 1e6
    started, changes = time.process_time(), 500
    for number in range(changes):
        row = list(rows[number % upstreams])
        row[2] = load_balancing.DRAINING if number % 2 == 0 else load_balancing.READY
        balancer.list_changed(now, [tuple(row)], False, True)
    return {
        "upstreams": upstreams,
        "rpc_us": round(rpc_us, 2),
        "change_us": round((time.process_time() - started) / changes * 1e6, 2),
    }
