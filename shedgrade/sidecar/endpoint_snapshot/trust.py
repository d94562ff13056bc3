"""How far each saved endpoint is trusted at a start: a pure function of the snapshot, its age and the
settings.

There are four levels, from the highest to the lowest:
  AS_TOLD      confirmed seconds ago: used as discovery described it.
  CAUTIOUS     older: gets one request at a time until it has passed probation, as an ejected upstream does
               when it returns.
  LAST_RESORT  very old: used only when no other upstream is left, one request at a time; after its first
               answer treated as CAUTIOUS.
  NEVER        draining, removed, or its address was given to another endpoint since: never used as ready.
"""

from math import inf

from msgspec import Struct

from shedgrade.sidecar.endpoint_snapshot.snapshot import Entry, Moment, Snapshot, age_s

AS_TOLD = "as told"
CAUTIOUS = "cautious"
LAST_RESORT = "last resort"
NEVER = "never"


class TrustConfig(Struct, kw_only=True, forbid_unknown_fields=True):
    """The table `[saved.trust]`.

    Attributes:
        as_told_s: the age up to which an endpoint is used as discovery described it, in seconds. A list
            without changes is confirmed every 20 s, when a watch ends; with the few seconds of a restart, 30.
        cautious_s: the age up to which an endpoint is CAUTIOUS, in seconds; an hour is the span of a release
            day.
        ends: the answers that an upstream must give before it gets more than one request at a time; three in
            a row are no coincidence.
        blind: every usable endpoint is AS_TOLD, whatever its age (for comparison).
    """

    as_told_s: float = 30.0
    cautious_s: float = 3_600.0
    ends: int = 3
    blind: bool = False


class Verdict(Struct):
    """One saved endpoint, its level of trust, and the seconds since discovery confirmed it."""

    entry: Entry
    level: str
    age_s: float


def assess(snapshot: Snapshot, now: Moment, trusting: TrustConfig) -> list[Verdict]:
    """Returns every saved endpoint with its level, in the order of the snapshot."""
    # A complete list, or an answer without changes, confirms every endpoint; a change only those it names.
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
    """Maps each address to the id that holds it: of two endpoints at one address, the one confirmed later."""
    holders: dict[str, str] = {}
    for name, endpoint in snapshot.endpoints.items():
        address = endpoint.entry.get("hostPort", "")
        known = holders.get(address)
        if known is None or is_not_older(endpoint.confirmed_at, snapshot.endpoints[known].confirmed_at):
            holders[address] = name
    return holders


def is_not_older(one: Moment, other: Moment) -> bool:
    """Whether `one` is not before `other`; compares the time since boot if both are of the same boot."""
    if one.boot_id and one.boot_id == other.boot_id:
        return one.since_boot_ms >= other.since_boot_ms
    return one.wall_ms >= other.wall_ms
