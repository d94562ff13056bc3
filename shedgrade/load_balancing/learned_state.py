"""Export and restore of what the balancer has learned, over a restart or an upgrade. No I/O."""

from math import exp, inf

from . import MAX_DECAY_TIME, RECENTLY_USED, SECOND, Balancer


def export(balancer: Balancer, now: int) -> dict:
    """Returns what was learned, by upstream index, as plain data for `restore`. `v`: the format's version."""
    while hasattr(balancer, "inner"):  # capture and watch wrap the balancer
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
    """Restores what `export` returned `age` seconds ago; the older it is, the less it weighs.

    The caller has checked the format of `state`. A concurrency limit is valid for about as long as an
    overload lasts: limits older than MAX_DECAY_TIME are not restored but determined anew. A wrapper of the
    balancer (capture, watch) handles the call in its own `restore` and passes it on.
    """
    if hasattr(balancer, "restore"):
        balancer.restore(now, state, age)
        return
    if state["v"] != 1:
        return
    keep = exp(-age * SECOND / MAX_DECAY_TIME)
    # Keeps at least the weight of one attempt: one attempt is better evidence than the initial assumption.
    part = max(keep, 1 / max(1.0, state["sums"][0]))
    balancer.latency_sums, balancer.latency_sums_at = [total * part for total in state["sums"]], now
    balancer.decay_time = balancer.finish_rate.denominator = state["memory"]
    balancer.finish_rate.numerator = balancer.latency_sums[0]  # both count the same traffic
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
        # The previous process has used the slow start credit.
        upstream.slow_start_credit, upstream.slow_start_updated_at = 0.0, now
