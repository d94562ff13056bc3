"""The phases of a sidecar, and which may follow which."""

from enum import Enum


class Phase(Enum):
    """From the start of the process to its exit; values are what the log shows."""

    STARTING = "starting"
    SERVING = "serving"
    STANDING_BY = "standing by"  # drained by an operator, until it resumes
    DRAINING = "draining"  # until the exit
    CLOSED = "closed"


SUCCESSORS = {
    Phase.STARTING: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.SERVING: (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED),
    Phase.STANDING_BY: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.DRAINING: (Phase.CLOSED,),
    Phase.CLOSED: (),
}


class PhaseError(Exception):
    """A change of phase that must not happen."""


def check_change(before: Phase, after: Phase) -> None:
    """PhaseError if `after` may not follow `before`."""
    if after not in SUCCESSORS[before]:
        raise PhaseError(f"from {before.value} to {after.value}")
