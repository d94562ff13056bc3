"""The snapshot, without I/O: the last description of each upstream by discovery, its time, and the learned
state.

A snapshot is built by applying records and is written as records: it depends only on their sequence, not on
the files that held them. Times are Unix milliseconds of the wall clock, together with the time since boot
where the kernel names the boot. The keys of the records are stored on disk and must not change.
"""

from math import inf
from typing import Any

from msgspec import Struct, structs

REMOVALS_KEPT_MS = 7 * 24 * 3_600_000  # a week, longer than a saved list is of use
MAX_REMOVALS = 20_000  # the oldest are forgotten first
STATES = ("in_service", "terminating", "terminated")

Record = dict[str, Any]  # one record of a file; `k` is its kind
Entry = dict[str, Any]  # one upstream in the format of discovery


class Moment(Struct, frozen=True):
    """A point in time by both clocks; stored on disk as an array of the fields in this order.

    Attributes:
        wall_ms: Unix time, in milliseconds.
        boot_id: the identifier of the machine's boot; "" if the kernel does not name it.
        since_boot_ms: time since that boot, in milliseconds.
    """

    wall_ms: int
    boot_id: str = ""
    since_boot_ms: int = 0


class EndpointState(Struct):
    """One upstream as discovery described it, and when discovery last confirmed it."""

    entry: Entry
    confirmed_at: Moment

    @property
    def lifecycle(self) -> str:
        """One of STATES."""
        return self.entry.get("lifecycle", "in_service")


def age_s(then: Moment, now: Moment) -> float:
    """Seconds from `then` to `now`; inf where the clocks do not show the age.

    Guards against a wall clock that jumped. Within one boot the time since boot is used. Across boots only
    the wall clock is left: if it now stands before `then` it has jumped back, and the age is unknown, not
    small.
    """
    if then.boot_id and then.boot_id == now.boot_id:
        return max(0.0, (now.since_boot_ms - then.since_boot_ms) / 1000)
    if now.wall_ms < then.wall_ms:
        return inf
    return (now.wall_ms - then.wall_ms) / 1000


class Snapshot:
    """Everything that is kept across restarts.

    Attributes:
        endpoints: by id, the endpoints in the list.
        removed: by id, when an endpoint that is no longer in the list was removed, the oldest first. An id is
            not in `endpoints` as well, unless the snapshot was recovered from several files.
        generation: the generation of the list.
        confirmed_at: when discovery last gave a valid answer; None if never.
        learned, learned_at: the exported state of the balancer, and when it was saved; either both or neither
            is None.
        quota: the counts and debts of the quotas, with their own times.
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
        """Applies one record. KeyError, TypeError or ValueError if it is invalid."""
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
        """Applies an answer of discovery: the complete list, or its changes."""
        if complete:
            listed = {entry["instanceId"] for entry in entries}
            for name in [name for name in self.endpoints if name not in listed]:
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
        """Removes an endpoint from the list and remembers the time of its removal."""
        self.endpoints.pop(name, None)
        self.removed.pop(name, None)
        self.removed[name] = at
        while len(self.removed) > MAX_REMOVALS:
            del self.removed[next(iter(self.removed))]

    def confirm(self, at: Moment, generation: int) -> None:
        """Records an answer of discovery; one without changes confirms every endpoint in the list."""
        self.generation = generation
        self.confirmed_at = at

    def records(self, now: Moment) -> list[Record]:
        """The whole snapshot as records, without the removals older than REMOVALS_KEPT_MS."""
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
        """AssertionError if the fields contradict each other."""
        assert (self.learned is None) == (self.learned_at is None)
        assert len(self.removed) <= MAX_REMOVALS
        assert all(one.entry["instanceId"] == name for name, one in self.endpoints.items())
        assert not set(self.removed) & set(self.endpoints)


def parse_moment(fields: list[Any]) -> Moment:
    """Decodes a Moment from its array. TypeError or ValueError if it is not one."""
    wall_ms, boot_id, since_boot_ms = fields
    return Moment(int(wall_ms), str(boot_id), int(since_boot_ms))
