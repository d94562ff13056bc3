"""Starts a sidecar from its saved endpoint list, and saves what discovery answers. Connects the store, the
trust rules and the log; the decisions are made in those modules."""

from collections import Counter
from math import inf
from pathlib import Path
from typing import Any

from loguru import logger
from msgspec import Struct, structs

from shedgrade.sidecar.endpoint_snapshot.config import SavedListConfig
from shedgrade.sidecar.endpoint_snapshot.files import Files, LockedError
from shedgrade.sidecar.endpoint_snapshot.recovery import Recovered
from shedgrade.sidecar.endpoint_snapshot.snapshot import Entry, Record, Snapshot, age_s
from shedgrade.sidecar.endpoint_snapshot.store import Store, StoreEvent
from shedgrade.sidecar.endpoint_snapshot.trust import CAUTIOUS, LAST_RESORT, NEVER, Verdict, assess
from shedgrade.sidecar.endpoint_snapshot.wall_clock import WallClock
from shedgrade.sidecar.learned_state_file import from_disk, to_disk
from shedgrade.upstream_pool.errors import ConfigError

# Estimated sizes in bytes: of a record, and of each entry in it.
LIST_BYTES, LIST_ENTRY_BYTES = 300, 300
LEARNED_BYTES, LEARNED_ENTRY_BYTES = 500, 60
QUOTA_BYTES, QUOTA_ENTRY_BYTES = 500, 100


class InitialList(Struct):
    """The list and state that a sidecar starts from.

    Attributes:
        message: the list in the format of discovery.
        unverified: ids by level of trust, of the endpoints below AS_TOLD.
        learned: the learned state, if there is any.
        learned_age_s: the age of `learned`, in seconds.
    """

    message: dict[str, Any]
    unverified: dict[str, list[str]]
    learned: dict[str, Any] | None
    learned_age_s: float


def log_event(event: StoreEvent) -> None:
    """Writes an event of the store to the log."""
    if event.error:
        logger.bind(error=event.error).log(event.level, event.event)
    else:
        logger.log(event.level, event.event)


class SavedList:
    """One sidecar's saved list.

    Attributes:
        recovered: what was found on disk; set by `open`.
        entries, generation: the list as discovery last gave it, for a full snapshot after records were
            dropped.
    """

    recovered: Recovered

    def __init__(
        self,
        config: SavedListConfig,
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
        """Recovers the saved state. ConfigError if another process has locked the folder; any other failure
        is logged, and the sidecar starts without saved state."""
        try:
            self.recovered = self.store.open()
        except LockedError as error:
            raise ConfigError(f"saved.folder: {error}") from error
        self.store.read_current_list = self.complete_list

    def initial_list(self) -> InitialList | None:
        """The list and state to start from; None if no saved endpoint can be used."""
        snapshot, now = self.recovered.snapshot, self.clock.now()
        verdicts = assess(snapshot, now, self.config.trust)
        usable = [verdict for verdict in verdicts if verdict.level != NEVER]
        if not usable:
            if verdicts:
                logger.warning("no saved endpoint usable", endpoints=len(verdicts))
            return None
        log_verdicts(verdicts, usable)
        unverified: dict[str, list[str]] = {CAUTIOUS: [], LAST_RESORT: []}
        for verdict in usable:
            if verdict.level in unverified:
                unverified[verdict.level].append(verdict.entry["instanceId"])
        learned_age_s = age_s(snapshot.learned_at, now) if snapshot.learned_at is not None else inf
        learned = snapshot.learned if learned_age_s < inf else None
        return InitialList(list_message(snapshot, usable), unverified, learned, learned_age_s)

    def learned_state(self, initial: InitialList, known: dict[str, int]) -> dict[str, Any] | None:
        """The learned state by index, or None if there is none or it is invalid. `known`: indices by id."""
        if initial.learned is None:
            return None
        return from_disk(initial.learned, known, self.zones, self.machine_types)

    def start(self) -> None:
        """Starts writing the records that are saved."""
        self.store.start()

    # --- saving

    def save_list(self, message: dict[str, Any]) -> None:
        """Saves a valid answer of discovery; with or without changes, it confirms the list."""
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
        """The current list as one record. The store's thread calls this after it had to drop records."""
        entries = list(self.entries.copy().values())
        at = structs.astuple(self.clock.now())
        return [{"k": "list", "rows": entries, "whole": True, "generation": self.generation, "at": at}]

    def save_learned(self, state: dict[str, Any], ids: list[str]) -> None:
        """Saves the learned state of the balancer. `ids`: by index of the upstream."""
        stored = to_disk(state, ids, self.zones, self.machine_types)
        record = {"k": "state", "state": stored, "at": structs.astuple(self.clock.now())}
        self.store.put(record, LEARNED_BYTES + LEARNED_ENTRY_BYTES * len(state["ups"]))

    def save_quota(self, state: dict[str, Any]) -> None:
        """Saves the counts and debts of the quotas."""
        size = QUOTA_BYTES + QUOTA_ENTRY_BYTES * len(state["counted"])
        self.store.put({"k": "quota", "state": state}, size)

    def close(self) -> None:
        """Writes the queued records and closes the store."""
        self.store.close()


def list_message(snapshot: Snapshot, usable: list[Verdict]) -> dict[str, Any]:
    """A complete list in the format of discovery."""
    entries = [verdict.entry for verdict in usable]
    return {"generation": snapshot.generation, "reset": True, "instances": entries}


def log_verdicts(verdicts: list[Verdict], usable: list[Verdict]) -> None:
    """Logs how many saved endpoints are used at each level; a warning if any is a last resort."""
    counts = Counter(verdict.level for verdict in verdicts)
    ages = sorted(verdict.age_s for verdict in usable)
    levels = {level.replace(" ", "_"): count for level, count in counts.items()}
    logger.bind(
        endpoints=len(verdicts), newest_s=round(ages[0], 1), oldest_s=round(ages[-1], 1), **levels
    ).log("WARNING" if counts[LAST_RESORT] else "INFO", "saved endpoint list used")
