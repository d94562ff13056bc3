"""The state that the simulated clients change: a compare-and-set register, and a counter that only grows.

The register holds a configuration and its version. The state's key `taken` is the whole chain of changes, one
line each: "base version payload".
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from shedgrade.replication import Decision


class Put(NamedTuple):
    """Compare-and-set: a configuration that replaces version `base`."""

    base: int
    version: int
    payload: str


class Count(NamedTuple):
    """An idempotent request: the counter becomes at least `number`."""

    number: int


Request = Put | Count

OK, CONFLICT = "ok", "conflict"


def change_line(put: Put) -> str:
    """The line of a change in the chain."""
    return f"{put.base} {put.version} {put.payload}"


def change_lines(chain: bytes) -> list[str]:
    """The lines of a chain, oldest first."""
    return chain.decode().split("\n")[:-1]


def changes_in(state: Mapping[str, bytes]) -> list[str]:
    """The lines of the chain that a state holds, oldest first."""
    return change_lines(state.get("taken", b""))


def decide(state: Mapping[str, bytes], request: Request) -> Decision:
    """What a request changes in a state, and its outcome: `OK`, also if the state has the change already, or
    `CONFLICT` if another change took its base."""
    if isinstance(request, Count):
        if int(state.get("counter", b"0")) >= request.number:
            return Decision({}, OK)
        return Decision({"counter": b"%d" % request.number}, OK)
    chain = state.get("taken", b"")
    line = change_line(request).encode() + b"\n"
    if (b"\n" + chain).find(b"\n" + line) >= 0:
        return Decision({}, OK)
    current = int(state.get("version", b"0"))
    if request.base != current or request.version <= current:
        return Decision({}, CONFLICT)
    return Decision(
        {
            "configuration": request.payload.encode(),
            "version": b"%d" % request.version,
            "taken": chain + line,
        },
        OK,
    )
