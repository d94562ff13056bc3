"""Upper estimates of how long one service's requests take, from recent answers. No I/O.

Used by a process that shuts down, which accepts only requests that it can still answer completely. The length
of a stream is not known before its end, but it is bounded: the maximum number of tokens that the client asks
for, at the slowest recent pace. Times are seconds.
"""

from collections import deque
from math import ceil, inf

SAMPLES_KEPT = 64  # samples kept of each kind
MIN_SAMPLES = 8  # minimum number of samples for an estimate
SAFETY_FACTOR = 1.25  # factor by which the next answer may be slower than the slowest sample


class ServiceTimes:
    """Durations of one service's requests, from receipt of a request to the end of its answer.

    Attributes:
        tokens_per_event: average tokens in one event of a stream.
        first_events: samples of the time to a stream's first event, s, with the prompt's tokens.
        paces: samples of a stream's average time between two events, s.
        answers: samples of the durations of requests that are no streams, s.
    """

    def __init__(self) -> None:
        self.tokens_per_event = 1.0
        self.first_events: deque[tuple[float, int]] = deque(maxlen=SAMPLES_KEPT)
        self.paces: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self.answers: deque[float] = deque(maxlen=SAMPLES_KEPT)

    def record_answer(self, took_s: float) -> None:
        """Records the duration of a complete answer that is no stream."""
        self.answers.append(took_s)

    def record_stream(self, first_s: float, rest_s: float, events: int, prompt_tokens: int) -> None:
        """Records a complete stream: its first event came after `first_s`, its last one `rest_s` later."""
        self.first_events.append((first_s, prompt_tokens))
        if events > 1:
            self.paces.append(rest_s / (events - 1))

    def longest(self, streams: bool, usage: tuple[int, int]) -> float:
        """The estimate for a request, which `streams` or not; `usage`: tokens of its prompt and maximum
        tokens of its answer."""
        return self.longest_stream(*usage) if streams else self.longest_answer()

    def longest_answer(self) -> float:
        """The estimate for a request that is no stream; infinity if there are too few samples."""
        return SAFETY_FACTOR * max(self.answers) if len(self.answers) >= MIN_SAMPLES else inf

    def longest_stream(self, prompt_tokens: int, most_tokens: int) -> float:
        """The estimate for a stream with `prompt_tokens` in its prompt and at most `most_tokens` in its
        answer; infinity if there are too few samples or `most_tokens` is 0 (unknown)."""
        if len(self.paces) < MIN_SAMPLES or not most_tokens:
            return inf
        slowest_first = max(first_s for first_s, _ in self.first_events)
        longest_prompt = max(1, *(tokens for _, tokens in self.first_events))
        first_s = slowest_first * max(1.0, prompt_tokens / longest_prompt)
        events = ceil(most_tokens / max(1.0, self.tokens_per_event))
        return SAFETY_FACTOR * (first_s + events * max(self.paces))
