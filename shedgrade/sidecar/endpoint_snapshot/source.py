"""The saved list as a source of the list, and as the keeper of what discovery says. The edge: it decides
nothing."""

from collections import Counter
from math import inf
from pathlib import Path
from typing import Any

from loguru import logger
from msgspec import Struct, structs

from shedgrade.sidecar.endpoint_snapshot.config import Saved
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import Recovered
from shedgrade.sidecar.endpoint_snapshot.snapshot import Entry, Record, Snapshot, age_s
from shedgrade.sidecar.endpoint_snapshot.store import Store, StoreEvent
from shedgrade.sidecar.endpoint_snapshot.trust import CAUTIOUS, LAST_RESORT, NEVER, Verdict, assess
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock
from shedgrade.sidecar.learned_state_file import from_disk, to_disk
from shedgrade.upstream_pool.errors import ConfigError

# About how many bytes a record has, and each entry in it.
LIST_BYTES, LIST_ENTRY_BYTES = 300, 300
LEARNED_BYTES, LEARNED_ENTRY_BYTES = 500, 60
QUOTA_BYTES, QUOTA_ENTRY_BYTES = 500, 100


class InitialList(Struct):
    """What to start from. `message`: a list in discovery's form. `doubted`: ids by level of trust, of those
    that are not used as told. `learned`, `learned_age_s`: what was learned, if any."""

    message: dict[str, Any]
    doubted: dict[str, list[str]]
    learned: dict[str, Any] | None
    learned_age_s: float


def log_event(event: StoreEvent) -> None:
    """An event of the store, as a log line."""
    if event.error:
        logger.bind(error=event.error).log(event.level, event.event)
    else:
        logger.log(event.level, event.event)


class SavedList:
    """One sidecar's saved list.

    Attributes:
        recovered: what was on disk; there after `open`.
        entries, generation: what discovery has said, for a snapshot after records were lost.
    """

    recovered: Recovered

    def __init__(
        self,
        config: Saved,
        owner: str,
        settings: dict[str, Any],
        files: Files | None = None,
        clock: WallClock | None = None,
    ) -> None:
        self.config = config
        self.clock = clock or WallClock()
        self.zones = list(settings["zones"])
        self.machine_types = list(settings.get("shapes", []))
        files = files or Files(Path(config.folder))
        self.store = Store(files, owner, self.clock.now, config.sync, config.sync_s, log_event)
        self.entries: dict[str, Entry] = {}
        self.generation = 0

    # --- the start

    def open(self) -> None:
        """ConfigError if another process has the folder; anything else is logged in one line and gone on
        without."""
        try:
            self.recovered = self.store.open()
        except LockedError as locked:
            raise ConfigError(f"saved.folder: {locked}") from locked
        self.store.reread = self.complete_list

    def initial_list(self) -> InitialList | None:
        """What to start from; None if nothing saved can be used."""
        snapshot, now = self.recovered.snapshot, self.clock.now()
        verdicts = assess(snapshot, now, self.config.trust)
        usable = [verdict for verdict in verdicts if verdict.level != NEVER]
        if not usable:
            if verdicts:
                logger.warning("no saved endpoint usable", endpoints=len(verdicts))
            return None
        log_verdicts(verdicts, usable)
        doubted: dict[str, list[str]] = {CAUTIOUS: [], LAST_RESORT: []}
        for verdict in usable:
            if verdict.level in doubted:
                doubted[verdict.level].append(verdict.entry["instanceId"])
        learned_age_s = age_s(snapshot.learned_at, now) if snapshot.learned_at is not None else inf
        learned = snapshot.learned if learned_age_s < inf else None
        return InitialList(list_message(snapshot, usable), doubted, learned, learned_age_s)

    def learned_state(self, initial: InitialList, known: dict[str, int]) -> dict[str, Any] | None:
        """What was learned, by index; None if it is of no use. `known`: indices by id."""
        if initial.learned is None:
            return None
        return from_disk(initial.learned, known, self.zones, self.machine_types)

    def start(self) -> None:
        """From now on what is handed over is written."""
        self.store.start()

    # --- what is saved

    def save_list(self, message: dict[str, Any]) -> None:
        """A sound answer of discovery, changes or none: either confirms the list."""
        at = structs.astuple(self.clock.now())
        entries, complete, self.generation = message["instances"], message["reset"], message["generation"]
        if complete:
            self.entries = {}
        for entry in entries:
            name = entry["instanceId"]
            if entry.get("lifecycle") == "terminated":
                self.entries.pop(name, None)
            else:
                self.entries[name] = {**self.entries.get(name, {}), **entry}
        if entries or complete:
            record = {
                "k": "list",
                "rows": entries,
                "whole": complete,
                "generation": self.generation,
                "at": at,
            }
            self.store.put(record, LIST_BYTES + LIST_ENTRY_BYTES * len(entries))
        else:
            self.store.put({"k": "confirmed", "generation": self.generation, "at": at})

    def complete_list(self) -> list[Record]:
        """The list as it stands, as one record: read by the store's thread after it had to drop records."""
        entries = list(self.entries.copy().values())
        at = structs.astuple(self.clock.now())
        return [{"k": "list", "rows": entries, "whole": True, "generation": self.generation, "at": at}]

    def save_learned(self, state: dict[str, Any], ids: list[str]) -> None:
        """What the balancer has learned. `ids`: by index of the upstream."""
        stored = to_disk(state, ids, self.zones, self.machine_types)
        record = {"k": "state", "state": stored, "at": structs.astuple(self.clock.now())}
        self.store.put(record, LEARNED_BYTES + LEARNED_ENTRY_BYTES * len(state["ups"]))

    def save_quota(self, state: dict[str, Any]) -> None:
        """What quotas have counted and owe."""
        size = QUOTA_BYTES + QUOTA_ENTRY_BYTES * len(state["counted"])
        self.store.put({"k": "quota", "state": state}, size)

    def close(self) -> None:
        """Writes what waits."""
        self.store.close()


def list_message(snapshot: Snapshot, usable: list[Verdict]) -> dict[str, Any]:
    """A complete list in discovery's form."""
    entries = [verdict.entry for verdict in usable]
    return {"generation": snapshot.generation, "reset": True, "instances": entries}


def log_verdicts(verdicts: list[Verdict], usable: list[Verdict]) -> None:
    """One line on what the sidecar starts from; a warning if some of it is a last resort."""
    counts = Counter(verdict.level for verdict in verdicts)
    ages = sorted(verdict.age_s for verdict in usable)
    levels = {level.replace(" ", "_"): count for level, count in counts.items()}
    logger.bind(
        endpoints=len(verdicts), newest_s=round(ages[0], 1), oldest_s=round(ages[-1], 1), **levels
    ).log("WARNING" if counts[LAST_RESORT] else "INFO", "saved endpoint list used")
