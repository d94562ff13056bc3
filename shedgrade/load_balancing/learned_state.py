"""What lasts of the decisions over a restart or an upgrade: out of them as plain data, and back. No I/O."""

from math import exp, inf

from . import LONGEST, RECENT, SECOND, Balancer


def export(balancer: Balancer, now: int) -> dict:
    """What was learnt, by index, for `restore` after a restart. Its form is versioned: `v`."""
    while hasattr(balancer, "inner"):  # capture and watch stand before the decisions
        balancer = balancer.inner
    return {
        "v": 1,
        "sums": balancer.sums,
        "memory": balancer.memory,
        "kinds": [[kind, took, alike] for kind, (took, alike, _) in balancer.kinds.items()],
        "windows": [None if zone.window == inf else zone.window for zone in balancer.zones],
        "ups": [
            [up.index, up.took, up.foreseen, up.good, up.bad, (now - up.stamp) / SECOND]
            for up in balancer.ups.values()
            if up.took or up.bad
        ],
        "used": [[up.index, up.back_at, up.used] for up in balancer.ups.values() if up.used > 0],
    }


def restore(balancer: Balancer, now: int, state: dict, age: float) -> None:
    """Takes what `export` gave `age` seconds ago, which weighs the less the older it is; the caller has
    checked its form. Windows hold for as long as a trouble lasts, and are then found anew. What stands before
    the decisions (capture, watch) takes it in its own `restore`, and hands it on."""
    if hasattr(balancer, "restore"):
        return balancer.restore(now, state, age)
    if state["v"] != 1:
        return None
    keep = exp(-age * SECOND / LONGEST)
    part = max(keep, 1 / max(1.0, state["sums"][0]))  # one end's worth stays: better than a belief
    balancer.sums, balancer.stamp = [total * part for total in state["sums"]], now
    balancer.memory = balancer.ends.under = state["memory"]
    balancer.ends.over, balancer.ends.stamp = balancer.sums[0], now  # it is the same traffic
    balancer.kinds = {kind: [took * keep, alike * keep, now] for kind, took, alike in state["kinds"]}
    balancer.fit()
    for zone, window in zip(balancer.zones, state["windows"], strict=True):
        if window is not None and age * SECOND < LONGEST:
            zone.window = window
    for index, took, foreseen, good, bad, since in state["ups"]:
        if up := balancer.ups.get(index):
            left = exp(-(age + since) * SECOND / balancer.memory)
            up.took, up.foreseen, up.good, up.bad = took * left, foreseen * left, good * left, bad * left
            up.stamp = now
    for index, back_at, used in state.get("used", ()):
        if up := balancer.ups.get(index):
            up.started, up.back_at, up.used = max(up.started, back_at), back_at, used
            if 0 < back_at - used < RECENT:
                balancer.owed.append(up)
    for up in balancer.ups.values():
        up.cold_turns, up.cold_stamp = 0.0, now  # whoever sent before had them
    return None
