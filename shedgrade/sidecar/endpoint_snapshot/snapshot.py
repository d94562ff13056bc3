"""The snapshot, without I/O: what discovery last said of each upstream, when, and what was learned of it.

It is told by records and gives records: a snapshot is the sum of its records, whatever file they stood in.
Times are Unix milliseconds of the wall clock, beside the boot's own clock where there is one. The keys of the
records are on disk: they stay.
"""

from math import inf
from typing import Any

from msgspec import Struct, structs

REMOVALS_KEPT_MS = 7 * 24 * 3_600_000  # a week, longer than any list is of use
MAX_REMOVALS = 20_000  # remembered, the oldest go first
STATES = ("in_service", "terminating", "terminated")

Record = dict[str, Any]  # one record of a file; `k` names its kind
Entry = dict[str, Any]  # one upstream in discovery's form


class Moment(Struct, frozen=True):
    """A point in time by both clocks; on disk by position."""

    wall_ms: int
    boot_id: str = ""  # of the machine; "" if the kernel does not name it
    since_boot_ms: int = 0


class EndpointState(Struct):
    """One upstream as discovery described it, and when that was last confirmed."""

    entry: Entry
    confirmed_at: Moment

    @property
    def lifecycle(self) -> str:
        """One of STATES."""
        return self.entry.get("lifecycle", "in_service")


def age_s(then: Moment, now: Moment) -> float:
    """Seconds from then to now; inf where the clocks cannot tell.

    Guards against a wall clock that jumped: within one boot its own clock counts. Across boots only the wall
    clock is left, and one that now stands before `then` has jumped back: the age is unknown, not small.
    """
    if then.boot_id and then.boot_id == now.boot_id:
        return max(0.0, (now.since_boot_ms - then.since_boot_ms) / 1000)
    if now.wall_ms < then.wall_ms:
        return inf
    return (now.wall_ms - then.wall_ms) / 1000


class Snapshot:
    """Everything that is kept across restarts.

    Attributes:
        endpoints: by id, those that the list holds.
        removed: by id, when those that it holds no more were removed, the oldest first; none is in
            `endpoints` unless a file was put together from parts.
        generation: of the list.
        confirmed_at: when discovery last answered anything sound; None if never.
        learned, learned_at: the balancer's state as it was exported, and when; both None or neither.
        quota: what quotas have counted and owe, with its own moments.
        owner: the name of the sidecar; "" before its first record.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.removed: dict[str, Moment] = {}
        self.generation = 0
        self.confirmed_at: Moment | None = None
        self.learned: dict[str, Any] | None = None
        self.learned_at: Moment | None = None
        self.quota: dict[str, Any] | None = None
        self.owner = ""

    # --- records

    def apply(self, record: Record) -> None:
        """Takes one record. KeyError, TypeError or ValueError if it is none of ours."""
        match record["k"]:
            case "owner":
                self.owner = str(record["name"])
            case "list":
                at = parse_moment(record["at"])
                self.apply_list(record["rows"], record["whole"], record["generation"], at)
            case "row":
                entry = dict(record["told"])
                self.endpoints[str(entry["instanceId"])] = EndpointState(entry, parse_moment(record["at"]))
            case "gone":
                self.removed[str(record["id"])] = parse_moment(record["at"])
            case "confirmed":
                self.confirm(parse_moment(record["at"]), record["generation"])
            case "state":
                self.learned = dict(record["state"])
                self.learned_at = parse_moment(record["at"])
            case "quota":
                self.quota = dict(record["state"])
            case kind:
                raise ValueError(f"record {kind!r} is unknown")

    def apply_list(self, entries: list[Entry], complete: bool, generation: int, at: Moment) -> None:
        """What discovery said: all of the list, or what changed."""
        if complete:
            named = {entry["instanceId"] for entry in entries}
            for name in [name for name in self.endpoints if name not in named]:
                self.remove(name, at)
        for entry in entries:
            name = entry["instanceId"]
            lifecycle = entry.get("lifecycle", "in_service")
            if lifecycle not in STATES:
                raise ValueError(f"lifecycle {lifecycle!r}")
            if lifecycle == "terminated":
                self.remove(name, at)
                continue
            known = self.endpoints.get(name)
            self.endpoints[name] = EndpointState({**(known.entry if known else {}), **entry}, at)
            self.removed.pop(name, None)
        self.confirm(at, generation)

    def remove(self, name: str, at: Moment) -> None:
        """The list holds it no more; that is remembered."""
        self.endpoints.pop(name, None)
        self.removed.pop(name, None)
        self.removed[name] = at
        while len(self.removed) > MAX_REMOVALS:
            del self.removed[next(iter(self.removed))]

    def confirm(self, at: Moment, generation: int) -> None:
        """An answer without changes confirms every endpoint there is."""
        self.generation = generation
        self.confirmed_at = at

    def records(self, now: Moment) -> list[Record]:
        """All of it as records; removals older than they are kept for are left out."""
        found: list[Record] = [{"k": "owner", "name": self.owner}]
        found += [
            {"k": "row", "told": one.entry, "at": structs.astuple(one.confirmed_at)}
            for one in self.endpoints.values()
        ]
        found += [
            {"k": "gone", "id": name, "at": structs.astuple(at)}
            for name, at in self.removed.items()
            if now.wall_ms - at.wall_ms < REMOVALS_KEPT_MS
        ]
        if self.confirmed_at is not None:
            confirmed_at = structs.astuple(self.confirmed_at)
            found.append({"k": "confirmed", "at": confirmed_at, "generation": self.generation})
        if self.learned is not None and self.learned_at is not None:
            found.append({"k": "state", "state": self.learned, "at": structs.astuple(self.learned_at)})
        if self.quota is not None:
            found.append({"k": "quota", "state": self.quota})
        return found

    def check_invariants(self) -> None:
        """AssertionError if the parts contradict each other."""
        assert (self.learned is None) == (self.learned_at is None)
        assert len(self.removed) <= MAX_REMOVALS
        assert all(one.entry["instanceId"] == name for name, one in self.endpoints.items())
        assert not set(self.removed) & set(self.endpoints)


def parse_moment(fields: list[Any]) -> Moment:
    """A moment by position. TypeError or ValueError if it is none."""
    wall_ms, boot_id, since_boot_ms = fields
    return Moment(int(wall_ms), str(boot_id), int(since_boot_ms))
