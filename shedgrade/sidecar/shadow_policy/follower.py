"""The follower of a shadow policy: a second balancer that gets the same calls as the real one. No I/O.

`Follower` is a Balancer under the settings of the shadow policy. Its requests only propose a decision. The
real balancer's decision is then applied to them (`apply_decision`), so that both balancers know of the same
transmissions, whatever was proposed.
"""

from shedgrade import load_balancing

OTHER_ZONE, OTHER_UPSTREAM, OTHER_ANSWER, OTHER_RETRY_DELAY = (
    "other zone",
    "other upstream",
    "other answer",
    "other advice",
)
(
    EXHAUSTED_NOT_SENT,
    SENT_NOT_EXHAUSTED,
    HELD_NOT_SENT,
    HELD_NOT_EXHAUSTED,
    EXHAUSTED_NOT_HELD,
    EXTRA_ATTEMPT,
    NO_EXTRA_ATTEMPT,
) = (
    "exhausted instead of sent",
    "sent instead of exhausted",
    "held instead of sent",
    "held instead of exhausted",
    "exhausted instead of held",
    "another transmission",
    "no other transmission",
)
SENT_NOT_HELD = "sent instead of held"


class FollowerRpc(load_balancing.Rpc):
    """A request in the follower, the second balancer. It proposes decisions, which are not carried out.

    A proposal changes only the follower's rotation and random draws.

    is_proposing: true during `propose`, so that nothing is transmitted or finished.
    counted_kinds: kinds of difference that were counted for this request.
    """

    __slots__ = ("is_proposing", "counted_kinds")

    def __init__(self, *args) -> None:
        self.is_proposing = False
        self.counted_kinds = set()
        super().__init__(*args)

    def propose(self, now: int) -> tuple[int, int] | None:
        """Returns what `decide` would return now, without carrying it out.

        That is (index of the upstream, 0) to transmit, (answer code below 0, retry delay) to answer, or None
        to wait.
        """
        self.is_proposing = True
        try:
            return self.decide(now)
        finally:
            self.is_proposing = False

    def transmit(self, now: int, upstream: load_balancing.Upstream, is_retry: bool) -> tuple[int, int]:
        """Registers an attempt, unless the decision is only proposed."""
        return (upstream.index, 0) if self.is_proposing else super().transmit(now, upstream, is_retry)

    def finish(self) -> list[int]:
        """Ends the request, unless the decision is only proposed."""
        return [] if self.is_proposing else super().finish()

    def apply_decision(self, now: int, answer: tuple[int, int] | None) -> None:
        """Applies the real balancer's decision to this request."""
        if answer is None:
            return
        if answer[0] >= 0:
            self.transmit(now, self.balancer.upstreams[answer[0]], self.first_possibly_executed() is not None)
        else:
            self.finish()


class Follower(load_balancing.Balancer):
    """A Balancer under the settings of the shadow policy."""

    rpc_class = FollowerRpc


def difference_kind(rpc: FollowerRpc, actual: tuple | None, proposed: tuple | None) -> str | None:
    """Returns the kind of difference between the real decision and the follower's, None for no difference.

    Time limits are not compared: they follow from the upstream and the method's deadlines.
    """
    sent, proposes_to_send = actual is not None and actual[0] >= 0, proposed is not None and proposed[0] >= 0
    if sent and proposes_to_send:
        if actual[0] == proposed[0]:
            return None
        upstreams = rpc.balancer.upstreams
        return OTHER_UPSTREAM if upstreams[actual[0]].zone == upstreams[proposed[0]].zone else OTHER_ZONE
    if rpc.attempts and (sent or proposes_to_send):
        return NO_EXTRA_ATTEMPT if sent else EXTRA_ATTEMPT
    if sent:
        return HELD_NOT_SENT if proposed is None else EXHAUSTED_NOT_SENT
    if proposes_to_send:
        return SENT_NOT_HELD if actual is None else SENT_NOT_EXHAUSTED
    if actual is None or proposed is None:
        if actual is proposed:
            return None
        return HELD_NOT_EXHAUSTED if proposed is None else EXHAUSTED_NOT_HELD
    if actual[0] != proposed[0]:
        return OTHER_ANSWER
    return OTHER_RETRY_DELAY if actual[1] != proposed[1] else None
