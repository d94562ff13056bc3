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
    told: History, key: bytes, zones: dict[str, str], bounds: dict[str, float], *, cold_rate: float = 0.0
) -> list[Breach]:
    """Returns all breaches.

    key: key of the seals
    zones: the region of each zone
    bounds: the time bounds and limits of the rules, by their names in the settings
    cold_rate: requests a second that a cold upstream can serve; 0 if no upstream is cold
    """
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in told.runs:
        runs[run.attempt].append(run)
    found: list[Breach] = [Breach("MIXED", text) for text in told.stray]
    for one in told.tries.values():
        found += answer_breaches(one, runs[one.attempt], key)
        found += repeat_breaches(one, runs[one.attempt])
    found += arrival_breaches(told, zones)
    found += redirection_breaches(told)
    found += evacuation_breaches(told, bounds)
    found += drain_breaches(told, bounds)
    found += retry_budget_breaches(told, bounds)
    found += cold_start_breaches(told, bounds, cold_rate)
    found += lost_answer_breaches(told, runs)
    configurations = Configurations(told.orders)
    found += orders.acceptance_breaches(told)
    found += orders.acknowledgement_breaches(told, bounds)
    found += orders.routing_breaches(told, configurations, bounds)
    found += orders.durability_breaches(told)
    return found


# --- answers


def answer_breaches(one: Try, runs: list[Run], key: bytes) -> Iterator[Breach]:
    """A successful answer must be an upstream's, complete and in order, and belong to this request."""
    name = f"{one.kind.name} {one.attempt}"
    if one.unexpected_bytes:
        yield Breach("MIXED", f"{name}: more than its answer came")
    yield from event_breaches(one, name)
    if not one.success:
        return
    if one.echoed_attempt and one.echoed_attempt != one.attempt:
        yield Breach("MIXED", f"{name}: the answer is {one.echoed_attempt}'s")
    if one.encoding:
        yield Breach("MIXED", f"{name}: the answer is encoded")
    by = content.sealed_by(key, one.seal, one.attempt, one.digest)
    if by is None:
        yield Breach("MIXED", f"{name}: a success with the seal {one.seal!r}")
    elif not any(run.instance == by and run.ran_at is not None for run in runs):
        yield Breach("MIXED", f"{name}: sealed by {by}, which did not run it")
    if one.kind.streams:
        last = one.events[-1][0] if one.events else one.last_event_before
        if last != one.kind.events:
            yield Breach("ORDER", f"{name}: ends as complete at event {last} of {one.kind.events}")
    elif one.body != content.body(one.digest, one.kind.answer_bytes):
        yield Breach("MIXED", f"{name}: {len(one.body)} bytes that are not the upstream's answer")


def event_breaches(one: Try, name: str) -> Iterator[Breach]:
    expected = one.last_event_before + 1
    for number, mark, _ in one.events:
        if number != expected:
            yield Breach("ORDER", f"{name}: event {number} where {expected} was due")
            return
        if mark != content.mark(one.digest, number):
            yield Breach("MIXED", f"{name}: event {number} is not this request's")
            return
        expected += 1


def repeat_breaches(one: Try, runs: list[Run]) -> Iterator[Breach]:
    """A request that may not be repeated runs at most once, and not at all if its answer promised that."""
    ran = [run.instance for run in runs if run.ran_at is not None]
    if one.kind.idempotent:
        return
    if len(ran) > 1:
        yield Breach("TWICE", f"{one.kind.name} {one.attempt} ran at {', '.join(ran)}")
    if ran and one.whole and one.status in NOT_EXECUTED_STATUSES:
        yield Breach("REFUSED", f"{one.kind.name} {one.attempt} ran, and was answered {one.status}")


def lost_answer_breaches(told: History, runs: dict[str, list[Run]]) -> Iterator[Breach]:
    """Without a disturbance, a request that was passed on gets an answer unless its upstream broke off."""
    for one in told.tries.values():
        passed = runs[one.attempt]
        broke = any(run.outcome in ("cut", "late") for run in passed)
        if (
            one.failure == history.CLOSED
            and passed
            and not broke
            and told.is_undisturbed(one.sent_at, one.ended_at)
        ):
            yield Breach("LOST", f"{one.kind.name} {one.attempt} at {one.sidecar} ends without an answer")


# --- what arrives at upstreams


