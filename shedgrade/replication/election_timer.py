"""When a member that hears no primary asks for votes: in turn, so that elections rarely collide."""

from __future__ import annotations

from random import Random

from shedgrade.replication.replica_state import ReplicaState
from shedgrade.replication.timing import Timing

NEVER = float("-inf")
FOUNDING_STAGGER_S = 0.4  # from one founder's turn to the next one's
JITTERS_PER_TURN = 5  # at most a fifth of a turn is added at random
PRE_VOTE_RETRY_JITTER = 0.2  # at least so much of `primary_timeout_s` between two pre-votes


class ElectionTimer:
    """The election time-out of one member. Times are seconds of the steady clock.

    `election_at`: not before that time this member starts a pre-vote. Meaningless while it is the primary
    or a candidate.
    `last_heard_at`: when a primary was last followed, or the last attempt ended; the time-out counts from
    there.
    `defer_to_candidate_until`: another candidate was granted a promise and is left to finish; no pre-vote of
    a third one is granted before.
    """

    def __init__(
        self, now: float, replica: ReplicaState, address: str, timing: Timing, random: Random
    ) -> None:
        """Of the member whose state is `replica`, at its start."""
        self.replica = replica
        self.address = address
        self.timing = timing
        self.random = random
        self.election_at = now
        self.last_heard_at = now
        self.defer_to_candidate_until = NEVER

    def schedule(self, now: float, is_leaving: bool) -> None:
        """After the time-out, when it is this member's turn; one that leaves comes after all others."""
        replica = self.replica
        turn = self.rank(replica.incarnation, self.address)[0] + self.random.random() / JITTERS_PER_TURN
        if is_leaving:
            turn += len(replica.epoch_config.members)  # only if nobody else can
        if not replica.epoch_config.number:
            self.election_at = now + FOUNDING_STAGGER_S * turn
            return
        timeout_at = self.last_heard_at + self.timing.primary_timeout_s
        self.election_at = timeout_at + turn * self.timing.election_stagger_s

    def schedule_pre_vote_retry(self, now: float) -> None:
        """A pre-vote begins: if it fails, the next one comes after a random pause."""
        jitter = PRE_VOTE_RETRY_JITTER + self.random.random()
        self.election_at = now + 2 * self.timing.resend_interval_s + jitter * self.timing.primary_timeout_s

    def schedule_after_step_down(self, now: float) -> None:
        """The attempt or the epoch of this member is over: the others go first."""
        self.last_heard_at = now
        self.election_at = now + self.timing.primary_timeout_s * (0.5 + self.random.random())

    def note_heard(self, now: float) -> None:
        """A primary was heard, or installs an epoch here."""
        self.last_heard_at = now

    def defer_to_candidate(self, now: float) -> None:
        """Another candidate is at work: let it finish."""
        self.defer_to_candidate_until = now + self.timing.candidate_grace_s

    def rank(self, incarnation: int, address: str = "") -> tuple[int, int]:
        """Whose turn it is: backups first, in their order, then witnesses; of a core not founded yet, the
        founders by address. The incarnation decides between equals.
        """
        config = self.replica.epoch_config
        if not config.number:
            founders = sorted(self.replica.founders or ())
            return founders.index(address) if address in founders else len(founders), incarnation
        backups = [each for each in config.holders if each != config.primary]
        witnesses = [peer.incarnation for peer in config.members if peer.incarnation not in config.holders]
        order = [*backups, *witnesses]
        return order.index(incarnation) if incarnation in order else len(order), incarnation
