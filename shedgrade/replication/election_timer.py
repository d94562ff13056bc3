"""Election time-outs of members that hear no primary, staggered so that elections rarely collide."""

from __future__ import annotations

from random import Random

from shedgrade.replication.replica_state import ReplicaState
from shedgrade.replication.timing import Timing

NEVER = float("-inf")
FOUNDING_STAGGER_S = 0.4  # between the turns of two successive founders
TURN_JITTER_DIVISOR = 5  # the random delay is at most 1/5 of a turn
MIN_PRE_VOTE_RETRY_JITTER = 0.2  # minimum delay between two pre-votes, as a fraction of `primary_timeout_s`


class ElectionTimer:
    """The election time-out of one member. Times are seconds of the steady clock.

    `election_at`: the member starts no pre-vote before. Has no meaning while it is primary or candidate.
    `last_heard_at`: when a primary was last heard or the last attempt ended; start of the time-out.
    `defer_to_candidate_until`: no other candidate is granted a pre-vote before, so that the one that was
    given a promise can finish.
    """

    def __init__(
        self, now: float, replica: ReplicaState, address: str, timing: Timing, random: Random
    ) -> None:
        """`replica`: state of the member, `address`: its link address, `now`: its start."""
        self.replica = replica
        self.address = address
        self.timing = timing
        self.random = random
        self.election_at = now
        self.last_heard_at = now
        self.defer_to_candidate_until = NEVER

    def schedule(self, now: float, is_leaving: bool) -> None:
        """Sets `election_at` to this member's turn after the time-out. A leaving member comes last."""
        replica = self.replica
        turn = self.rank(replica.incarnation, self.address)[0] + self.random.random() / TURN_JITTER_DIVISOR
        if is_leaving:
            turn += len(replica.epoch_config.members)  # campaigns only if no other member does
        if not replica.epoch_config.number:
            self.election_at = now + FOUNDING_STAGGER_S * turn
            return
        timeout_at = self.last_heard_at + self.timing.primary_timeout_s
        self.election_at = timeout_at + turn * self.timing.election_stagger_s

    def schedule_pre_vote_retry(self, now: float) -> None:
        """Sets `election_at` for the next pre-vote in case the one that begins now fails, with jitter."""
        jitter = MIN_PRE_VOTE_RETRY_JITTER + self.random.random()
        self.election_at = now + 2 * self.timing.resend_interval_s + jitter * self.timing.primary_timeout_s

    def schedule_after_step_down(self, now: float) -> None:
        """Delays this member's next election once its attempt or epoch has ended: others go first."""
        self.last_heard_at = now
        self.election_at = now + self.timing.primary_timeout_s * (0.5 + self.random.random())

    def note_heard(self, now: float) -> None:
        """Restarts the time-out: a primary was heard, or a candidate installs an epoch here."""
        self.last_heard_at = now

    def defer_to_candidate(self, now: float) -> None:
        """Lets a candidate finish: no other one is granted a pre-vote for `candidate_grace_s`."""
        self.defer_to_candidate_until = now + self.timing.candidate_grace_s

    def rank(self, incarnation: int, address: str = "") -> tuple[int, int]:
        """Returns the turn of a member and, to break ties, its incarnation.

        Backups come first, in the order of `holders`, then witnesses, then all others. Before the first epoch
        the founders take turns in the order of their addresses.
        """
        config = self.replica.epoch_config
        if not config.number:
            founders = sorted(self.replica.founders or ())
            return founders.index(address) if address in founders else len(founders), incarnation
        backups = [each for each in config.holders if each != config.primary]
        witnesses = [peer.incarnation for peer in config.members if peer.incarnation not in config.holders]
        order = [*backups, *witnesses]
        return order.index(incarnation) if incarnation in order else len(order), incarnation
