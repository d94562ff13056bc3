"""What clients and data planes saw, in order of time. Checked afterwards by `checkers`."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Call:
    """An order or a read from its first try to its clear answer. `outcome` None: never a clear answer."""

    request: object  # None: a read
    began: float
    ended: float = float("inf")
    outcome: object = None
    tries: list = field(default_factory=list)  # (time, machine, outcome)


class History:
    def __init__(self):
        self.calls: list[Call] = []
        self.states: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.wrong: list[str] = []
        self.events: list[tuple[float, str, str]] = []
        self.trouble: list[tuple[float, float]] = []  # spans in which the core was not stable
        self.deaths: list[float] = []  # when a primary died, in the profile "deaths"
        self.restarts: list[float] = []  # total restarts: when all were up again

    def finished(self, now: float, machine, effect) -> None:
        mark = (effect.epoch, effect.sequence)
        seen = self.states.get(mark)
        taken, counter = effect.state.get("taken", b""), int(effect.state.get("counter", b"0"))
        if seen is not None and seen != (taken, counter):
            self.wrong.append(f"two states at {mark}")
        self.states[mark] = taken, counter
        if mark <= machine.finished:
            self.wrong.append(f"{machine.name} goes back from {machine.finished} to {mark} at {now:.3f}")
        machine.finished = mark
