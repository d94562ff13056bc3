"""What an upstream saw of a request, for whoever judges."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Run:
    """`at`: when it had come whole; `ran_at`: when it began to run, None if it never did; `asked`: its
    digest; `sent`: ids of the events that were sent; `outcome`: "", or how it ended: "done", "late", "left",
    "cut" or the status with which it was turned away; `cold`: the upstream was."""

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
