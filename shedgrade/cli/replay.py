"""Command `shedgrade replay FILE`: replays, explains or shortens a capture."""

import base64
import time
from pathlib import Path
from types import ModuleType
from typing import Annotated

import typer

from shedgrade import file_frames, load_balancing
from shedgrade.cli import fail
from shedgrade.sidecar.capture.explanation import explain, find_rpcs
from shedgrade.sidecar.capture.files import CaptureError, load
from shedgrade.sidecar.capture.older_decisions import find_decisions, load_decisions
from shedgrade.sidecar.capture.recorder import hash_id
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import KIND
from shedgrade.sidecar.capture.shortening import shorten
from shedgrade.sidecar.capture.state import StateError

MAX_PRINTED = 20  # differences that are printed; all are counted

TEST_TEMPLATE = '''"""Replays a capture. Written by `shedgrade replay --to-test`. {about}"""
import base64

from shedgrade.sidecar.capture.replay import Replay
from shedgrade import file_frames

CAPTURE = base64.b85decode(
{lines}
)


def test_the_same_decisions_are_made():
    _, records, damage = file_frames.decode_file(CAPTURE, b"C")
    assert not damage
    replay = Replay(records)
    differences = list(replay.run())
    assert not differences and replay.calls == {calls}
'''


def load_other_decisions(checkout: Path) -> ModuleType:
    """Loads the load balancing module of another checkout. Exits if the checkout has none."""
    path = find_decisions(checkout)
    if path is None:
        fail(ValueError(f"{checkout}: the checkout has no shedgrade/load_balancing"))
    return load_decisions(path)


def find_rpc_number(records: list[dict], text: str) -> int:
    """Returns the number of a request, given by id or number (`#12`). Exits if the capture lacks the id."""
    if text.startswith("#") and text[1:].isdigit():
        return int(text[1:])
    for name in (hash_id(text.encode()), text.encode()):
        found = find_rpcs(records, name)
        if found:
            return found[-1]
    fail(ValueError(f"the capture has no RPC {text!r} (use #N for RPC number N)"))
    return None


def replay(
    file: Annotated[Path, typer.Argument(help="Capture to replay.")],
    explained: Annotated[
        str, typer.Option("--explain", help="Explain the decisions about one RPC: its id, or #NUMBER.")
    ] = "",
    until: Annotated[float, typer.Option(help="Stop this many ms after the beginning of the capture.")] = 0.0,
    checkout: Annotated[
        Path | None, typer.Option("--with", help="Compare with the decisions of another checkout.")
    ] = None,
    to_test: Annotated[Path | None, typer.Option(help="Write a test that replays the capture.")] = None,
    shortest: Annotated[
        str,
        typer.Option(
            "--shorten",
            help="Shorten to the fewest RPCs with which this RPC, by id or #NUMBER, has the same outcome.",
        ),
    ] = "",
    out: Annotated[Path | None, typer.Option(help="File for the shortened capture.")] = None,
    times: Annotated[int, typer.Option(min=1, help="Replay this many times, each to the same results.")] = 1,
) -> None:
    """Replay a capture; print the first result that differs, and exit with 1 then."""
    try:
        records, damage = load(file)
    except CaptureError as error:
        fail(error)
    if damage:
        print(f"{file}: {damage}: only the records before the damage are read")
    start = next((one["now"] for one in records if "now" in one), 0)
    end_time = start + until * 10 if until else float("inf")
    module = load_other_decisions(checkout) if checkout is not None else load_balancing
    try:
        if shortest:
            number = find_rpc_number(records, shortest)
            records = shorten(records, number, module)
            print(
                f"{sum(len(one['r']) for one in records if one['k'] == 'rows')} calls left for RPC #{number}"
            )
            if out is not None:
                out.write_bytes(
                    file_frames.encode_header(KIND, 0)
                    + b"".join(file_frames.encode_record(one) for one in records)
                )
        if explained:
            print("\n".join(explain(records, find_rpc_number(records, explained), module, end_time)))
            return
        if checkout is not None:
            compare(records, module, end_time)
            return
        for _ in range(times):
            started_at = time.perf_counter()
            replayed = Replay(records, module, end_time=end_time)
            for difference in replayed.run():
                print(
                    f"call {difference.call_number}, {(difference.now - start) / 10:.1f} ms: "
                    f"{difference.call} of RPC {difference.rpc}: "
                    f"recorded {difference.recorded}, replayed {difference.replayed}"
                )
                print("\n".join(f"  {line}" for line in difference.state))
                raise typer.Exit(1)
            duration_s = time.perf_counter() - started_at
        print(
            f"{replayed.calls} calls, {replayed.left_out} before the first checkpoint, "
            f"{replayed.gaps} gaps: the same decisions"
            f"{f', {times} times' if times > 1 else ''} ({replayed.calls / duration_s:,.0f} calls a second)"
        )
    except StateError as error:
        fail(error)
    if to_test is not None:
        data = file_frames.encode_header(KIND, 0) + b"".join(
            file_frames.encode_record(one) for one in records
        )
        text = base64.b85encode(data).decode()
        lines = "\n".join(f"    {text[place : place + 96]!r}" for place in range(0, len(text), 96))
        to_test.write_text(
            TEST_TEMPLATE.format(about=f"From {file.name}.", lines=lines, calls=replayed.calls)
        )
        print(f"{to_test}: {len(data)} bytes")


def compare(records: list[dict], module: ModuleType, end_time: float) -> None:
    """Prints the results that differ with another load balancing module; skips calls that it can't make."""
    replayed = Replay(records, module, end_time=end_time, lenient=True)
    count = decision_count = 0
    for difference in replayed.run():
        count += 1
        decision_count += difference.call == "decide"
        if count <= MAX_PRINTED:
            print(
                f"call {difference.call_number}: {difference.call} of RPC {difference.rpc}: "
                f"recorded {difference.recorded}, other {difference.replayed}"
            )
    print(
        f"{replayed.calls} calls, {count} answers differ, {decision_count} of them decisions; "
        f"{replayed.left_out} calls could not be made with the other module"
    )
