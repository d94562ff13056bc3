"""The shortest capture with the same outcome, by delta debugging (Zeller and Hildebrandt, 2002)."""

from collections.abc import Callable
from itertools import groupby
from types import ModuleType

from shedgrade import load_balancing
from shedgrade.sidecar.capture.replay import RPC_OPERATIONS, Replay
from shedgrade.sidecar.capture.rows import (
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    DECIDE,
    DRAW_ADMISSION,
    DUE,
    DUE_ENDED,
    LIST_CHANGED,
    LIST_FAILED,
    NO_DECISION,
    TAKE_RELEASED,
    UNIFORM,
    WANTS_LIST,
    calls,
)


def outcome(records: list[dict], number: int, module: ModuleType = load_balancing) -> list:
    """Returns the outcome of one request in a lenient replay: the upstreams it was sent to and its answer."""
    found = []
    replay = Replay(records, module, lenient=True)

    def watch(now: int, row: list, got: object) -> None:
        if row[0] in (DECIDE, NO_DECISION) and row[2] == number and got is not None:
            found.append(got[0])

    replay.watch = watch
    for _ in replay.run():
        pass
    return found


def without(records: list[dict], dropped: set) -> list[dict]:
    """Returns the capture without these requests (by number) and list changes (as ("list", index))."""
    kept, place = [], 0
    for record in records:
        if record["k"] != "rows":
            kept.append(record)
            continue
        rows, now, last = [], record["now"], record["now"]
        for row in record["r"]:
            now += row[1]
            gone = row[0] in RPC_OPERATIONS and row[2] in dropped
            if row[0] in (LIST_CHANGED, UNIFORM, LIST_FAILED):
                gone, place = ("list", place) in dropped, place + 1
            if not gone:
                rows.append([row[0], now - last, *row[2:]])
                last = now
        kept.append({**record, "r": rows})
    return kept


def shorten(
    records: list[dict],
    number: int,
    module: ModuleType = load_balancing,
    wanted: Callable[[list], bool] | None = None,
) -> list[dict]:
    """Returns the capture with the fewest requests and list changes that keep the outcome of one request.

    Leaves out halves, then quarters and so on, as long as the outcome stays (ddmin). Results in the returned
    capture are those of its own replay. `wanted`: tells whether an outcome is accepted; by default it must be
    the same.
    """
    goal = outcome(records, number, module)
    wanted = wanted or (lambda found: found == goal)
    parts: list = [
        one
        for one, _ in groupby(
            sorted({row[2] for _, row in calls(records) if row[0] in RPC_OPERATIONS and row[2] != number})
        )
    ]
    parts += [
        ("list", place)
        for place in range(sum(row[0] in (LIST_CHANGED, UNIFORM, LIST_FAILED) for _, row in calls(records)))
    ]
    dropped: set = set()
    size = max(1, len(parts) // 2)
    while parts:
        kept, place = [], 0
        while place < len(parts):
            piece = set(parts[place : place + size])
            if wanted(outcome(without(records, dropped | piece), number, module)):
                dropped |= piece
            else:
                kept += parts[place : place + size]
            place += size
        parts = kept
        if size == 1:
            break
        size = max(1, size // 2)
    return rewritten(without(records, dropped), module)


def rewritten(records: list[dict], module: ModuleType = load_balancing) -> list[dict]:
    """Returns the capture with the results of these decisions in place of the recorded ones.

    Calls that can't be made are left out.
    """
    made: list[dict] = []
    replay = Replay(records, module, lenient=True)
    rows: list[list] = []
    last = [0, 0]

    def flush() -> None:
        if rows:
            made.append({"k": "rows", "now": last[0], "r": rows[:]})
            rows.clear()

    def watch(now: int, row: list, got: object) -> None:
        op = row[0]
        if not rows:
            last[:] = [now, now]
        told = row[2:]
        if op in (DECIDE, NO_DECISION):
            told = [told[0], *(got or ())]
            op = NO_DECISION if got is None else DECIDE
        elif op in (
            ATTEMPT_FINISHED,
            CLIENT_DISCONNECTED,
            UNIFORM,
            DRAW_ADMISSION,
            WANTS_LIST,
            TAKE_RELEASED,
        ):
            told = [*told[:-1], got]
        elif op in (DUE, DUE_ENDED):
            op, told = (DUE_ENDED, []) if got is None else (DUE, [got])
        rows.append([op, now - last[1], *told])
        last[1] = now

    replay.watch = watch
    plain_record = replay.record

    def record(one: dict) -> None:
        flush()
        if one["k"] != "state" or replay.balancer is None:
            made.append(one)
        plain_record(one)

    replay.record = record
    for _ in replay.run():
        pass
    flush()
    return made
