"""How far each saved endpoint is trusted at a start, without I/O: a pure function of the snapshot, its age
and settings.

Four levels, from most to least:
  AS_TOLD      confirmed seconds ago: used as discovery said.
  CAUTIOUS     older: one request at a time until it has shown itself sound, as an upstream that returns.
  LAST_RESORT  very old: used only when nothing else is left, one at a time, then as CAUTIOUS once it has
               answered.
  NEVER        draining, removed, or its address given to another since: never used as ready.
"""

from math import inf

from msgspec import Struct

from shedgrade.sidecar.endpoint_snapshot.snapshot import Entry, Moment, Snapshot, age_s

AS_TOLD = "as told"
CAUTIOUS = "cautious"
LAST_RESORT = "last resort"
NEVER = "never"


class Trusting(Struct, kw_only=True, forbid_unknown_fields=True):
    """Ages in seconds; the table `[saved.trust]`. `as_told_s`: a quiet list is confirmed every 20 s, when a
    watch ends; with a restart's few seconds on top, 30. `cautious_s`: an hour, the span of a release day.
    `ends`: answers that an upstream must give before it gets more than one request at a time: three in a row
    are no luck. `blind`: all as told (for comparison).
    """

    as_told_s: float = 30.0
    cautious_s: float = 3_600.0
    ends: int = 3
    blind: bool = False


class Verdict(Struct):
    """One saved endpoint, how far it is trusted, and how long ago discovery confirmed it."""

    entry: Entry
    level: str
    age_s: float


def assess(snapshot: Snapshot, now: Moment, trusting: Trusting) -> list[Verdict]:
    """Every saved endpoint with its level, in the order in which they were saved."""
    # A complete list, or an answer that nothing has changed, confirms all; a change confirms its own.
    list_age_s = age_s(snapshot.confirmed_at, now) if snapshot.confirmed_at is not None else inf
    holders = address_holders(snapshot)
    found = []
    for name, endpoint in snapshot.endpoints.items():
        confirmed_s = min(list_age_s, age_s(endpoint.confirmed_at, now))
        usable = endpoint.lifecycle == "in_service" and name not in snapshot.removed
        if not usable or holders[endpoint.entry.get("hostPort", "")] != name:
            level = NEVER
        elif trusting.blind or confirmed_s <= trusting.as_told_s:
            level = AS_TOLD
        else:
            level = CAUTIOUS if confirmed_s <= trusting.cautious_s else LAST_RESORT
        found.append(Verdict(endpoint.entry, level, confirmed_s))
    return found


def address_holders(snapshot: Snapshot) -> dict[str, str]:
    """By address, the id that has it: of two endpoints at one address the one described later."""
    holders: dict[str, str] = {}
    for name, endpoint in snapshot.endpoints.items():
        address = endpoint.entry.get("hostPort", "")
        known = holders.get(address)
        if known is None or is_newer(endpoint.confirmed_at, snapshot.endpoints[known].confirmed_at):
            holders[address] = name
    return holders


def is_newer(one: Moment, other: Moment) -> bool:
    """Whether it is not before the other, by the boot's clock where both have the same."""
    if one.boot_id and one.boot_id == other.boot_id:
        return one.since_boot_ms >= other.since_boot_ms
    return one.wall_ms >= other.wall_ms
