"""The platform's list of endpoints (upstream instances) as one core member knows it, with its age. No I/O.

Source: the operators' PROTOCOL, "Service discovery". One process polls the platform, and all core members
hold its list. A list has the version (term of the poller, number); each change adds one to the number. A
member that polls at its start, before there is a term, numbers its list by a fingerprint of what is in it:
members that poll at different times have different lists, and a delta applies to one of them alone.
Countdowns in the entries are stored as times on our own clock, so that passing time is not a change.
"""

import time
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec
import orjson

from shedgrade.control_messages import (
    AVAILABLE,
    DRAINING,
    NO_TERM,
    UNKNOWN_AGE_S,
    Endpoint,
    EndpointListRequest,
    EndpointUpdate,
    Model,
    replaces_list,
)
from shedgrade.runtime.log import logger

MAX_HISTORY = 256  # changes from which deltas are made; a receiver with an older list is sent the full one
COUNTDOWN_TOLERANCE_S = 1.0  # shift of a countdown's end that is no change, but lag and delay
WARM_UP_EXTENSION_S = 0.3  # the tolerance for a later end of a warm-up, which is to be passed on sooner
MAX_REPORTED = 1024  # faults that are remembered, so that each is logged once
MAX_LOGGED_CHARACTERS = 300  # of an invalid entry
FINGERPRINT_BYTES = 6
MAX_COUNT = 1e12  # exclusive limit of ms or slots in an entry

Version = tuple[int, int]
"""(term, number) of a list; compared in this order."""
PlatformEntry = dict[str, Any]
"""One instance as the platform describes it: a JSON object that is not validated yet."""


