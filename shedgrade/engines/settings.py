"""Settings of an engine. Source: PROTOCOL, "Requests" (batches, memory), "Upstreams" (cold starts)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity and speed of an engine.

    Attributes:
        slots: requests that run at a time.
        queue: requests that wait beyond those.
        kv_tokens: capacity of the key-value memory, tokens.
        step_s: duration of a step with a batch of one, s.
        crowd_s: additional duration of a step for each further request, s.
        prefill_per_s: prompt tokens read per second.
        piece: prompt tokens read in a step at most.
        stride: tokens in an event.
        cold_s: duration of the cold period after a start, s.
        cold_slow: factor by which all work takes longer during the cold period.
        cold_rate: nominal rate of requests during the cold period, per second; 0: the engine never crashes.
        cold_fall: the engine crashes at more than `cold_rate` x `cold_fall` requests within a second.
        full_slow: factor by which work takes longer while nine tenths of the slots are taken.
        connect_s: how long a new connection occupies a slot, s.
        models: names of the models that it serves.
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
