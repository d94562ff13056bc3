"""The saved picture, without I/O: what discovery last said of each upstream, when, and what was learnt of it.

It is told by records and gives records: a picture is the sum of its records, whatever file they stood in.
Times are Unix milliseconds of the wall clock, beside the boot's own clock where there is one.
"""

from math import inf

from msgspec import Struct, structs

GONE_KEPT = 7 * 24 * 3_600_000  # ms for which a removal is remembered: a week, longer than any list is of use
MOST_GONE = 20_000  # removals remembered at most, the oldest go first
STATES = ("in_service", "terminating", "terminated")


class Moment(Struct, frozen=True):
    """A point in time: `wall` in Unix ms; `boot` names this boot of the machine, `since` ms within it."""

    wall: int
    boot: str = ""
    since: int = 0


class Row(Struct):
    """One upstream as discovery told it (`told`, discovery's own entry) and when it was last confirmed."""

    told: dict
    confirmed: Moment

    @property
    def state(self) -> str:
        return self.told.get("lifecycle", "in_service")


def age(then: Moment, now: Moment) -> float:
    """Seconds from then to now; inf where the clocks cannot tell.

    Guards against a wall clock that jumped: within one boot its own clock counts. Across boots only the wall
    clock is left, and one that now stands before `then` has jumped back: the age is unknown, not small.
    """
    if then.boot and then.boot == now.boot:
        return max(0.0, (now.since - then.since) / 1000)
    if now.wall < then.wall:
        return inf
    return (now.wall - then.wall) / 1000


class Picture:
    """Rows by id, removals, the list's generation, and the module's state as it was exported."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.gone: dict[str, Moment] = {}
        self.generation = 0
        self.confirmed: Moment | None = None  # when discovery last answered anything sound
        self.state: dict | None = None
        self.state_at: Moment | None = None
        self.quota: dict | None = None  # what quotas have counted and owe, with its own moments
        self.owner = ""

    # --- records

    def apply(self, record: dict) -> None:
        """Takes one record. KeyError, TypeError or ValueError if it is none of ours."""
        kind = record["k"]
        if kind == "owner":
            self.owner = str(record["name"])
        elif kind == "list":
            self.listed(record["rows"], record["whole"], record["generation"], moment(record["at"]))
        elif kind == "row":
            told = dict(record["told"])
            self.rows[str(told["instanceId"])] = Row(told, moment(record["at"]))
        elif kind == "gone":
            self.gone[str(record["id"])] = moment(record["at"])
        elif kind == "confirmed":
            self.confirm(moment(record["at"]), record["generation"])
        elif kind == "state":
            self.state, self.state_at = dict(record["state"]), moment(record["at"])
        elif kind == "quota":
            self.quota = dict(record["state"])
        else:
            raise ValueError(f"record {kind!r} is unknown")

    def listed(self, told: list[dict], whole: bool, generation: int, at: Moment) -> None:
        """What discovery said: all of the list, or what changed."""
        if whole:
            named = {entry["instanceId"] for entry in told}
            for name in [name for name in self.rows if name not in named]:
                self.remove(name, at)
        for entry in told:
            name = entry["instanceId"]
            state = entry.get("lifecycle", "in_service")
            if state not in STATES:
                raise ValueError(f"lifecycle {state!r}")
            if state == "terminated":
                self.remove(name, at)
                continue
            known = self.rows.get(name)
            self.rows[name] = Row({**(known.told if known else {}), **entry}, at)
            self.gone.pop(name, None)
        self.confirm(at, generation)

    def remove(self, name: str, at: Moment) -> None:
        self.rows.pop(name, None)
        self.gone.pop(name, None)
        self.gone[name] = at
        while len(self.gone) > MOST_GONE:
            del self.gone[next(iter(self.gone))]

    def confirm(self, at: Moment, generation: int) -> None:
        """An answer without changes confirms every row there is."""
        self.generation, self.confirmed = generation, at

    def records(self, now: Moment) -> list[dict]:
        """The whole picture as records; removals older than they are kept for are left out."""
        found: list[dict] = [{"k": "owner", "name": self.owner}]
        found += [
            {"k": "row", "told": row.told, "at": structs.astuple(row.confirmed)} for row in self.rows.values()
        ]
        found += [
            {"k": "gone", "id": name, "at": structs.astuple(at)}
            for name, at in self.gone.items()
            if now.wall - at.wall < GONE_KEPT
        ]
        if self.confirmed is not None:
            found.append(
                {"k": "confirmed", "at": structs.astuple(self.confirmed), "generation": self.generation}
            )
        if self.state is not None:
            found.append({"k": "state", "state": self.state, "at": structs.astuple(self.state_at)})
        if self.quota is not None:
            found.append({"k": "quota", "state": self.quota})
        return found


def moment(fields: list) -> Moment:
    wall, boot, since = fields
    return Moment(int(wall), str(boot), int(since))
