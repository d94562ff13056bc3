"""Time-outs and intervals of replication."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Timing:
    """Seconds, except for `bytes_per_second`. Suitable for round trips up to 150 ms."""

    heartbeat_interval_s: float = 0.25  # between heartbeats of the primary to each other process
    primary_timeout_s: float = 0.55  # silence of the primary before pre-votes are requested and granted
    election_stagger_s: float = 0.25  # between the turns of two successive candidates
    candidate_grace_s: float = 0.6  # no other member campaigns for this long after a candidate was heard
    fruitless_candidate_timeout_s: float = 1.0  # grace for a candidate whose pre-votes lead to no Prepare
    fruitless_candidate_ban_s: float = 2.0  # how long such a candidate is then refused pre-votes
    peer_timeout_s: float = 0.6  # silence of a holder before it is replaced
    write_timeout_s: float = 0.45  # time for a holder to sync a write before it is replaced
    disk_timeout_s: float = 0.35  # time for a disk to complete a write before it counts as unhealthy
    disk_retry_interval_s: float = 1.0  # after a failed write
    majority_timeout_s: float = 0.8  # a primary that hears no majority for this long steps down
    resend_interval_s: float = 0.3  # before an unanswered message is sent again
    election_timeout_s: float = 1.2  # an election that takes longer is abandoned
    founding_timeout_s: float = 1.0  # how long founding waits for the last founders
    member_replacement_timeout_s: float = 1.2  # silence of a member before a newcomer replaces it
    incomplete_membership_timeout_s: float = 2.0  # before fewer than 2t + 1 members decide commands
    request_timeout_s: float = 0.8  # how long a command waits for a primary
    join_request_interval_s: float = 0.5  # between join requests while no primary is heard
    leave_timeout_s: float = 6.8  # how long a leaving process waits for permission
    leave_grant_delay_s: float = 0.1  # delay before a leave is granted, as all members may ask at once
    bytes_per_second: float = 250_000.0  # slowest link for which time-outs of long messages are calculated
