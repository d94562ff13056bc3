"""From what lies in a folder to the newest sound picture. Reads through `Files`, decides without more I/O.

A folder holds `snapshot-N` and `log-N`: the log goes on from the snapshot of its number. N and N-1 are
kept. What is not sound is named for being set aside; nothing is ever deleted here.
"""

import re

from msgspec import Struct, field

from shedgrade import file_frames
from shedgrade.sidecar.endpoint_snapshot.snapshot import Picture

NAME = re.compile(r"(snapshot|log)-(\d{1,18})$")


class Recovered(Struct):
    """`picture`: the newest sound one, empty if there is none. `number`: the highest number used in the
    folder.

    `tail`: bytes of the last log if it is sound to its end, else -1. `aside`: (file, why) of what is
    damaged. `newer`: files of a later version, which must not be written over. `said`: one line for the
    log, "" if all was in order.
    """

    picture: Picture
    number: int = 0
    records: int = 0
    tail: int = -1
    aside: list[tuple[str, str]] = field(default_factory=list)
    newer: list[str] = field(default_factory=list)
    said: str = ""


def rebuild(records: list[dict], picture: Picture) -> str:
    """Applies records up to the first that is none of ours; why it stopped, or ""."""
    for number, record in enumerate(records):
        try:
            picture.apply(record)
        except (KeyError, TypeError, ValueError, AttributeError) as wrong:
            return f"record {number} is not one of ours ({type(wrong).__name__}: {wrong})"
    return ""


def recover(files, owner: str) -> Recovered:
    """The newest sound state of this owner. OSError only if the folder itself can't be listed."""
    found = Recovered(Picture())
    by: dict[str, dict[int, str]] = {"snapshot": {}, "log": {}}
    for name in files.names():
        match = NAME.match(name)
        if match:
            by[match[1]][int(match[2])] = name
            found.number = max(found.number, int(match[2]))
    best = None
    for number in sorted(by["snapshot"], reverse=True):
        name = by["snapshot"][number]
        picture = Picture()
        try:
            told, records, why = file_frames.read(files.read(name), file_frames.SNAPSHOT)
            if told != number:
                raise file_frames.FormatError(f"says it is number {told}")
            # A snapshot is written whole before it gets its name: one that is not whole is damaged.
            end = records.pop() if records else {}
            why = why or ("" if end == {"k": "end"} else "no end") or rebuild(records, picture)
            if why:
                raise file_frames.FormatError(why)
        except file_frames.NewerVersionError:
            found.newer.append(name)
            continue
        except (file_frames.FormatError, OSError) as wrong:
            found.aside.append((name, getattr(wrong, "strerror", None) or str(wrong)))
            continue
        if picture.owner and picture.owner != owner:
            found.aside.append((name, f"belongs to {picture.owner!r}"))
            continue
        best = number
        found.picture, found.records = picture, len(records)
        break
    logs = sorted(number for number in by["log"] if best is None or number >= best)
    begun, size = best, -1  # the snapshot that the picture began with; the last log's sound length
    for number in logs:
        name = by["log"][number]
        found.tail = -1
        try:
            data = files.read(name)
            _, records, why = file_frames.read(data, file_frames.LOG)
        except file_frames.NewerVersionError:
            found.newer.append(name)
            size = -1
            continue
        except (file_frames.FormatError, OSError) as wrong:
            found.aside.append((name, getattr(wrong, "strerror", None) or str(wrong)))
            size = -1
            continue
        # A log goes on from its snapshot, or from the whole of the log before. Without either, what it says
        # lacks
        # its beginning, and only a record that tells a whole list can be begun with.
        first = records[0] if records and records[0].get("k") == "owner" else {}
        if first and first.get("name") != owner:
            found.aside.append((name, f"belongs to {first.get('name')!r}"))
            size = -1
            continue
        follows = number == begun or (
            size >= 0 and first.get("after") == number - 1 and first.get("size") == size
        )
        if not follows:
            start = next(
                (
                    place
                    for place, record in enumerate(records)
                    if record.get("k") == "list" and record.get("whole") is True
                ),
                None,
            )
            if start is None or first.get("name") != owner:
                size = -1
                continue
            found.picture = Picture()
            found.picture.owner = owner
            records = records[start:]
        stopped = rebuild(records, found.picture)
        found.records += len(records)
        why = why or stopped
        if why:
            found.aside.append((name, why))
        size = found.tail = -1 if why else len(data)
    found.picture.owner = owner
    if found.aside or found.newer:
        parts = [f"{name}: {why}" for name, why in found.aside] + [
            f"{name}: of a newer version" for name in found.newer
        ]
        found.said = "; ".join(parts)
    return found
