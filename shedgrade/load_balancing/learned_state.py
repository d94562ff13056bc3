"""What lasts of the decisions over a restart or an upgrade: out of them as plain data, and back. No I/O."""

from math import exp, inf

from . import MAX_DECAY_TIME, RECENTLY_USED, SECOND, Balancer


def export(balancer: Balancer, now: int) -> dict:
    """What was learnt, by index, for `restore` after a restart. Its form is versioned: `v`."""
    while hasattr(balancer, "inner"):  # capture and watch stand before the decisions
        balancer = balancer.inner
    return {
        "v": 1,
        "sums": balancer.latency_sums,
        "memory": balancer.decay_time,
        "kinds": [
            [kind, duration, alike] for kind, (duration, alike, _) in balancer.hardware_durations.items()
        ],
        "windows": [
            None if zone.concurrency_limit == inf else zone.concurrency_limit for zone in balancer.zones
        ],
        "ups": [
            [
                upstream.index,
                upstream.observed_duration,
                upstream.foreseen_duration,
                upstream.successes,
                upstream.failures,
                (now - upstream.decayed_at) / SECOND,
            ]
            for upstream in balancer.upstreams.values()
            if upstream.observed_duration or upstream.failures
        ],
        "used": [
            [upstream.index, upstream.reinstated_at, upstream.last_used_at]
            for upstream in balancer.upstreams.values()
            if upstream.last_used_at > 0
        ],
    }


def restore(balancer: Balancer, now: int, state: dict, age: float) -> None:
    """Takes what `export` gave `age` seconds ago, which weighs the less the older it is; the caller has
    checked its form. Windows hold for as long as a trouble lasts, and are then found anew. What stands before
    the decisions (capture, watch) takes it in its own `restore`, and hands it on."""
    if hasattr(balancer, "restore"):
        balancer.restore(now, state, age)
        return
    if state["v"] != 1:
        return
    keep = exp(-age * SECOND / MAX_DECAY_TIME)
    part = max(keep, 1 / max(1.0, state["sums"][0]))  # one end's worth stays: better than a belief
    balancer.latency_sums, balancer.latency_sums_at = [total * part for total in state["sums"]], now
    balancer.decay_time = balancer.finish_rate.denominator = state["memory"]
    balancer.finish_rate.numerator = balancer.latency_sums[0]  # it is the same traffic
    balancer.finish_rate.decayed_at = now
    balancer.hardware_durations = {
        kind: [duration * keep, alike * keep, now] for kind, duration, alike in state["kinds"]
    }
    balancer.fit_latency()
    for zone, window in zip(balancer.zones, state["windows"], strict=True):
        if window is not None and age * SECOND < MAX_DECAY_TIME:
            zone.concurrency_limit = window
    for index, duration, foreseen, good, bad, since in state["ups"]:
        if upstream := balancer.upstreams.get(index):
            remaining = exp(-(age + since) * SECOND / balancer.decay_time)
            upstream.observed_duration = duration * remaining
            upstream.foreseen_duration = foreseen * remaining
            upstream.successes = good * remaining
            upstream.failures = bad * remaining
            upstream.decayed_at = now
    for index, back_at, used in state.get("used", ()):
        if upstream := balancer.upstreams.get(index):
            upstream.started_at, upstream.reinstated_at, upstream.last_used_at = (
                max(upstream.started_at, back_at),
                back_at,
                used,
            )
            if 0 < back_at - used < RECENTLY_USED:
                balancer.reinstated.append(upstream)
    for upstream in balancer.upstreams.values():
        upstream.slow_start_credit, upstream.slow_start_updated_at = 0.0, now  # whoever sent before had them
