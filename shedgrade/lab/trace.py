"""Reads and writes recorded traces (JSON Lines, CSV) and links retries to their first tries.

A row of a trace is one try:

at_ms      when it was sent, ms from the start of the trace
id         its id; each try has a new one
retry_of   the id of the try that it repeats (the first one or the one before it); empty for a first try
method, origin, work_ms, wait_ms, body     optional; origin is a sidecar's number, from 0
status, latency_ms                         written when a run is exported; not needed for a replay
"""

import csv
from pathlib import Path

import msgspec
from msgspec import Struct

from shedgrade.lab.arrival import Arrival
from shedgrade.lab.scenario import Scenario, ScenarioError


class Row(Struct, kw_only=True, omit_defaults=True):
    at_ms: float
    id: str
    retry_of: str = ""
    method: str = ""
    origin: int = 0
    who: str = ""
    work_ms: float = 0.0
    wait_ms: float = 0.0
    body: int = 16
    status: int = 0
    latency_ms: float = 0.0


def read(path: str | Path) -> list[Row]:
    """Returns the rows of a file in order of time.

    Raises ScenarioError, which names the file and the line.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        raise ScenarioError(f"{path}: {getattr(failure, 'strerror', None) or failure}") from failure
    rows, number = [], 0
    try:
        if path.suffix == ".csv":
            for number, fields in enumerate(csv.DictReader(text.splitlines()), 2):  # noqa: B007
                rows.append(
                    msgspec.convert({key: value for key, value in fields.items() if value}, Row, strict=False)
                )
        else:
            for number, line in enumerate(text.splitlines(), 1):  # noqa: B007
                if line.strip():
                    rows.append(msgspec.json.decode(line, type=Row))
    except (msgspec.DecodeError, msgspec.ValidationError, csv.Error) as error:
        raise ScenarioError(f"{path}: line {number}: {error}") from error
    return sorted(rows, key=lambda row: row.at_ms)


def link(rows: list[Row], name: str = "trace") -> list[tuple[Row, list[Row]]]:
    """Returns each first try with its retries in order; a retry may name the first try or any later one.

    A retry whose first try is not in the trace (it began before the recording) counts as a first try itself.
    Raises ScenarioError if two rows have the same id.
    """
    first: dict[str, str] = {}
    chains: dict[str, list[Row]] = {}
    for row in rows:
        if row.id in first:
            raise ScenarioError(f"{name}: id {row.id!r} stands there twice")
        root = first.get(row.retry_of, row.id) if row.retry_of else row.id
        first[row.id] = root
        chains.setdefault(root, []).append(row)
    return [(chain[0], chain[1:]) for chain in chains.values()]


def schedule(rows: list[Row], scenario: Scenario) -> list[Arrival]:
    """Returns the trace as arrivals, one for each first try, timed from the first row of the trace."""
    load, name = scenario.load, scenario.load.trace.file
    speed, known = load.trace.speed, {method.name for method in scenario.methods}
    if not rows:
        raise ScenarioError(f"{name}: no rows")
    start = rows[0].at_ms
    classes = {load_class.method: number for number, load_class in reversed(list(enumerate(load.classes)))}
    arrivals = []
    for number, (first, retries) in enumerate(link(rows, name)):
        method = first.method or scenario.methods[0].name
        if method not in known:
            raise ScenarioError(f"{name}: id {first.id!r}: method {method!r} is not in the scenario")
        sent_at = (first.at_ms - start) / 1000 / speed
        if sent_at >= scenario.length_s:
            continue
        recorded = None
        if load.trace.retries == "recorded":
            recorded = [(row.at_ms - first.at_ms) / 1000 / speed for row in retries]
        class_number = classes.get(method, 0)
        work = first.work_ms or (load.classes[class_number].work_ms if load.classes else 1.0)
        arrivals.append(
            Arrival(
                number,
                round(sent_at, 6),
                first.origin % scenario.sidecars.count,
                class_number,
                work,
                method,
                first.body,
                recorded,
                first.wait_ms,
            )
        )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def write(path: str | Path, rows: list[Row]) -> None:
    """Writes the rows as CSV if the name ends in .csv, else as JSON Lines."""
    path = Path(path)
    if path.suffix == ".csv":
        with path.open("w", newline="", encoding="utf-8") as file:
            writer = csv.DictWriter(file, Row.__struct_fields__)
            writer.writeheader()
            writer.writerows(msgspec.to_builtins(row) | {"at_ms": row.at_ms, "id": row.id} for row in rows)
    else:
        path.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))


def rows_of(tries: list[dict]) -> list[Row]:
    """Returns a run's records of tries as a trace; latency counts from the first try's intended time."""
    firsts: dict[int, str] = {}
    rows = []
    for attempt in sorted(tries, key=lambda attempt: (attempt["rpc"], attempt["n"])):
        first_id = firsts.setdefault(attempt["rpc"], attempt["id"])
        rows.append(
            Row(
                at_ms=round(attempt["at"] * 1000, 3),
                id=attempt["id"],
                retry_of="" if first_id == attempt["id"] else first_id,
                method=attempt["method"],
                origin=attempt["origin"],
                work_ms=attempt["work"],
                wait_ms=attempt["wait"] * 1000,
                body=attempt["body"],
                status=attempt["status"],
                latency_ms=round((attempt["end"] - attempt["due"]) * 1000, 3),
            )
        )
    return sorted(rows, key=lambda row: row.at_ms)
