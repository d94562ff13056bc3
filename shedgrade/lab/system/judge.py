"""Checks a history against the operators' RULES, using only what clients, upstreams, operators and the
platform saw. Rules with time bounds are checked only where no disturbance was near.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from shedgrade.engines import content
from shedgrade.engines.records import Run
from shedgrade.lab.system import history, orders
from shedgrade.lab.system.history import Breach, History, Try
from shedgrade.lab.system.orders import Configurations

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # promise that the request did not run
# Greatest share of requests with homes that the directory may lead to other regions.
MAX_LED_ABROAD_SHARE = 0.05


def judge(
    observed: History, key: bytes, zones: dict[str, str], bounds: dict[str, float], *, cold_rate: float = 0.0
) -> list[Breach]:
    """Returns all breaches.

    key: key of the seals
    zones: the region of each zone
    bounds: the time bounds and limits of the rules, by their names in the settings
    cold_rate: requests a second that a cold upstream can serve; 0 if no upstream is cold
    """
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in observed.runs:
        runs[run.attempt].append(run)
    breaches: list[Breach] = [Breach("MIXED", text) for text in observed.stray]
    for client_try in observed.tries.values():
        breaches += answer_breaches(client_try, runs[client_try.attempt], key)
        breaches += repeat_breaches(client_try, runs[client_try.attempt])
    breaches += arrival_breaches(observed, zones)
    breaches += redirection_breaches(observed)
    breaches += evacuation_breaches(observed, bounds)
    breaches += drain_breaches(observed, bounds)
    breaches += retry_budget_breaches(observed, bounds)
    breaches += cold_start_breaches(observed, bounds, cold_rate)
    breaches += lost_answer_breaches(observed, runs)
    configurations = Configurations(observed.orders)
    breaches += orders.acceptance_breaches(observed)
    breaches += orders.acknowledgement_breaches(observed, bounds)
    breaches += orders.routing_breaches(observed, configurations, bounds)
    breaches += orders.durability_breaches(observed)
    return breaches


# --- answers


def answer_breaches(client_try: Try, runs: list[Run], key: bytes) -> Iterator[Breach]:
    """A successful answer must be an upstream's, complete and in order, and belong to this request."""
    name = f"{client_try.kind.name} {client_try.attempt}"
    if client_try.unexpected_bytes:
        yield Breach("MIXED", f"{name}: more than its answer came")
    yield from event_breaches(client_try, name)
    if not client_try.success:
        return
    if client_try.echoed_attempt and client_try.echoed_attempt != client_try.attempt:
        yield Breach("MIXED", f"{name}: the answer is {client_try.echoed_attempt}'s")
    if client_try.encoding:
        yield Breach("MIXED", f"{name}: the answer is encoded")
    sealed_by = content.sealed_by(key, client_try.seal, client_try.attempt, client_try.digest)
    if sealed_by is None:
        yield Breach("MIXED", f"{name}: a success with the seal {client_try.seal!r}")
    elif not any(run.instance == sealed_by and run.ran_at is not None for run in runs):
        yield Breach("MIXED", f"{name}: sealed by {sealed_by}, which did not run it")
    if client_try.kind.streams:
        last = client_try.events[-1][0] if client_try.events else client_try.last_event_before
        if last != client_try.kind.events:
            yield Breach("ORDER", f"{name}: ends as complete at event {last} of {client_try.kind.events}")
    elif client_try.body != content.body(client_try.digest, client_try.kind.answer_bytes):
        yield Breach("MIXED", f"{name}: {len(client_try.body)} bytes that are not the upstream's answer")


def event_breaches(client_try: Try, name: str) -> Iterator[Breach]:
    expected = client_try.last_event_before + 1
    for number, mark, _ in client_try.events:
        if number != expected:
            yield Breach("ORDER", f"{name}: event {number} where {expected} was due")
            return
        if mark != content.event_text(client_try.digest, number):
            yield Breach("MIXED", f"{name}: event {number} is not this request's")
            return
        expected += 1


def repeat_breaches(client_try: Try, runs: list[Run]) -> Iterator[Breach]:
    """A request that may not be repeated runs at most once, and not at all if its answer promised that."""
    ran_at_instances = [run.instance for run in runs if run.ran_at is not None]
    if client_try.kind.idempotent:
        return
    if len(ran_at_instances) > 1:
        yield Breach(
            "TWICE", f"{client_try.kind.name} {client_try.attempt} ran at {', '.join(ran_at_instances)}"
        )
    if ran_at_instances and client_try.whole and client_try.status in NOT_EXECUTED_STATUSES:
        yield Breach(
            "REFUSED",
            f"{client_try.kind.name} {client_try.attempt} ran, and was answered {client_try.status}",
        )


def lost_answer_breaches(observed: History, runs: dict[str, list[Run]]) -> Iterator[Breach]:
    """Without a disturbance, a request that was passed on gets an answer unless its upstream broke off."""
    for client_try in observed.tries.values():
        runs_of_try = runs[client_try.attempt]
        broken_off = any(run.outcome in ("cut", "late") for run in runs_of_try)
        if (
            client_try.failure == history.CLOSED
            and runs_of_try
            and not broken_off
            and observed.is_undisturbed(client_try.sent_at, client_try.ended_at)
        ):
            yield Breach(
                "LOST",
                f"{client_try.kind.name} {client_try.attempt} at {client_try.sidecar} ends without an answer",
            )


