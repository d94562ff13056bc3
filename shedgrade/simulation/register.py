"""The replicated state that simulated clients change: a compare-and-set register and a grow-only counter.

The register holds a configuration and its version. The state's key `taken` holds the whole chain of changes,
one line each: "base version payload".
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from shedgrade.replication import Decision


class Put(NamedTuple):
    """Compare-and-set: sets the configuration to `payload` at `version` if the current version is `base`."""

    base: int
    version: int
    payload: str


class Count(NamedTuple):
    """An idempotent request that raises the counter to at least `number`."""

    number: int


Request = Put | Count

OK, CONFLICT = "ok", "conflict"


def change_line(put: Put) -> str:
    """Returns the line that stands for a change in the chain."""
    return f"{put.base} {put.version} {put.payload}"


def change_lines(chain: bytes) -> list[str]:
    """Returns the lines of a chain, oldest first."""
    return chain.decode().split("\n")[:-1]


def changes_in(state: Mapping[str, bytes]) -> list[str]:
    """Returns the lines of the chain in a state, oldest first."""
    return change_lines(state.get("taken", b""))


def decide(state: Mapping[str, bytes], request: Request) -> Decision:
    """Returns the changes that a request makes to a state, and its outcome.

    The outcome is `OK`, also if the state already has the change, or `CONFLICT` if the state's version is not
    the request's base or not below its version.
    """
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
