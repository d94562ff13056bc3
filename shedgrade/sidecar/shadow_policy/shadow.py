"""What stands in the decisions' place where watching is on: passes each call on, and tells the follower.

What comes back is always what the decisions said. The follower is asked after them and behind a guard: a
fault of its own is logged once, and it is dropped.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from loguru import logger

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.shadow_policy.follower import Follower, FollowerRpc, differs


class ShadowedRpc:
    """An RPC as the turn holds it; whatever is asked of it beyond the calls below is the decisions' own."""

    __slots__ = ("rpc", "owner", "shadow")

    def __init__(self, owner: "ShadowedBalancer", rpc: object, shadow: FollowerRpc | None) -> None:
        self.owner = owner
        self.rpc = rpc
        self.shadow = shadow

    def __getattr__(self, name: str) -> object:
        return getattr(self.rpc, name)

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides, then compares with what the follower would have done."""
        answer = self.rpc.decide(now)
        if self.shadow is not None:
            self.owner.guarded(self.owner.compare, now, self.shadow, answer)
        return answer

    def attempt_finished(
        self, now: int, tx: int, outcome: int, took: int, settled: bool, fresh: bool = False
    ) -> list[int]:
        """Passed on, then told to the follower."""
        stops = self.rpc.attempt_finished(now, tx, outcome, took, settled, fresh)
        if self.shadow is not None:
            self.owner.guarded(self.shadow.attempt_finished, now, tx, outcome, took, settled, fresh)
        return stops

    def response_started(self, lasting: bool = False) -> None:
        """Passed on, then told to the follower."""
        self.rpc.response_started(lasting)
        if self.shadow is not None:
            self.owner.guarded(self.shadow.response_started, lasting)

    def body_received(self, now: int, give_up_at: int, here: bool, whole: bool) -> int:
        """Passed on, then told to the follower."""
        limit = self.rpc.body_received(now, give_up_at, here, whole)
        if self.shadow is not None:
            self.owner.guarded(self.shadow.body_received, now, give_up_at, here, whole)
        return limit

    def client_disconnected(self, now: int) -> list[int]:
        """Passed on, then told to the follower."""
        stops = self.rpc.client_disconnected(now)
        if self.shadow is not None:
            self.owner.guarded(self.shadow.client_disconnected, now)
        return stops


class ShadowedBalancer:
    """In the place of a Balancer: the same calls, the same answers."""

    def __init__(
        self, inner: object, follower: Callable[[], Follower], overlay: Callable[[dict], dict] = dict
    ) -> None:
        """`inner`: the decisions; `follower`: makes those under the other settings; `overlay`: what those are
        for the platform's settings."""
        self.inner = inner
        self.overlay = overlay
        self.follower: Follower | None = None
        self.counts: Counter[str] = Counter()
        self.rpcs = 0
        self.begin(follower)

    def __getattr__(self, name: str) -> object:
        return getattr(self.inner, name)

    def begin(self, follower: Callable[[], Follower]) -> None:
        """Makes the follower; without one nothing is compared."""
        try:
            self.follower = follower()
        except Exception as failure:
            self.drop(failure)

    def drop(self, failure: Exception) -> None:
        """Goes on without a follower after its fault, which is logged."""
        self.follower = None
        logger.warning("shadow policy failed", error=repr(failure))

    def guarded(self, call: Callable, *args: object) -> object:
        """Guards the decisions: nothing that the follower does wrong reaches them."""
        if self.follower is None:
            return None
        try:
            return call(*args)
        except Exception as failure:
            self.drop(failure)
            return None

    def compare(self, now: int, shadow: FollowerRpc, answer: tuple[int, int] | None) -> None:
        """Counts a difference, then does to the follower what was really decided."""
        kind = differs(shadow, answer, shadow.propose(now))
        self.count(shadow, kind)
        shadow.follow(now, answer)

    def count(self, shadow: FollowerRpc, kind: str | None) -> None:
        """Each kind once an RPC: what is held is asked again and again."""
        if kind is not None and kind not in shadow.counted_kinds:
            shadow.counted_kinds.add(kind)
            self.counts[kind] += 1

    # --- the calls

    def admit(
        self, now: int, method: int, give_up_at: int, retry: bool = False, tag: object = None, tenant: int = 0
    ) -> ShadowedRpc:
        """Passed on; the follower admits the request too."""
        rpc = self.inner.admit(now, method, give_up_at, retry, tag, tenant)
        self.rpcs += 1
        shadow = self.guarded(self.admit_to_follower, now, method, give_up_at, retry, tenant)
        return ShadowedRpc(self, rpc, shadow)

    def admit_to_follower(
        self, now: int, method: int, give_up_at: int, retry: bool, tenant: int
    ) -> FollowerRpc:
        """Admits the request to the follower."""
        return self.follower.admit(now, method, give_up_at, retry, None, tenant)

    def due(self, now: int) -> Iterator[load_balancing.Rpc]:
        """Both go through what is due side by side; what only the follower would ask again is compared with
        nothing."""
        theirs = self.guarded(self.follower.due, now) if self.follower is not None else None
        for rpc in self.inner.due(now):
            self.guarded(self.step, theirs, rpc.tag.rpc.shadow, now)
            yield rpc
        while self.guarded(self.step, theirs, None, now):
            pass

    def step(self, theirs, wanted: FollowerRpc | None, now: int) -> bool:
        """One step of the follower's own; False when it has nothing more, or names the one that is asked."""
        shadow = next(theirs, None)
        if shadow is None or shadow is wanted:
            return False
        if shadow.queue_entry is not None and wanted is None:
            # It goes on naming the first that is held for as long as that has not been answered.
            self.count(shadow, differs(shadow, None, shadow.propose(now)))
            return False
        self.count(shadow, differs(shadow, None, shadow.propose(now)))
        return True

    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        """Passed on, then told to the follower."""
        self.inner.list_changed(now, rows, whole, asked)
        if self.follower is not None:
            self.guarded(self.follower.list_changed, now, rows, whole, asked)

    def list_failed(self, now: int) -> None:
        """Passed on, then told to the follower."""
        self.inner.list_failed(now)
        if self.follower is not None:
            self.guarded(self.follower.list_failed, now)

    def mark_unverified(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Passed on, then told to the follower."""
        self.inner.mark_unverified(now, upstreams, ends, last)
        if self.follower is not None:
            self.guarded(self.follower.mark_unverified, now, upstreams, ends, last)

    def set_withdrawn(self, now: int, upstream: int, out: bool) -> None:
        """Passed on, then told to the follower."""
        self.inner.set_withdrawn(now, upstream, out)
        if self.follower is not None:
            self.guarded(self.follower.set_withdrawn, now, upstream, out)

    def update_settings(self, settings: dict) -> None:
        """Passed on, then told to the follower."""
        self.inner.update_settings(settings)
        if self.follower is not None:
            self.guarded(self.follow_settings, settings)

    def follow_settings(self, settings: dict) -> None:
        """Gives the follower the new settings with its own differences."""
        self.follower.update_settings(self.overlay(settings))

    def set_slow_start_share(self, part: float) -> None:
        """Passed on, then told to the follower."""
        self.inner.set_slow_start_share(part)
        if self.follower is not None:
            self.guarded(self.follower.set_slow_start_share, part)

    def restore(self, now: int, state: dict, age: float) -> None:
        """Passed on, then told to the follower."""
        learned_state.restore(self.inner, now, state, age)
        if self.follower is not None:
            self.guarded(learned_state.restore, self.follower, now, state, age)

    def wants_list(self, now: int) -> bool:
        """Passed on, then told to the follower."""
        if self.follower is not None:
            self.guarded(self.follower.wants_list, now)
        return self.inner.wants_list(now)

    def take_released(self) -> list[int]:
        """Passed on, then told to the follower."""
        if self.follower is not None:
            self.guarded(self.follower.take_released)
        return self.inner.take_released()

    def draw_admission(self, method: int) -> float:
        """Drawn there too, or chance would part the two for good."""
        if self.follower is not None:
            self.guarded(self.follower.draw_admission, method)
        return self.inner.draw_admission(method)

    def uniform(self, low: float, high: float) -> float:
        """Drawn there too, or chance would part the two for good."""
        if self.follower is not None:
            self.guarded(self.follower.uniform, low, high)
        return self.inner.uniform(low, high)

    def line(self) -> str:
        """What was counted, for the log."""
        told = ", ".join(f"{kind} {count}" for kind, count in sorted(self.counts.items()))
        return f"{self.rpcs} RPCs, {told or 'no difference'}{'' if self.follower else ', no longer watched'}"
