"""Findings of the checkers of a simulated run. Tests with planted faults expect findings of certain kinds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FindingKind(StrEnum):
    """The guarantee, or the rule of the replication protocol, that was violated."""

    PROGRAM_FAULT = "program fault"  # an exception that a program did not catch
    SIMULATION_FAULT = "simulation fault"  # an exception in the simulation itself

    # committed state and operators' calls
    DIVERGENT_STATES = "divergent states"  # two control states at one position
    BROKEN_CHAIN = "broken chain"  # a state that isn't based on the previous one
    NOTHING_COMMITTED = "nothing committed"
    LOST_ACKNOWLEDGEMENT = "lost acknowledgement"  # an acknowledged change isn't, or is no longer, in effect
    CONFLICTING_ACKNOWLEDGEMENTS = "conflicting acknowledgements"  # two for the same base or version
    ACCEPTED_AND_REFUSED = "accepted and refused"
    UNFOUNDED_REFUSAL = "unfounded refusal"  # no committed state justifies it
    LATE_ZONE_COMMAND = "late zone command"  # took effect after a newer one was acknowledged
    STALE_READ = "stale read"
    READ_FAILED = "read failed"
    ISOLATED_CONFIRMATION = "isolated confirmation"  # success reported by a member that reached no majority
    NEVER_COMPLETED = "never completed"
    SLOW_COMMAND = "slow command"

    # edges, directory, singleton roles
    EDGE_REGRESSION = "edge regression"  # an edge's control state became older
    EDGE_OUTDATED = "edge outdated"  # a connected edge lacks an acknowledged change
    STALE_CALLED_FRESH = "stale called fresh"  # a member confirms a state that was no longer the newest
    FOREIGN_REGION = "foreign region"  # a client is sent to a region that is neither its own nor a home
    ENDED_EDGE_LISTED = "ended edge listed"
    TWO_LEASE_HOLDERS = "two lease holders"

    # messages and disks of core members
    PROMISE_NOT_DURABLE = "promise not durable"  # sent before it was synced
    WRITE_NOT_DURABLE = "write not durable"  # acknowledged before it was synced
    COMMITTED_TOO_EARLY = "committed too early"  # by a primary, before t + 1 disks held it
    FENCE_BROKEN = "fence broken"  # a member serves an older epoch after it promised a newer one
    EPOCH_WITHOUT_QUORUM = "epoch without quorum"
    LEFT_WITHOUT_COPIES = "left without copies"  # a member left while too few others held the newest state


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation. `detail` names the parties and the virtual time."""

    kind: FindingKind
    detail: str

    def __str__(self) -> str:
        """Returns the text printed for a seed."""
        return f"{self.kind}: {self.detail}"
