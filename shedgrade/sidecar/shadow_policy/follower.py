"""The follower: a second balancer that receives the same events, and proposes its own decisions. No I/O.

`Follower` is a Balancer under other settings. Its requests only propose a decision; the real one is then
applied to them too (`follow`), so that both balancers know of the same transmissions, whatever was proposed.
"""

from shedgrade import load_balancing

OTHER_ZONE, OTHER_UPSTREAM, OTHER_ANSWER, OTHER_ADVICE = (
    "other zone",
    "other upstream",
    "other answer",
    "other advice",
)
NOT_SENT, SENT, HELD, HELD_NOT_FINAL, NOT_HELD, FURTHER, NO_FURTHER = (
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
    """A request that proposes decisions. A proposal changes only the follower's rotation and random draws.

    is_proposing: a decision is only proposed, so nothing is transmitted or finished.
    counted_kinds: kinds of difference that were counted for this request.
    """

    __slots__ = ("is_proposing", "counted_kinds")

    def __init__(self, *args) -> None:
        self.is_proposing = False
        self.counted_kinds = set()
        super().__init__(*args)

    def propose(self, now: int) -> tuple[int, int] | None:
        """Returns what it would decide now, without doing it."""
        self.is_proposing = True
        try:
            return self.decide(now)
        finally:
            self.is_proposing = False

    def transmit(self, now: int, up: load_balancing.Upstream, repeat: bool) -> tuple[int, int]:
        """Registers an attempt, except for a proposal."""
        return (up.index, 0) if self.is_proposing else super().transmit(now, up, repeat)

    def finish(self) -> list[int]:
        """Ends the request, except for a proposal."""
        return [] if self.is_proposing else super().finish()

    def follow(self, now: int, answer: tuple[int, int] | None) -> None:
        """Applies the real decision."""
        if answer is None:
            return
        if answer[0] >= 0:
            self.transmit(now, self.balancer.upstreams[answer[0]], self.first_possibly_executed() is not None)
        else:
            self.finish()


class Follower(load_balancing.Balancer):
    """A Balancer under the other settings."""

    rpc_class = FollowerRpc


def differs(rpc: FollowerRpc, real: tuple | None, there: tuple | None) -> str | None:
    """Returns the kind of difference between the real decision and the follower's, None for no difference.

    Time limits are not compared: they follow from the upstream and the method's deadlines.
    """
    sent, would = real is not None and real[0] >= 0, there is not None and there[0] >= 0
    if sent and would:
        if real[0] == there[0]:
            return None
        ups = rpc.balancer.upstreams
        return OTHER_UPSTREAM if ups[real[0]].zone == ups[there[0]].zone else OTHER_ZONE
    if rpc.attempts and (sent or would):
        return NO_FURTHER if sent else FURTHER
    if sent:
        return HELD if there is None else NOT_SENT
    if would:
        return SENT_NOT_HELD if real is None else SENT
    if real is None or there is None:
        if real is there:
            return None
        return HELD_NOT_FINAL if there is None else NOT_HELD
    if real[0] != there[0]:
        return OTHER_ANSWER
    return OTHER_ADVICE if real[1] != there[1] else None
