"""Requests to a stand-in engine, and the effects by which it reports on them."""

from dataclasses import dataclass, field

LOWEST_PRIORITY, DEFAULT_PRIORITY = 9, 5


@dataclass(frozen=True, slots=True)
class Work:
    """One request.

    Attributes:
        prompt: tokens of the whole prompt.
        out: tokens to generate; 0: the request is no generation and takes `span_s` instead.
        parts: the prompt's shared parts in order, each (id, tokens).
        resumed_tokens: those of the `out` tokens that an earlier run has generated.
        span_s: duration of a request that is no generation, s.
        priority: 0 is the most urgent.
        deadline: when the result is of no use any more, s.
        model: name of the model.
    """

    prompt: int = 0
    out: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    resumed_tokens: int = 0
    span_s: float = 0.0
    priority: int = DEFAULT_PRIORITY
    deadline: float = float("inf")
    model: str = "m"


@dataclass(slots=True)
class Job:
    """A request in an engine.

    Attributes:
        number: the engine's number of the request.
        generated: tokens generated so far, those of earlier runs included.
        started: whether it has run, also if it has been preempted since.
        running: whether it runs now.
        own_tokens: tokens of memory that belong to this request alone.
        unread: prompt tokens that are still to be read.
        step_tokens: prompt tokens that the step in progress reads.
        ends_at: end of a request that is no generation, s.
        pinned_parts: keys of the cached parts that it uses.
        uncached_parts: parts that are still to be read, in order, each (value of `unread` at which the part
            has been read, key, tokens).
    """

    number: int
    work: Work
    generated: int
    started: bool = False
    running: bool = False
    own_tokens: int = 0
    unread: int = 0
    step_tokens: int = 0
    ends_at: float = float("inf")
    pinned_parts: list = field(default_factory=list)
    uncached_parts: list = field(default_factory=list)

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: more urgent first, then older first."""
        return self.work.priority, self.number


@dataclass(frozen=True, slots=True)
class Started:
    """The request has begun to run; if it is cut off from now on, it counts as executed."""

    number: int


@dataclass(frozen=True, slots=True)
class Event:
    """Generated tokens of a request.

    Attributes:
        id: number of the event, counted from 1 across runs.
        version: of the weights, if it is not that of the request's previous event.
    """

    number: int
    id: int
    tokens: int
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Done:
    """The request has completed."""

    number: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request has not run and will not run. `reason`: "full" or "deadline"."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed while the request ran."""

    number: int


@dataclass(frozen=True, slots=True)
class Crashed:
    """The engine crashed: it received too many requests while it was cold."""
