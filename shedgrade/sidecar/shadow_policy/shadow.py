"""Wrapper that takes the balancer's place where a shadow policy is on.

It passes each call to the balancer and to the follower: a second balancer under the settings of the shadow
policy (`follower.py`), whose decisions are only compared with the real ones. Results are always those of the
balancer. The follower is isolated: at its first error, the error is logged and the follower is dropped.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from loguru import logger

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.shadow_policy.follower import Follower, FollowerRpc, difference_kind


class ShadowedRpc:
    """The dispatcher's handle of one request; other attributes are those of the balancer's handle.

    rpc: the balancer's handle.
    owner: the wrapper of the balancer.
    shadow: the follower's handle; None if the follower was dropped before this request.
    """

    __slots__ = ("rpc", "owner", "shadow")

    def __init__(self, owner: "ShadowedBalancer", rpc: object, shadow: FollowerRpc | None) -> None:
        self.owner = owner
        self.rpc = rpc
        self.shadow = shadow

    def __getattr__(self, name: str) -> object:
        return getattr(self.rpc, name)

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides, then compares with the follower's decision."""
        answer = self.rpc.decide(now)
        if self.shadow is not None:
            self.owner.call_follower(self.owner.compare, now, self.shadow, answer)
        return answer

    def attempt_finished(
        self,
        now: int,
        attempt: int,
        outcome: int,
        duration: int,
        answered: bool,
        first_on_connection: bool = False,
    ) -> list[int]:
        """Passes the outcome of an attempt to the balancer and the follower."""
        stops = self.rpc.attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)
        if self.shadow is not None:
            self.owner.call_follower(
                self.shadow.attempt_finished, now, attempt, outcome, duration, answered, first_on_connection
            )
        return stops

    def response_started(self, long_lived: bool = False) -> None:
        """Passes the start of the response to the balancer and the follower."""
        self.rpc.response_started(long_lived)
        if self.shadow is not None:
            self.owner.call_follower(self.shadow.response_started, long_lived)

    def body_received(self, now: int, deadline: int, buffered: bool, complete: bool) -> int:
        """Passes the progress of a request's body to the balancer and the follower."""
        limit = self.rpc.body_received(now, deadline, buffered, complete)
        if self.shadow is not None:
            self.owner.call_follower(self.shadow.body_received, now, deadline, buffered, complete)
        return limit

    def client_disconnected(self, now: int) -> list[int]:
        """Passes the client's disconnect to the balancer and the follower."""
        stops = self.rpc.client_disconnected(now)
        if self.shadow is not None:
            self.owner.call_follower(self.shadow.client_disconnected, now)
        return stops


