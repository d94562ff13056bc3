"""The callers' retry rule: whether and when to send again after a try that was not served. No I/O."""

from random import Random

from shedgrade.lab.scenario import Callers, Method

SERVED, REFUSED, FAILED, LOST, GAVE_UP, UNREACHABLE, BAD = (
    "served",
    "refused",
    "failed",
    "lost",
    "gave_up",
    "unreachable",
    "bad",
)


def may_repeat(method: Method, outcome: str, since_first: float) -> bool:
    """Whether an RPC may be sent again after this outcome, `since_first` s after its first try.

    A refusal or an unreachable sidecar proves that nothing ran. After any other failure the method must allow
    repeats.
    """
    if outcome in (REFUSED, UNREACHABLE):
        return True
    if outcome in (SERVED, BAD):
        return False
    if method.repeats == "retriable":
        return True
    return method.repeats == "deduped" and method.group == "all" and since_first <= method.window_ms / 1000


def retry_delay(
    callers: Callers,
    method: Method,
    outcome: str,
    tries: int,
    since_first: float,
    retry_after: float,
    rng: Random,
) -> float | None:
    """Seconds until the next try, or None for no further try.

    tries: tries so far
    since_first: seconds since the first try
    retry_after: seconds from the refusal's Retry-After header, 0 without one
    """
    if tries > callers.retries or not may_repeat(method, outcome, since_first):
        return None
    delay = 0.0
    if callers.backoff == "fixed":
        delay = callers.backoff_ms / 1000
    elif callers.backoff == "exponential":
        delay = callers.backoff_ms / 1000 * 2 ** (tries - 1) * rng.uniform(0.5, 1.0)
    if callers.honours_retry_after and outcome == REFUSED:
        delay = max(delay, retry_after)
    return delay
