"""How long one service's requests take at the most, by those that were answered lately. No I/O.

Used by a process that is told to end: it takes only what it can still answer whole. A stream's length is not
known before its end, but its most is: the tokens that its client asks for at the most, at the slowest pace
seen lately. Times are seconds.
"""

from collections import deque
from math import ceil, inf

REMEMBERED = 64  # answers of each sort
ENOUGH = 8  # answers below which nothing is said
MARGIN = 1.25  # by which the next may be slower than the slowest


class ServiceTimes:
    """Times of one service, from a request's coming to the end of its answer."""

    def __init__(self) -> None:
        self.tokens_per_event = 1.0
        self.first_events: deque[tuple[float, int]] = deque(maxlen=REMEMBERED)  # s, tokens of the prompt
        self.paces: deque[float] = deque(maxlen=REMEMBERED)  # s from one event to the next, on average
        self.answers: deque[float] = deque(maxlen=REMEMBERED)  # s, of requests that are no streams

    def answered(self, took_s: float) -> None:
        """A request that is no stream was answered whole."""
        self.answers.append(took_s)

    def streamed(self, first_s: float, rest_s: float, events: int, prompt_tokens: int) -> None:
        """A stream came to its end: its first event after `first_s`, and its last one `rest_s` later."""
        self.first_events.append((first_s, prompt_tokens))
        if events > 1:
            self.paces.append(rest_s / (events - 1))

    def longest(self, streams: bool, usage: tuple[int, int]) -> float:
        """For a request, a stream or not; `usage`: tokens of its prompt, and of its answer at the most."""
        return self.longest_stream(*usage) if streams else self.longest_answer()

    def longest_answer(self) -> float:
        """For a request that is no stream; infinity where too little is known."""
        return MARGIN * max(self.answers) if len(self.answers) >= ENOUGH else inf

    def longest_stream(self, prompt_tokens: int, most_tokens: int) -> float:
        """For a stream with a prompt of so many tokens, of `most_tokens` at the most; infinity where too
        little is known."""
        if len(self.paces) < ENOUGH or not most_tokens:
            return inf
        slowest_first = max(first_s for first_s, _ in self.first_events)
        longest_prompt = max(1, *(tokens for _, tokens in self.first_events))
        first_s = slowest_first * max(1.0, prompt_tokens / longest_prompt)
        events = ceil(most_tokens / max(1.0, self.tokens_per_event))
        return MARGIN * (first_s + events * max(self.paces))
