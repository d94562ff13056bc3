"""What a stand-in upstream records of a request, for the checkers of the lab."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Run:
    """A request that an upstream received; it is completed while the request runs.

    Attributes:
        at: when the request had arrived completely, s.
        instance, service, zone: of the upstream.
        attempt: id of the attempt; empty if the request had none.
        asked: digest of the request.
        after: id of the last event that the client has; 0 if it has none.
        cold: whether the upstream was cold.
        ran_at: when the request began to run, s; None if it has not run.
        outcome: "" while it is open, then "done", "late", "left" (the client disconnected), "cut" (the
            connection broke), or the status of the rejection, possibly with its reason.
        sent: ids of the events that were sent.
    """

    at: float
    instance: str
    service: str
    zone: str
    attempt: str
    method: str
    target: str
    asked: bytes
    after: int = 0
    cold: bool = False
    ran_at: float | None = None
    outcome: str = ""
    sent: list[int] = field(default_factory=list)
