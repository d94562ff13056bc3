"""What checkers of a simulated day found, by kind: a planted fault is known by the kind of its findings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FindingKind(StrEnum):
    """Which promise was broken, or which rule of the replication protocol."""

    PROGRAM_FAULT = "program fault"  # an exception that a program did not catch
    SIMULATION_FAULT = "simulation fault"  # one of the simulation itself

    # committed state and operators' calls
    DIVERGENT_STATES = "divergent states"  # two control states at one position
    BROKEN_CHAIN = "broken chain"  # a state was not made on top of the one before it
    NOTHING_COMMITTED = "nothing committed"
    LOST_ACKNOWLEDGEMENT = "lost acknowledgement"  # what was acknowledged is not, or no longer, in place
    CONFLICTING_ACKNOWLEDGEMENTS = "conflicting acknowledgements"  # two for one base, or one version
    ACCEPTED_AND_REFUSED = "accepted and refused"
    UNFOUNDED_REFUSAL = "unfounded refusal"  # nothing that was committed is a reason for it
    LATE_ZONE_COMMAND = "late zone command"  # takes effect after a newer one was acknowledged
    STALE_READ = "stale read"
    READ_FAILED = "read failed"
    ISOLATED_CONFIRMATION = "isolated confirmation"  # a member confirms while it reaches no majority
    NEVER_COMPLETED = "never completed"
    SLOW_COMMAND = "slow command"

    # edges, directory, singleton roles
    EDGE_REGRESSION = "edge regression"  # an edge's control state goes back
    EDGE_OUTDATED = "edge outdated"  # an edge in touch has not learnt what was acknowledged
    STALE_CALLED_FRESH = "stale called fresh"  # a member vouches for a state that was no longer the newest
    FOREIGN_REGION = "foreign region"  # a client is sent to a region that is neither its own nor a home
    ENDED_EDGE_LISTED = "ended edge listed"
    TWO_LEASE_HOLDERS = "two lease holders"

    # messages and disks of core members
    PROMISE_NOT_DURABLE = "promise not durable"  # sent before it was synced
    WRITE_NOT_DURABLE = "write not durable"  # acknowledged before it was synced
    COMMITTED_TOO_EARLY = "committed too early"  # by a primary, before t + 1 disks hold it
    FENCE_BROKEN = "fence broken"  # an older epoch is served in spite of a newer promise
    EPOCH_WITHOUT_QUORUM = "epoch without quorum"
    LEFT_WITHOUT_COPIES = "left without copies"  # a member left while too few others held the newest state


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation. `detail`: who, what and when, for a reader."""

    kind: FindingKind
    detail: str

    def __str__(self) -> str:
        """As printed for a seed."""
        return f"{self.kind}: {self.detail}"
