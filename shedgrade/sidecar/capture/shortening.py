"""Shortens a capture and keeps one request's outcome: delta debugging (Zeller and Hildebrandt, 2002)."""

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

    def on_call(now: int, row: list, replayed: object) -> None:
        if row[0] in (DECIDE, NO_DECISION) and row[2] == number and replayed is not None:
            found.append(replayed[0])

    replay.on_call = on_call
    for _ in replay.run():
        pass
    return found


def remove_calls(records: list[dict], dropped: set) -> list[dict]:
    """Returns the capture without the dropped calls.

    `dropped`: numbers of requests, and ("list", index) for calls on the endpoint list and random draws, which
    are counted together.
    """
    kept, position = [], 0
    for record in records:
        if record["k"] != "rows":
            kept.append(record)
            continue
        rows, now, last = [], record["now"], record["now"]
        for row in record["r"]:
            now += row[1]
            gone = row[0] in RPC_OPERATIONS and row[2] in dropped
            if row[0] in (LIST_CHANGED, UNIFORM, LIST_FAILED):
                gone, position = ("list", position) in dropped, position + 1
            if not gone:
                rows.append([row[0], now - last, *row[2:]])
                last = now
        kept.append({**record, "r": rows})
    return kept


def shorten(
    records: list[dict],
    number: int,
    module: ModuleType = load_balancing,
    accepts: Callable[[list], bool] | None = None,
) -> list[dict]:
    """Returns the capture with the fewest requests and list changes that keep the outcome of one request.

    Leaves out halves, then quarters and so on, as long as the outcome stays (ddmin). Results in the returned
    capture are those of its own replay. `accepts`: returns whether an outcome is accepted; by default, only
    that of the whole capture is.
    """
    original_outcome = outcome(records, number, module)
    accepts = accepts or (lambda found: found == original_outcome)
    candidates: list = [
        key
        for key, _ in groupby(
            sorted({row[2] for _, row in calls(records) if row[0] in RPC_OPERATIONS and row[2] != number})
        )
    ]
    candidates += [
        ("list", position)
        for position in range(
            sum(row[0] in (LIST_CHANGED, UNIFORM, LIST_FAILED) for _, row in calls(records))
        )
    ]
    dropped: set = set()
    size = max(1, len(candidates) // 2)
    while candidates:
        kept, position = [], 0
        while position < len(candidates):
            omitted = set(candidates[position : position + size])
            if accepts(outcome(remove_calls(records, dropped | omitted), number, module)):
                dropped |= omitted
            else:
                kept += candidates[position : position + size]
            position += size
        candidates = kept
        if size == 1:
            break
        size = max(1, size // 2)
    return with_new_results(remove_calls(records, dropped), module)


def with_new_results(records: list[dict], module: ModuleType = load_balancing) -> list[dict]:
    """Returns the capture with the results of a replay with `module` in place of the recorded ones.

    Calls that the replay can't make are left out.
    """
    result: list[dict] = []
    replay = Replay(records, module, lenient=True)
    rows: list[list] = []
    last = [0, 0]

    def flush() -> None:
        if rows:
            result.append({"k": "rows", "now": last[0], "r": rows[:]})
            rows.clear()

    def on_call(now: int, row: list, replayed: object) -> None:
        op = row[0]
        if not rows:
            last[:] = [now, now]
        values = row[2:]
        if op in (DECIDE, NO_DECISION):
            values = [values[0], *(replayed or ())]
            op = NO_DECISION if replayed is None else DECIDE
        elif op in (
            ATTEMPT_FINISHED,
            CLIENT_DISCONNECTED,
            UNIFORM,
            DRAW_ADMISSION,
            WANTS_LIST,
            TAKE_RELEASED,
        ):
            values = [*values[:-1], replayed]
        elif op in (DUE, DUE_ENDED):
            op, values = (DUE_ENDED, []) if replayed is None else (DUE, [replayed])
        rows.append([op, now - last[1], *values])
        last[1] = now

    replay.on_call = on_call
    replay_record = replay.apply_record

    def apply_record(record: dict) -> None:
        flush()
        if record["k"] != "state" or replay.balancer is None:
            result.append(record)
        replay_record(record)

    replay.apply_record = apply_record
    for _ in replay.run():
        pass
    flush()
    return result
