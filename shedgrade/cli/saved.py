"""The commands `shedgrade saved show|check|compact FOLDER`."""

import os
from pathlib import Path
from typing import Annotated

import typer

from shedgrade.cli import fail
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import Recovered, recover
from shedgrade.sidecar.endpoint_snapshot.snapshot import age_s
from shedgrade.sidecar.endpoint_snapshot.store import Store, StoreEvent
from shedgrade.sidecar.endpoint_snapshot.trust import TrustConfig, assess
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock

app = typer.Typer(
    help="Inspect the folders in which sidecars save their endpoint lists.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
Folder = Annotated[Path, typer.Argument(help="The folder that [saved] names.")]
Owner = Annotated[str, typer.Option(help="The sidecar's name; by default the owner named in the folder.")]


def owner_of(files: Files) -> str:
    """Returns the owner named in the newest readable snapshot, or "" if there is none."""
    from shedgrade import file_frames

    for name in sorted(
        (name for name in files.list_names() if name.startswith("snapshot-")),
        key=lambda name: (len(name), name),
        reverse=True,
    ):
        try:
            _, records, _ = file_frames.decode_file(files.read(name), file_frames.SNAPSHOT)
        except (file_frames.FormatError, OSError):
            continue
        if records and records[0].get("k") == "owner":
            return str(records[0]["name"])
    return ""


def read(folder: Path, owner: str) -> Recovered:
    """Recovers the state as a start would. Exits with status 2 if the folder can't be read."""
    files = Files(folder)
    try:
        return recover(files, owner or owner_of(files))
    except OSError as failure:
        fail(ValueError(f"{folder}: {failure.strerror}"))


@app.command()
def show(folder: Folder, owner: Owner = "") -> None:
    """Show what a start would recover: each endpoint with its age and its level of trust."""
    found = read(folder, owner)
    snapshot, now = found.snapshot, WallClock().now()
    confirmed = f"{age_s(snapshot.confirmed_at, now):.0f} s ago" if snapshot.confirmed_at else "never"
    learned = f"saved {age_s(snapshot.learned_at, now):.0f} s ago" if snapshot.learned_at else "none"
    print(
        f"owner {snapshot.owner or '-'}, generation {snapshot.generation}, confirmed {confirmed}, "
        f"{len(snapshot.endpoints)} rows, {len(snapshot.removed)} removals remembered, learnt: {learned}"
    )
    for verdict in assess(snapshot, now, TrustConfig()):
        entry = verdict.entry
        print(
            f"{entry['instanceId']}  {entry.get('hostPort', '-')}  {entry.get('zone', '-')}  "
            f"{entry.get('lifecycle', '-')}  {verdict.age_s:.0f} s  {verdict.level}"
        )


@app.command()
def check(folder: Folder, owner: Owner = "") -> None:
    """Read every file; exit 0 if all are valid, 1 with a line for each that is not. Changes nothing."""
    found = read(folder, owner)
    for damaged in found.damaged:
        print(f"{damaged.name}: {damaged.reason}")
    for name in found.newer:
        print(f"{name}: of a newer version")
    kept = [name for name in os.listdir(folder) if ".damaged" in name]
    print(
        f"{folder}: {found.records} records, {len(found.snapshot.endpoints)} rows, "
        f"{len(found.damaged)} files damaged, "
        f"{len(kept)} set aside earlier"
    )
    raise typer.Exit(1 if found.damaged or found.newer else 0)


def print_event(event: StoreEvent) -> None:
    """Prints an event of the store."""
    print(f"{event.event}: {event.error}" if event.error else event.event)


@app.command()
def compact(folder: Folder, owner: Owner = "") -> None:
    """Write a new snapshot and remove the files that it replaces; fails while a sidecar uses the folder."""
    files = Files(folder)
    if not folder.is_dir():
        fail(ValueError(f"{folder}: no such folder"))
    before = sum((folder / name).stat().st_size for name in files.list_names())
    store = Store(files, owner or owner_of(files), WallClock().now, report=print_event)
    try:
        store.open()
        if not store.broken:
            store.rotate_files()
    except LockedError as error:
        fail(error)
    except OSError as failure:
        fail(ValueError(f"{folder}: {failure.strerror}"))
    finally:
        files.release()
    after = sum((folder / name).stat().st_size for name in files.list_names())
    print(f"{folder}: {before} bytes before, {after} after")
