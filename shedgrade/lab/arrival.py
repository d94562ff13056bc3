"""One scheduled RPC of a lab run, drawn from a scenario or read from a trace."""

from msgspec import Struct


class Arrival(Struct):
    """One scheduled RPC.

    number: index of the RPC in the run's schedule
    at: scheduled time, s from the start of the run
    origin: number of the sidecar whose clients send it
    kind: index of its class in the scenario's `load.classes`
    work: work in ms on one core of speed 1
    body: size of request and response bodies, bytes
    recorded: offsets of recorded retries from the first try, s, which count with that try; None if retries
        follow the callers' own rule
    wait_ms: time after which the client gives up a try; 0 if the scenario decides
    """

    number: int
    at: float
    origin: int
    kind: int
    work: float
    method: str
    body: int = 16
    recorded: list[float] | None = None
    wait_ms: float = 0.0