class CachedEndpoint:
    """An endpoint in the list, with its countdowns as times on our clock.

    Attributes:
        endpoint: as it was received.
        warm_at: time at which it is warmed up; None if it is.
        removal_at: time at which the platform removes it; None if no removal is announced.
    """

    __slots__ = ("endpoint", "removal_at", "warm_at")

    def __init__(self, now: float, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.warm_at = now + endpoint.warmup_remaining_ms / 1000 if endpoint.warmup_remaining_ms > 0 else None
        self.removal_at = (
            now + endpoint.time_until_removal_ms / 1000 if endpoint.time_until_removal_ms >= 0 else None
        )

    def is_unchanged(self, now: float, other: "CachedEndpoint") -> bool:
        """Whether `other`, received at `now`, differs in nothing but the time that has passed."""
        return (
            without_countdowns(self.endpoint) == without_countdowns(other.endpoint)
            and -COUNTDOWN_TOLERANCE_S <= end_shift_s(now, self.warm_at, other.warm_at) <= WARM_UP_EXTENSION_S
            and abs(end_shift_s(now, self.removal_at, other.removal_at)) <= COUNTDOWN_TOLERANCE_S
        )

    def at(self, now: float) -> Endpoint:
        """The endpoint with its countdowns as of `now`."""
        if self.warm_at is None and self.removal_at is None:
            return self.endpoint
        cold_ms = 0 if self.warm_at is None else max(0.0, self.warm_at - now) * 1000
        left_ms = -1 if self.removal_at is None else max(0.0, self.removal_at - now) * 1000
        return msgspec.structs.replace(
            self.endpoint, warmup_remaining_ms=round(cold_ms), time_until_removal_ms=round(left_ms)
        )


def without_countdowns(endpoint: Endpoint) -> Endpoint:
    """The endpoint without the fields that change as time passes."""
    return msgspec.structs.replace(endpoint, warmup_remaining_ms=0, time_until_removal_ms=-1)


def end_shift_s(now: float, before: float | None, after: float | None) -> float:
    """By how many seconds an end moved. An end that is past or was never announced counts as `now`."""
    return max(now, now if after is None else after) - max(now, now if before is None else before)


class EndpointList:
    """The list, its version and its age. Methods with an optional `now` read the clock if it is None.

    Attributes:
        clock: returns a monotonic time in seconds.
        term, number: the version; (0, 0) while nothing is known.
        own_term: the term under which this process polls the platform; None while it does not.
        skipped_numbers: how many version numbers the next change skips, see `begin_term`.
        confirmed_at: when the platform last confirmed the whole list; None if it never did.
        endpoints: by id.
        history: for each of the newest changes the version before it, and the ids that it changed or removed.
        needs_request: another member has a newer list, which has to be requested.
        reported: faults of invalid entries that were logged, oldest first.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.term = 0
        self.number = 0
        self.own_term: int | None = None
        self.skipped_numbers = 0
        self.confirmed_at: float | None = None
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.history: deque[tuple[Version, frozenset[str]]] = deque(maxlen=MAX_HISTORY)
        self.needs_request = False
        self.reported: dict[str, None] = {}

    @property
    def version(self) -> Version:
        """(term, number)."""
        return self.term, self.number

    def age_s(self, now: float | None = None) -> float:
        """Time in s since the platform confirmed the list; UNKNOWN_AGE_S if it never did."""
        if self.confirmed_at is None:
            return UNKNOWN_AGE_S
        return max(0.0, (self.clock() if now is None else now) - self.confirmed_at)

    def snapshot(self, now: float | None = None) -> tuple[Endpoint, ...]:
        """All endpoints, with their countdowns as of `now`."""
        now = self.clock() if now is None else now
        return tuple(cached.at(now) for cached in self.endpoints.values())

    # --- from the platform

    def begin_term(self, term: int, skipped_numbers: int = 0) -> None:
        """Starts polling by this process under a term that no other process has. The next list gets this
        term, even if nothing changed, and its number skips `skipped_numbers` numbers.
        """
        self.own_term = term if term >= self.term else self.term + 1
        self.skipped_numbers = skipped_numbers

    def end_term(self) -> None:
        """Ends polling by this process."""
        self.own_term = None

    def apply_poll(self, now: float, entries: list[PlatformEntry], requested_at: float | None = None) -> bool:
        """Replaces the list with a full list of the platform, requested at `requested_at`; invalid entries
        are left out. Returns whether anything changed.
        """
        term = self.term if self.own_term is None else self.own_term
        if term < self.term:
            return False  # another process polls under a newer term, and no member would accept our list
        received = self.parse_entries(now, entries)
        if entries and not received:
            return False  # guards against a response with invalid entries only: it would remove all endpoints
        # The list is as old as its request: the response may have waited unread while this process was
        # suspended.
        self.confirmed_at = now if requested_at is None else requested_at
        touched = {name for name in self.endpoints if name not in received}
        for name, new in received.items():
            if name not in self.endpoints or not self.endpoints[name].is_unchanged(now, new):
                touched.add(name)
        if not touched and term == self.term and self.number:
            return False
        self.needs_request = False
        endpoints = {name: new if name in touched else self.endpoints[name] for name, new in received.items()}
        self.advance((term, self.next_number(term, endpoints)), endpoints, touched)
        self.skipped_numbers = 0
        return True

    def next_number(self, term: int, endpoints: dict[str, CachedEndpoint]) -> int:
        """The version number of a polled list."""
        if term == NO_TERM:
            return fingerprint(endpoints)
        before = self.number if self.term != NO_TERM else 0
        return before + 1 + self.skipped_numbers

    def advance(self, version: Version, endpoints: dict[str, CachedEndpoint], touched: set[str]) -> None:
        """Replaces the list. `touched`: ids of endpoints that differ from those in the list before, or are
        gone."""
        self.history.append((self.version, frozenset(touched)))
        self.endpoints = endpoints
        self.term, self.number = version

    def parse_entries(self, now: float, entries: list[PlatformEntry]) -> dict[str, CachedEndpoint]:
        """The valid entries as endpoints, by id."""
        received: dict[str, CachedEndpoint] = {}
        for entry in entries:
            endpoint = self.parse_or_keep(now, entry)
            # Guards against an instance that moves between two pages as it changes: the draining one counts.
            if endpoint is not None and (endpoint.id not in received or endpoint.state != AVAILABLE):
                received[endpoint.id] = CachedEndpoint(now, endpoint)
        return received

    def parse_or_keep(self, now: float, entry: PlatformEntry) -> Endpoint | None:
        """The endpoint of an entry. If the entry is invalid, the endpoint known before, draining if the entry
        says so; None if there is none."""
        try:
            return parse_endpoint(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            self.report_invalid(str(name), error, entry)
            cached = self.endpoints.get(name) if isinstance(name, str) else None
            if cached is None:
                return None
            # Guards against one invalid field that would remove a working upstream or keep a leaving one.
            state = entry.get("state")
            is_leaving = isinstance(state, str) and state != AVAILABLE
            kept_state = DRAINING if is_leaving else cached.endpoint.state
            return msgspec.structs.replace(cached.at(now), state=kept_state)

    def report_invalid(self, name: str, error: Exception, entry: PlatformEntry) -> None:
        """Logs an invalid entry, once for each entry and fault."""
        fault = f"{name}: {error!r}"
        if fault in self.reported:
            return
        if len(self.reported) >= MAX_REPORTED:
            del self.reported[next(iter(self.reported))]
        self.reported[fault] = None
        logger.warning(
            "endpoint list entry invalid", endpoint=name, error=repr(error), entry=repr(entry)[:300]
        )

    # --- between core members, and to edges

    def request(self, now: float | None = None) -> EndpointListRequest:
        """The request for the list, to send to another member."""
        return EndpointListRequest(self.term, self.number, self.age_s(now))

    def newer_than(self, term: int, number: int, age_s: float = 0.0, now: float | None = None) -> bool:
        """Whether this list should replace one of the given version that was confirmed `age_s` ago.

        See `replaces_list`.
        """
        if self.confirmed_at is None:
            return False
        return replaces_list(self.version, self.age_s(now), (term, number), age_s)

    def update_since(self, term: int, number: int, now: float | None = None) -> EndpointUpdate:
        """The update for a receiver with this version: a delta if possible, else the full list."""
        now = self.clock() if now is None else now
        age_s = self.age_s(now)
        if (term, number) == self.version:
            return EndpointUpdate(self.term, self.number, age_s, term, number)
        touched: set[str] = set()
        # a receiver with version number 0 has no list, and is sent the full one
        for before, ids in reversed(self.history if number else ()):
            touched |= ids
            if before == (term, number):
                changed = tuple(self.endpoints[name].at(now) for name in touched if name in self.endpoints)
                removed = tuple(name for name in touched if name not in self.endpoints)
                return EndpointUpdate(self.term, self.number, age_s, term, number, changed, removed)
        return EndpointUpdate(self.term, self.number, age_s, changed=self.snapshot(now))

    def apply_update(
        self, message: EndpointUpdate, now: float | None = None, max_unread_s: float = 0.0
    ) -> bool:
        """Applies an update of another member. Returns whether the list changed.

        Sets `needs_request` if the update belongs to a newer list but is a delta from another version than
        this list's: the caller sends `request()`. `max_unread_s`: how long the message may have
        waited unread.
        """
        now = self.clock() if now is None else now
        age_s = message.age_s + max_unread_s
        version = message.term, message.number
        if version == self.version:
            if self.confirmed_at is None or now - age_s > self.confirmed_at:
                self.confirmed_at = now - age_s
            self.needs_request = False
            return False
        is_newer = replaces_list(version, age_s, self.version, self.age_s(now))
        if age_s >= UNKNOWN_AGE_S or not is_newer:
            return False
        if not message.is_full and (message.from_term, message.from_number) != self.version:
            self.needs_request = True
            return False
        received = {endpoint.id: CachedEndpoint(now, endpoint) for endpoint in message.changed}
        if message.is_full:
            touched = self.endpoints.keys() | received.keys()
            endpoints = received
        else:
            touched = received.keys() | set(message.removed)
            kept = {name: cached for name, cached in self.endpoints.items() if name not in touched}
            endpoints = kept | received
        self.confirmed_at = now - age_s
        self.needs_request = False
        self.advance(version, endpoints, set(touched))
        return True


def fingerprint(endpoints: dict[str, CachedEndpoint]) -> int:
    """A number above 0 that tells a list from one with other endpoints, whatever their countdowns."""
    rows = [without_countdowns(endpoints[name].endpoint) for name in sorted(endpoints)]
    digest = blake2b(msgspec.msgpack.encode(rows), digest_size=FINGERPRINT_BYTES).digest()
    return 1 + int.from_bytes(digest, "big")


def parse_endpoint(entry: PlatformEntry) -> Endpoint:
    """The endpoint of an entry of the platform's list. Raises KeyError, TypeError, ValueError, AttributeError
    or OverflowError if the entry is invalid."""
    host, _, port = entry["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"invalid address {entry['address']!r:.60}")
    warmup_remaining_ms = entry.get("coldLeftMs") or 0
    time_until_removal_ms = entry.get("timeLeftMs")
    slots = entry.get("capacitySlots") or 0
    state = required_text(entry, "state")
    return Endpoint(
        id=required_text(entry, "instanceId"),
        service=required_text(entry, "service"),
        address=entry["address"],
        zone=required_text(entry, "zone"),
        state=AVAILABLE if state == AVAILABLE else DRAINING,
        warmup_remaining_ms=checked_count(warmup_remaining_ms),
        slots=int(checked_count(slots)),
        version=str(entry.get("configVersion") or ""),
        stage=str(entry.get("stage") or ""),
        models=tuple(map(parse_model, entry.get("modelList") or ())),
        time_until_removal_ms=-1 if time_until_removal_ms is None else checked_count(time_until_removal_ms),
    )


def parse_model(entry: PlatformEntry) -> Model:
    """One model of an entry's `modelList`."""
    adapters = entry.get("adapterList") or ()
    version = int(entry.get("configVersion") or 0)
    return Model(required_text(entry, "name"), version, tuple(map(adapter_name, adapters)))


def adapter_name(value: Any) -> str:
    """The adapter's name if the value is a string, else the JSON text of the value."""
    return value if isinstance(value, str) else orjson.dumps(value).decode()


def required_text(entry: PlatformEntry, key: str) -> str:
    """The string under that key. Raises KeyError if it is missing, TypeError if it is no string or empty."""
    value = entry[key]
    if type(value) is not str or not value:
        raise TypeError(f"{key} is not a non-empty string")
    return value


def checked_count(value: Any) -> float:
    """A number of ms or slots. Raises ValueError or TypeError for any other value."""
    if isinstance(value, bool) or not 0 <= value < MAX_COUNT:
        raise ValueError(f"{value!r:.60} is not a valid duration or count")
    return value
