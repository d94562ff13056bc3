"""What an engine is asked, and what it tells of it."""

from dataclasses import dataclass, field

LOWEST_PRIORITY, DEFAULT_PRIORITY = 9, 5


@dataclass(frozen=True, slots=True)
class Work:
    """One request.

    `parts`: of its prompt, in order, each an id and its tokens; `prompt`: tokens of all of it; `out`: tokens
    to make, 0 for one that is no generation and takes `span_s` instead; `made`: tokens of these that another
    run made before; `priority`: 0 the most urgent; `deadline`: when its work is of no use any more.
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
    """A request that an engine has. `held`: tokens of memory that are its own; `pins`: kept parts that it
    uses; `unread`: prompt tokens that are still to be read; `tail`: its parts that are not kept yet, each
    with the value of `unread` at which it is whole."""

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
        """More urgent first, then older first."""
        return self.work.priority, self.number


@dataclass(frozen=True, slots=True)
class Started:
    """It has begun to run: whoever cuts it from now on has had it run."""

    number: int


@dataclass(frozen=True, slots=True)
class Event:
    """Tokens of its answer: `id` counts events from 1, across runs. `version`: of the weights, where it is
    not the one that the last event was made with."""

    number: int
    id: int
    tokens: int
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Done:
    number: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """It has not run and never will. `why`: "full" or "deadline"."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Late:
    """Its deadline came while it ran."""

    number: int


@dataclass(frozen=True, slots=True)
class Crashed:
    """The engine fell over: it was sent too much while it was cold."""