class ShadowedBalancer:
    """Takes the place of a Balancer: the same calls and results; compares decisions with the follower's."""

    def __init__(
        self, inner: object, follower: Callable[[], Follower], overlay: Callable[[dict], dict] = dict
    ) -> None:
        """Creates the follower.

        inner: the balancer.
        follower: creates the follower, under the settings of the shadow policy.
        overlay: returns the follower's settings for new settings of the balancer.
        """
        self.inner = inner
        self.overlay = overlay
        self.follower: Follower | None = None
        self.counts: Counter[str] = Counter()
        self.rpc_count = 0
        self.create_follower(follower)

    def __getattr__(self, name: str) -> object:
        return getattr(self.inner, name)

    def create_follower(self, follower: Callable[[], Follower]) -> None:
        """Creates the follower. If that fails, nothing is compared."""
        try:
            self.follower = follower()
        except Exception as error:
            self.drop_follower(error)

    def drop_follower(self, error: Exception) -> None:
        """Logs the follower's error, and goes on without a follower."""
        self.follower = None
        logger.warning("shadow policy failed", error=repr(error))

    def call_follower(self, call: Callable, *args: object) -> object:
        """Calls a method of the follower; catches its errors, and drops the follower at the first one."""
        if self.follower is None:
            return None
        try:
            return call(*args)
        except Exception as error:
            self.drop_follower(error)
            return None

    def compare(self, now: int, shadow: FollowerRpc, answer: tuple[int, int] | None) -> None:
        """Counts a difference from the follower's proposal, then applies the real decision to it."""
        kind = difference_kind(shadow, answer, shadow.propose(now))
        self.count_difference(shadow, kind)
        shadow.apply_decision(now, answer)

    def count_difference(self, shadow: FollowerRpc, kind: str | None) -> None:
        """Counts a kind of difference once per request, as a queued request is decided on again and again."""
        if kind is not None and kind not in shadow.counted_kinds:
            shadow.counted_kinds.add(kind)
            self.counts[kind] += 1

    # --- calls of the balancer

    def admit(
        self, now: int, method: int, deadline: int, retry: bool = False, tag: object = None, tenant: int = 0
    ) -> ShadowedRpc:
        """Passes the request to the balancer and the follower."""
        rpc = self.inner.admit(now, method, deadline, retry, tag, tenant)
        self.rpc_count += 1
        shadow = self.call_follower(self.admit_to_follower, now, method, deadline, retry, tenant)
        return ShadowedRpc(self, rpc, shadow)

    def admit_to_follower(
        self, now: int, method: int, deadline: int, retry: bool, tenant: int
    ) -> FollowerRpc:
        """Admits the request in the follower."""
        return self.follower.admit(now, method, deadline, retry, None, tenant)

    def due(self, now: int) -> Iterator[load_balancing.Rpc]:
        """Yields the balancer's requests to decide on again, and advances the follower's in step.

        The follower's proposal for a request that only the follower yields is compared with no decision.
        """
        follower_due = self.call_follower(self.follower.due, now) if self.follower is not None else None
        for rpc in self.inner.due(now):
            self.call_follower(self.advance_follower, follower_due, rpc.tag.rpc.shadow, now)
            yield rpc
        while self.call_follower(self.advance_follower, follower_due, None, now):
            pass

    def advance_follower(self, follower_due, expected: FollowerRpc | None, now: int) -> bool:
        """Takes the follower's next request; returns False if there is none or it is the expected one."""
        shadow = next(follower_due, None)
        if shadow is None or shadow is expected:
            return False
        if shadow.queue_entry is not None and expected is None:
            # The follower yields its first queued request again until that one is answered.
            self.count_difference(shadow, difference_kind(shadow, None, shadow.propose(now)))
            return False
        self.count_difference(shadow, difference_kind(shadow, None, shadow.propose(now)))
        return True

    def list_changed(self, now: int, rows: list, complete: bool, requested: bool) -> None:
        """Passes rows of a changed endpoint list to the balancer and the follower."""
        self.inner.list_changed(now, rows, complete, requested)
        if self.follower is not None:
            self.call_follower(self.follower.list_changed, now, rows, complete, requested)

    def list_failed(self, now: int) -> None:
        """Passes the failure of a list request to the balancer and the follower."""
        self.inner.list_failed(now)
        if self.follower is not None:
            self.call_follower(self.follower.list_failed, now)

    def mark_unverified(
        self, now: int, upstreams: list[int], required_successes: int, last_resort: bool
    ) -> None:
        """Passes to the balancer and the follower which upstreams are unverified."""
        self.inner.mark_unverified(now, upstreams, required_successes, last_resort)
        if self.follower is not None:
            self.call_follower(self.follower.mark_unverified, now, upstreams, required_successes, last_resort)

    def set_withdrawn(self, now: int, index: int, withdrawn: bool) -> None:
        """Passes to the balancer and the follower that operators withdrew or reinstated an upstream."""
        self.inner.set_withdrawn(now, index, withdrawn)
        if self.follower is not None:
            self.call_follower(self.follower.set_withdrawn, now, index, withdrawn)

    def update_settings(self, settings: dict) -> None:
        """Passes the new settings on; the follower gets them with the values of the shadow policy."""
        self.inner.update_settings(settings)
        if self.follower is not None:
            self.call_follower(self.update_follower_settings, settings)

    def update_follower_settings(self, settings: dict) -> None:
        """Gives the follower the new settings, with the values of the shadow policy in place of theirs."""
        self.follower.update_settings(self.overlay(settings))

    def set_slow_start_share(self, part: float) -> None:
        """Passes the new share of the slow start rate to the balancer and the follower."""
        self.inner.set_slow_start_share(part)
        if self.follower is not None:
            self.call_follower(self.follower.set_slow_start_share, part)

    def restore(self, now: int, state: dict, age: float) -> None:
        """Restores the learned state in the balancer and the follower."""
        learned_state.restore(self.inner, now, state, age)
        if self.follower is not None:
            self.call_follower(learned_state.restore, self.follower, now, state, age)

    def wants_list(self, now: int) -> bool:
        """Asks both whether they want an endpoint list now; returns the balancer's answer."""
        if self.follower is not None:
            self.call_follower(self.follower.wants_list, now)
        return self.inner.wants_list(now)

    def take_released(self) -> list[int]:
        """Takes the released upstreams from both; returns those of the balancer."""
        if self.follower is not None:
            self.call_follower(self.follower.take_released)
        return self.inner.take_released()

    def draw_admission(self, method: int) -> float:
        """Draws in the balancer and the follower, which keeps their random sequences the same."""
        if self.follower is not None:
            self.call_follower(self.follower.draw_admission, method)
        return self.inner.draw_admission(method)

    def uniform(self, low: float, high: float) -> float:
        """Draws in the balancer and the follower, which keeps their random sequences the same."""
        if self.follower is not None:
            self.call_follower(self.follower.uniform, low, high)
        return self.inner.uniform(low, high)

    def summary(self) -> str:
        """Returns the number of requests and of differences of each kind, as text for the log."""
        counts = ", ".join(f"{kind} {count}" for kind, count in sorted(self.counts.items()))
        return (
            f"{self.rpc_count} RPCs, {counts or 'no difference'}"
            f"{'' if self.follower else ', no longer watched'}"
        )
