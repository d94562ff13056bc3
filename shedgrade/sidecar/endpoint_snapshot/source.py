"""The saved list as a source of the list, and as the keeper of what discovery tells. The edge: it decides
nothing.

    begin()   at the start: what to list, whom to doubt, what was learnt
    told()    each thing that discovery said
    keep()    what the decisions have learnt, now and then
    close()   at the exit
"""

from collections import Counter
from pathlib import Path

from loguru import logger
from msgspec import Struct, structs

from shedgrade.sidecar.endpoint_snapshot.config import Saved
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.snapshot import age
from shedgrade.sidecar.endpoint_snapshot.store import Store
from shedgrade.sidecar.endpoint_snapshot.trust import AS_TOLD, CAUTIOUS, LAST, NEVER, weigh
from shedgrade.sidecar.endpoint_snapshot.wall_clock import Wall
from shedgrade.sidecar.learned_state_file import from_disk, to_disk
from shedgrade.upstream_pool.errors import ConfigError


class Beginning(Struct):
    """`message`: a list in discovery's form. `doubts`: ids by way. `state`, `state_age`: what was learnt,
    if any."""

    message: dict
    doubts: dict[str, list[str]]
    state: dict | None
    state_age: float


def say(level: str, line: str) -> None:
    logger.log(level, "{}", line)


class SavedList:
    """One sidecar's saved list."""

    def __init__(self, config: Saved, owner: str, settings: dict, files=None, wall=None) -> None:
        self.config, self.wall = config, wall or Wall()
        self.zones, self.shapes = list(settings["zones"]), list(settings.get("shapes", []))
        self.store = Store(
            files or Files(Path(config.folder)), owner, self.wall.now, config.sync, config.sync_s, say
        )
        self.rows: dict[str, dict] = {}  # what discovery has said, for a snapshot after a loss
        self.generation = 0

    def open(self) -> None:
        """ConfigError if another process has the folder; anything else is told in one line and gone on
        without."""
        try:
            self.recovered = self.store.open()
        except LockedError as locked:
            raise ConfigError(f"saved.folder: {locked}") from locked
        self.store.reread = self.everything

    def begin(self) -> Beginning | None:
        """What to start from; None if nothing saved can be used."""
        picture, now = self.recovered.picture, self.wall.now()
        verdicts = weigh(picture, now, self.config.trust)
        usable = [verdict for verdict in verdicts if verdict.way != NEVER]
        counts = Counter(verdict.way for verdict in verdicts)
        if not usable:
            if verdicts:
                logger.warning("saved list: none of {} rows can be used", len(verdicts))
            return None
        ages = sorted(verdict.age for verdict in usable)
        line = "saved list: {} rows, confirmed {:.0f} to {:.0f} s ago: {}"
        told = ", ".join(f"{counts[way]} {way}" for way in (AS_TOLD, CAUTIOUS, LAST, NEVER) if counts[way])
        logger.log("WARNING" if counts[LAST] else "INFO", line, len(verdicts), ages[0], ages[-1], told)
        doubts: dict[str, list[str]] = {CAUTIOUS: [], LAST: []}
        for verdict in usable:
            if verdict.way in doubts:
                doubts[verdict.way].append(verdict.told["instanceId"])
        state_age = age(picture.state_at, now) if picture.state_at is not None else float("inf")
        return Beginning(
            {
                "generation": picture.generation,
                "reset": True,
                "instances": [verdict.told for verdict in usable],
            },
            doubts,
            picture.state if state_age < float("inf") else None,
            state_age,
        )

    def start(self) -> None:
        self.store.start()

    # --- what discovery says

    def told(self, message: dict) -> None:
        """A sound answer of discovery, changes or none: either confirms the list."""
        at = structs.astuple(self.wall.now())
        rows, whole, self.generation = message["instances"], message["reset"], message["generation"]
        if whole:
            self.rows = {}
        for entry in rows:
            name = entry["instanceId"]
            if entry.get("lifecycle") == "terminated":
                self.rows.pop(name, None)
            else:
                self.rows[name] = {**self.rows.get(name, {}), **entry}
        if rows or whole:
            self.store.put(
                {"k": "list", "rows": rows, "whole": whole, "generation": self.generation, "at": at},
                300 + 300 * len(rows),
            )
        else:
            self.store.put({"k": "confirmed", "generation": self.generation, "at": at})

    def everything(self) -> list[dict]:
        """The list as it stands, as one record: read by the store's thread after it had to drop records."""
        rows = list(self.rows.copy().values())
        return [
            {
                "k": "list",
                "rows": rows,
                "whole": True,
                "generation": self.generation,
                "at": structs.astuple(self.wall.now()),
            }
        ]

    # --- what was learnt

    def keep(self, state: dict, ids: list[str]) -> None:
        self.store.put(
            {
                "k": "state",
                "state": to_disk(state, ids, self.zones, self.shapes),
                "at": structs.astuple(self.wall.now()),
            },
            500 + 60 * len(state["ups"]),
        )

    def keep_quota(self, state: dict) -> None:
        """What quotas have counted and owe."""
        self.store.put({"k": "quota", "state": state}, 500 + 100 * len(state["counted"]))

    def learnt(self, beginning: Beginning, known: dict[str, int]) -> dict | None:
        if beginning.state is None:
            return None
        return from_disk(beginning.state, known, self.zones, self.shapes)

    def close(self) -> None:
        self.store.close()