def arrival_breaches(told: History, zones: dict[str, str]) -> Iterator[Breach]:
    for run in told.runs:
        one = told.tries.get(run.attempt)
        if one is None:
            yield Breach("UNASKED", f"{run.instance} was sent {run.attempt!r}, which no client sent")
            continue
        if (run.method, run.target, run.asked) != ("POST", one.target, one.digest):
            yield Breach("UNASKED", f"{run.instance} was sent {run.attempt} changed")
        homes = one.kind.home_regions
        if homes and zones[run.zone] not in homes:
            yield Breach("HOME", f"{one.kind.name} {run.attempt} arrived in {zones[run.zone]}, not at home")


def redirection_breaches(told: History) -> Iterator[Breach]:
    """The directory must lead clients to home regions of the request or to their own region."""
    bound = [one for one in told.tries.values() if one.kind.home_regions and one.sidecar in told.edge_regions]
    abroad = [
        one for one in bound if told.edge_regions[one.sidecar] not in (*one.kind.home_regions, one.region)
    ]
    if len(abroad) > MAX_LED_ABROAD_SHARE * len(bound):
        yield Breach(
            "HOME",
            f"{len(abroad)} of {len(bound)} requests with homes were led to other regions, "
            f"the first {abroad[0].attempt} to {abroad[0].sidecar}",
        )


def evacuation_breaches(told: History, bounds: dict[str, float]) -> Iterator[Breach]:
    spans = []
    for order in told.orders:
        if order.verb == "evacuate" and order.accepted:
            returns = [
                other.sent_at
                for other in told.orders
                if other.verb == "return" and (other.zone == order.zone and other.sent_at > order.sent_at)
            ]
            spans.append(
                (
                    order.zone,
                    order.ended_at + bounds["evacuationMs"] / 1000,
                    min(returns, default=float("inf")),
                )
            )
    contact = bounds["contactMs"] / 1000
    for run in told.runs:
        for zone, begins, ends in spans:
            if (
                run.zone == zone
                and begins < run.at < ends
                and not run.outcome.startswith("421")
                and (told.is_undisturbed(run.at - contact, run.at))
            ):
                yield Breach("EVAC", f"{run.attempt} arrived in {zone} {run.at - begins:.2f} s late")


def drain_breaches(told: History, bounds: dict[str, float]) -> Iterator[Breach]:
    contact = bounds["contactMs"] / 1000
    for run in told.runs:
        shown = told.drained.get(run.instance)
        late = None if shown is None else run.at - shown - bounds["drainMs"] / 1000
        if (
            late is not None
            and late > 0
            and not run.outcome.startswith("421")
            and (told.is_undisturbed(run.at - contact, run.at))
        ):
            yield Breach("DRAIN", f"{run.attempt} arrived at {run.instance} {late:.2f} s late")


def retry_budget_breaches(told: History, bounds: dict[str, float]) -> Iterator[Breach]:
    """Limits arrivals beyond the first of each try, in every window, to the retry budget of all sidecars."""
    window, ratio, slack = bounds["retryWindowS"], bounds["retryBudgetRatio"], bounds["retrySlack"]
    seen: Counter = Counter()
    repeats: dict[str, list[float]] = defaultdict(list)
    for run in sorted(told.runs, key=lambda run: run.at):
        seen[run.attempt] += 1
        if seen[run.attempt] > 1:
            repeats[run.service].append(run.at)
    for service, times in repeats.items():
        sent = [one.sent_at for one in told.tries.values() if one.kind.service == service]
        for end in times:
            count = sum(end - window < at <= end for at in times)
            most = max(
                sum(end - back - window < at <= end - back for at in sent) for back in (0, window / 2, window)
            )
            if count > ratio * most + slack:
                yield Breach("BUDGET", f"{count} repeats at {service} within {window} s, for {most} requests")
                break


def cold_start_breaches(told: History, bounds: dict[str, float], rate: float) -> Iterator[Breach]:
    if not rate:
        return
    most = rate * bounds["coldExcess"] + bounds["coldSlack"]
    times: dict[str, list[float]] = defaultdict(list)
    for run in told.runs:
        if run.cold and not run.outcome.startswith("421"):
            times[run.instance].append(run.at)
    for instance, came in times.items():
        worst = max(sum(at - 1.0 < other <= at for other in came) for at in came)
        if worst > most:
            yield Breach("FAILBACK", f"{instance} was sent {worst} in a second while cold, not {most:g}")


def verdict(found: list[Breach]) -> str:
    """Returns one line for each rule that was broken."""
    counts = Counter(breach.rule for breach in found)
    return (
        "\n".join(
            f"{rule} broken {count} times: {next(b.text for b in found if b.rule == rule)}"
            for rule, count in sorted(counts.items())
        )
        or "no rule was broken"
    )
