"""Settings and balancers for the tests."""
from shedgrade import decide


def method(idempotency="repeatable", group="all", payoff=1.0, soft=500.0, hard=1000.0, window=300.0):
    return {"name": "m", "idempotency": idempotency, "group": group, "payoff": payoff, "soft_deadline": soft,
            "hard_deadline": hard, "overdue_payoff": 0.0, "repeat_window": window, "stream": False}


def settings(methods=None, zones=1, az=0, limits=None, **more):
    return {"az": az, "balancers": 1, "membership_mode": "pushed", "tick": 1.0, "my_number": 0, "prices": {},
            "customers": [], "report": {"fields": [], "via": "off"},
            "methods": methods or [method()], "zones": [str(z) for z in range(zones)],
            "limits": {"most_transmissions": 4, "parallel_tries": False, "cancelling": True,
                       "retry_after": True, "max_retry_after": 1000.0, "probes": False, "may_tell": False,
                       **(limits or {})},
            "rules": {"ask_every": 10000.0, "cold": 10000.0, "cold_from": 0.2, "fall_multiple": 3.0,
                      "overload_for": 2000.0, "stop_sending_within": 300.0}, **more}


def row(up, zone=0, state=decide.READY, started=0, cell=0, size=1.0, kind=0):
    return up, zone, state, started, cell, up, size, kind


def balancer(conf, upstreams, seed=1):
    """`upstreams`: pairs of index and zone, all ready and warm."""
    b = decide.Balancer(conf, seed, 0)
    b.list_changed(0, [row(up, zone) for up, zone in upstreams], True, True)
    b.sums = [100.0, 150.0, 1000.0, 250.0, 1500.0]  # 1 ms whatever is in flight
    b.fit()
    return b
