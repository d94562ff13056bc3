"""What an engine is like. Source: PROTOCOL, "Requests" (batches, memory) and "Upstreams" (cold starts)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Times in s, memory in tokens.

    `slots`: requests that run at a time; `queue`: that wait beyond them. A step of a batch of one takes
    `step_s`, and `crowd_s` more for each further request; in a step at most `piece` prompt tokens are read,
    `prefill_per_s` of them a second. `stride`: tokens that an event holds. For `cold_s` after its start all
    is `cold_slow` times as slow, and it falls over at more than `cold_rate` x `cold_fall` requests within a
    second (0: it never falls). `full_slow`: how many times as slow it is with nine tenths of its slots taken.
    `connect_s`: for how long a new connection takes a slot.
    """

    slots: int = 64
    queue: int = 16
    kv_tokens: int = 200_000
    step_s: float = 0.005
    crowd_s: float = 0.0001
    prefill_per_s: float = 40_000.0
    piece: int = 512
    stride: int = 5
    cold_s: float = 0.0
    cold_slow: float = 3.0
    cold_rate: float = 0.0
    cold_fall: float = 3.0
    full_slow: float = 1.0
    connect_s: float = 0.001
    models: tuple[str, ...] = ("m",)
