"""The phases of a sidecar and the allowed transitions."""

from enum import Enum


class Phase(Enum):
    """A phase between the start and the exit of the process. The values appear in the log."""

    STARTING = "starting"
    SERVING = "serving"
    STANDING_BY = "standing by"  # drained by an operator; accepts clients again after `resume`
    DRAINING = "draining"  # after SIGTERM, until the exit
    CLOSED = "closed"


SUCCESSORS = {
    Phase.STARTING: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.SERVING: (Phase.STANDING_BY, Phase.DRAINING, Phase.CLOSED),
    Phase.STANDING_BY: (Phase.SERVING, Phase.DRAINING, Phase.CLOSED),
    Phase.DRAINING: (Phase.CLOSED,),
    Phase.CLOSED: (),
}


class PhaseError(Exception):
    """A transition that is not allowed."""


def check_change(before: Phase, after: Phase) -> None:
    """Raises PhaseError if `after` may not follow `before`."""
    if after not in SUCCESSORS[before]:
        raise PhaseError(f"transition from {before.value} to {after.value} is not allowed")