# --- what arrives at upstreams


def arrival_breaches(observed: History, zones: dict[str, str]) -> Iterator[Breach]:
    for run in observed.runs:
        client_try = observed.tries.get(run.attempt)
        if client_try is None:
            yield Breach("UNASKED", f"{run.instance} was sent {run.attempt!r}, which no client sent")
            continue
        if (run.method, run.target, run.asked) != ("POST", client_try.target, client_try.digest):
            yield Breach("UNASKED", f"{run.instance} was sent {run.attempt} changed")
        home_regions = client_try.kind.home_regions
        if home_regions and zones[run.zone] not in home_regions:
            yield Breach(
                "HOME", f"{client_try.kind.name} {run.attempt} arrived in {zones[run.zone]}, not at home"
            )


def redirection_breaches(observed: History) -> Iterator[Breach]:
    """The directory must lead clients to home regions of the request or to their own region."""
    restricted = [
        client_try
        for client_try in observed.tries.values()
        if client_try.kind.home_regions and client_try.sidecar in observed.edge_regions
    ]
    abroad = [
        client_try
        for client_try in restricted
        if observed.edge_regions[client_try.sidecar] not in (*client_try.kind.home_regions, client_try.region)
    ]
    if len(abroad) > MAX_LED_ABROAD_SHARE * len(restricted):
        yield Breach(
            "HOME",
            f"{len(abroad)} of {len(restricted)} requests with homes were led to other regions, "
            f"the first {abroad[0].attempt} to {abroad[0].sidecar}",
        )


def evacuation_breaches(observed: History, bounds: dict[str, float]) -> Iterator[Breach]:
    evacuations = []
    for order in observed.orders:
        if order.verb == "evacuate" and order.accepted:
            returns = [
                other.sent_at
                for other in observed.orders
                if other.verb == "return" and (other.zone == order.zone and other.sent_at > order.sent_at)
            ]
            evacuations.append(
                (
                    order.zone,
                    order.ended_at + bounds["evacuationMs"] / 1000,
                    min(returns, default=float("inf")),
                )
            )
    contact = bounds["contactMs"] / 1000
    for run in observed.runs:
        for zone, begins, ends in evacuations:
            if (
                run.zone == zone
                and begins < run.at < ends
                and not run.outcome.startswith("421")
                and (observed.is_undisturbed(run.at - contact, run.at))
            ):
                yield Breach("EVAC", f"{run.attempt} arrived in {zone} {run.at - begins:.2f} s late")


def drain_breaches(observed: History, bounds: dict[str, float]) -> Iterator[Breach]:
    contact = bounds["contactMs"] / 1000
    for run in observed.runs:
        drained_at = observed.drained.get(run.instance)
        lateness = None if drained_at is None else run.at - drained_at - bounds["drainMs"] / 1000
        if (
            lateness is not None
            and lateness > 0
            and not run.outcome.startswith("421")
            and (observed.is_undisturbed(run.at - contact, run.at))
        ):
            yield Breach("DRAIN", f"{run.attempt} arrived at {run.instance} {lateness:.2f} s late")


def retry_budget_breaches(observed: History, bounds: dict[str, float]) -> Iterator[Breach]:
    """Limits arrivals beyond the first of each try, in every window, to the retry budget of all sidecars."""
    window, ratio, slack = bounds["retryWindowS"], bounds["retryBudgetRatio"], bounds["retrySlack"]
    arrivals: Counter = Counter()
    repeats: dict[str, list[float]] = defaultdict(list)
    for run in sorted(observed.runs, key=lambda run: run.at):
        arrivals[run.attempt] += 1
        if arrivals[run.attempt] > 1:
            repeats[run.service].append(run.at)
    for service, times in repeats.items():
        request_times = [
            client_try.sent_at for client_try in observed.tries.values() if client_try.kind.service == service
        ]
        for end in times:
            count = sum(end - window < at <= end for at in times)
            requests = max(
                sum(end - back - window < at <= end - back for at in request_times)
                for back in (0, window / 2, window)
            )
            if count > ratio * requests + slack:
                yield Breach(
                    "BUDGET", f"{count} repeats at {service} within {window} s, for {requests} requests"
                )
                break


def cold_start_breaches(observed: History, bounds: dict[str, float], rate: float) -> Iterator[Breach]:
    if not rate:
        return
    limit = rate * bounds["coldExcess"] + bounds["coldSlack"]
    times_by_instance: dict[str, list[float]] = defaultdict(list)
    for run in observed.runs:
        if run.cold and not run.outcome.startswith("421"):
            times_by_instance[run.instance].append(run.at)
    for instance, arrivals in times_by_instance.items():
        highest = max(sum(at - 1.0 < other <= at for other in arrivals) for at in arrivals)
        if highest > limit:
            yield Breach("FAILBACK", f"{instance} was sent {highest} in a second while cold, not {limit:g}")


def verdict(breaches: list[Breach]) -> str:
    """Returns one line for each rule that was broken."""
    counts = Counter(breach.rule for breach in breaches)
    return (
        "\n".join(
            f"{rule} broken {count} times: {next(b.text for b in breaches if b.rule == rule)}"
            for rule, count in sorted(counts.items())
        )
        or "no rule was broken"
    )
