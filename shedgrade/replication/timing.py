"""The time-outs and intervals of replication."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Timing:
    """All in seconds, but `bytes_per_second`. Fit for round trips up to 150 ms."""

    heartbeat_interval_s: float = 0.25  # from the primary to each other process
    primary_timeout_s: float = 0.55  # the primary was not heard: a pre-vote is asked and granted
    election_stagger_s: float = 0.25  # from one possible candidate's turn to the next one's
    candidate_grace_s: float = 0.6  # after a candidate was heard nobody else campaigns
    fruitless_candidate_timeout_s: float = 1.0  # a candidate whose granted pre-votes led to no Prepare ...
    fruitless_candidate_ban_s: float = 2.0  # ... is granted none for so long
    peer_timeout_s: float = 0.6  # a holder that was not heard is replaced
    write_timeout_s: float = 0.45  # so is one that has not written what it was sent
    disk_timeout_s: float = 0.35  # a disk that has not answered is unhealthy
    disk_retry_interval_s: float = 1.0  # after a refused write
    majority_timeout_s: float = 0.8  # a primary that hears no majority steps down
    resend_interval_s: float = 0.3  # an unanswered message goes again
    election_timeout_s: float = 1.2  # an election without end is given up
    founding_timeout_s: float = 1.0  # the founders wait for the last of them
    member_replacement_timeout_s: float = 1.2  # a member not heard gives its place to a newcomer
    incomplete_membership_timeout_s: float = 2.0  # fewer members than 2t + 1 answer no command before
    request_timeout_s: float = 0.8  # a command waits for a primary
    join_request_interval_s: float = 0.5  # while no primary is heard
    leave_timeout_s: float = 6.8  # a process that leaves waits for its leave
    leave_grant_delay_s: float = 0.1  # before a leave is granted: all may be asked to end at once
    bytes_per_second: float = 250_000.0  # the slowest link that time-outs of long messages are reckoned for
