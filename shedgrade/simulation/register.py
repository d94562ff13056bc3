"""What the simulated operators change: a configuration under compare-and-set, and a counter that only
grows.

The state's `taken` is the whole chain of changes, one line each: "base version payload"."""

from __future__ import annotations

from typing import NamedTuple

from shedgrade.replication import Decision


class Put(NamedTuple):
    """A configuration on top of a version."""

    base: int
    version: int
    payload: str


class Count(NamedTuple):
    """An order that may be repeated: the counter becomes at least `number`."""

    number: int


OK, CONFLICT = "ok", "conflict"


def line(put: Put) -> str:
    return f"{put.base} {put.version} {put.payload}"


def chain(state) -> list[str]:
    return state.get("taken", b"").decode().split("\n")[:-1]


def decide(state, request) -> Decision:
    if type(request) is Count:
        if int(state.get("counter", b"0")) >= request.number:
            return Decision({}, OK)
        return Decision({"counter": b"%d" % request.number}, OK)
    taken, mine = state.get("taken", b""), line(request).encode() + b"\n"
    if (b"\n" + taken).find(b"\n" + mine) >= 0:
        return Decision({}, OK)
    current = int(state.get("version", b"0"))
    if request.base != current or request.version <= current:
        return Decision({}, CONFLICT)
    return Decision(
        {
            "configuration": request.payload.encode(),
            "version": b"%d" % request.version,
            "taken": taken + mine,
        },
        OK,
    )
