"""A second set of decisions that is told what really happened, and asked what it would have done. No I/O.

`Follower` is the module's own Balancer. Its RPCs only propose: what is really done is then done to them too
(`follow`), so that both know of the same transmissions, whatever was proposed.
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
    """Proposes, and changes nothing by it but its own rotation and luck."""

    __slots__ = ("is_proposing", "counted_kinds")

    def __init__(self, *args) -> None:
        self.is_proposing = False
        self.counted_kinds = set()
        super().__init__(*args)

    def propose(self, now: int) -> tuple[int, int] | None:
        """What it would decide now; nothing is done."""
        self.is_proposing = True
        try:
            return self.decide(now)
        finally:
            self.is_proposing = False

    def transmit(self, now: int, up: load_balancing.Upstream, repeat: bool) -> tuple[int, int]:
        """An attempt that is only proposed is not registered."""
        return (up.index, 0) if self.is_proposing else super().transmit(now, up, repeat)

    def finish(self) -> list[int]:
        """A proposal ends nothing."""
        return [] if self.is_proposing else super().finish()

    def follow(self, now: int, answer: tuple[int, int] | None) -> None:
        """What was really decided."""
        if answer is None:
            return
        if answer[0] >= 0:
            self.transmit(now, self.balancer.upstreams[answer[0]], self.first_possibly_executed() is not None)
        else:
            self.finish()


class Follower(load_balancing.Balancer):
    """The decisions under the other settings."""

    rpc_class = FollowerRpc


def differs(rpc: FollowerRpc, real: tuple | None, there: tuple | None) -> str | None:
    """The kind of difference between what was decided and what would have been, or None.

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
