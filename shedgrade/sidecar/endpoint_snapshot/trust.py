"""How far each saved row is trusted at a start, without I/O: a pure function of the picture, its age and
settings.

Four ways, from most to least:
  AS_TOLD   confirmed seconds ago: used as discovery said.
  CAUTIOUS  older: one RPC at a time until it has shown itself sound, as an upstream that returns.
  LAST      very old: used only when nothing else is left, one at a time, then as CAUTIOUS once it has
  answered. NEVER     draining, removed, or its address told to another since: never used as ready.
"""

from msgspec import Struct

from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment, Picture, age

AS_TOLD, CAUTIOUS, LAST, NEVER = "as told", "cautious", "last resort", "never"


class Trusting(Struct, kw_only=True, forbid_unknown_fields=True):
    """Ages in seconds. `as_told_s`: a quiet list is confirmed every 20 s, when a watch ends; with a
    restart's few seconds on top, 30. `cautious_s`: an hour, the span of a release day. `ends`: answers that
    an upstream must give before it gets more than one RPC at a time: three in a row are no luck. `blind`:
    all as told (for comparison).
    """

    as_told_s: float = 30.0
    cautious_s: float = 3_600.0
    ends: int = 3
    blind: bool = False


class Verdict(Struct):
    """One saved row, what it is to be used as, and how long ago discovery confirmed it (s)."""

    told: dict
    way: str
    age: float


def weigh(picture: Picture, now: Moment, trusting: Trusting) -> list[Verdict]:
    """Every saved row with the way it may be used, in the order in which they were saved."""
    # A whole list, or an answer that nothing has changed, confirms all rows; a change confirms its own.
    whole = age(picture.confirmed, now) if picture.confirmed is not None else float("inf")
    latest: dict[str, tuple[Moment, str]] = {}
    for name, row in picture.rows.items():
        place = row.told.get("hostPort", "")
        # Of two rows at one address the one told later has it.
        if place not in latest or newer(row.confirmed, latest[place][0]):
            latest[place] = row.confirmed, name
    found = []
    for name, row in picture.rows.items():
        since = min(whole, age(row.confirmed, now))
        if (
            row.state != "in_service"
            or name in picture.gone
            or latest[row.told.get("hostPort", "")][1] != name
        ):
            way = NEVER
        elif trusting.blind or since <= trusting.as_told_s:
            way = AS_TOLD
        else:
            way = CAUTIOUS if since <= trusting.cautious_s else LAST
        found.append(Verdict(row.told, way, since))
    return found


def newer(one: Moment, other: Moment) -> bool:
    if one.boot and one.boot == other.boot:
        return one.since >= other.since
    return one.wall >= other.wall
