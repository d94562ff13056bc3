"""The platform's list of upstreams: one process polls it, all core members hold it, with its age.

Source: the operators' PROTOCOL, "Service discovery". A list is dated by (term of the poller, number); a
change adds one to the number. What only counts down is no change: it is kept as a point on our own clock.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from random import Random
from urllib.parse import quote

import msgspec
import orjson

from shedgrade.control_messages import (
    AVAILABLE,
    DRAINING,
    UNKNOWN_AGE_S,
    Endpoint,
    EndpointListRequest,
    EndpointUpdate,
    Model,
)
from shedgrade.http.discovery import DiscoveryConnection, ListError
from shedgrade.runtime.log import logger

HISTORY = 256  # changes from which deltas are made; who holds less is told the whole list
JUMP = 1.0  # s by which what is left of a span may differ from what was said before: lag and delay
LONGER = 0.3  # the same for an instance that stays cold for longer than was said: that is told sooner
OLDER = 3.0  # s by which a list that is dated higher must be older for one dated lower to replace it
SAID = 1024  # unsound entries that are remembered, so that each is said once
SILENCE = 1.0  # s without a byte after which the platform counts as silent
WHOLE = 4.0  # s within which an answer must be whole, however it drips
SHARE = 0.8  # of the platform's rate that is used at the most: others may ask it too
PAGES = 1000  # that one list may have
LEAP = 2**20  # numbers that a new poller skips at the most
TRIES = 3  # of one page that is turned away for the rate
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 1.0  # s before the next list after a failure
PATH = b"/instances"


class Held:
    """An instance as it is held: what counts down as points on our clock, None where there is nothing."""

    __slots__ = ("told", "cold_until", "ends_at")

    def __init__(self, now: float, told: Endpoint) -> None:
        self.told = told
        self.cold_until = now + told.cold_left_ms / 1000 if told.cold_left_ms > 0 else None
        self.ends_at = now + told.time_left_ms / 1000 if told.time_left_ms >= 0 else None

    def same(self, now: float, other: "Held") -> bool:
        """Whether `other`, told at `now`, says nothing new but the time that went by."""
        return (
            still(self.told) == still(other.told)
            and -JUMP <= moved(now, self.cold_until, other.cold_until) <= LONGER
            and abs(moved(now, self.ends_at, other.ends_at)) <= JUMP
        )

    def at(self, now: float) -> Endpoint:
        """As of now."""
        if self.cold_until is None and self.ends_at is None:
            return self.told
        cold = 0 if self.cold_until is None else max(0.0, self.cold_until - now) * 1000
        ends = -1 if self.ends_at is None else max(0.0, self.ends_at - now) * 1000
        return msgspec.structs.replace(self.told, cold_left_ms=round(cold), time_left_ms=round(ends))


def still(told: Endpoint) -> Endpoint:
    return msgspec.structs.replace(told, cold_left_ms=0, time_left_ms=-1)


def moved(now: float, before: float | None, after: float | None) -> float:
    """By how many s an end moved; one that is past, or was never told, counts as now."""
    return max(now, now if after is None else after) - max(now, now if before is None else before)


class EndpointList:
    """What is known of the platform's list. Pure: `now` is handed in, or read from the clock that was."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.term = self.number = 0
        self.leads: int | None = None  # the term under which this process polls
        self.leap = 0  # numbers left out at the next change
        self.known_at: float | None = None  # when the platform last said all of this
        self.held: dict[str, Held] = {}
        # Each: the version before, and the ids that the next one changed or took away.
        self.history: deque[tuple[tuple[int, int], frozenset[str]]] = deque(maxlen=HISTORY)
        self.lacks = False  # a newer list is known of, and can only be had by asking
        self.said: dict[str, None] = {}

    @property
    def version(self) -> tuple[int, int]:
        return self.term, self.number

    def age_s(self, now: float | None = None) -> float:
        """Since the platform said what is known; UNKNOWN_AGE_S if it has not."""
        if self.known_at is None:
            return UNKNOWN_AGE_S
        return max(0.0, (self.clock() if now is None else now) - self.known_at)

    def instances(self, now: float | None = None) -> tuple[Endpoint, ...]:
        """All, as of now."""
        now = self.clock() if now is None else now
        return tuple(held.at(now) for held in self.held.values())

    # --- from the platform

    def lead(self, term: int, leap: int = 0) -> None:
        """This process polls from now on, under a term that nobody else has. The next list is dated by it,
        even if nothing changed; its number leaves out `leap` others."""
        self.leads, self.leap = (term if term >= self.term else self.term + 1), leap

    def apply(self, now: float, entries: list, asked_at: float | None = None) -> bool:
        """A whole list of the platform's entries, asked for at `asked_at`; unsound ones are left out. Whether
        anything changed."""
        term = self.term if self.leads is None else self.leads
        if term < self.term:
            return False  # another polls under a newer term: what is dated by ours reaches nobody
        came: dict[str, Held] = {}
        for entry in entries:
            told = self.read(now, entry)
            # Guards against an instance that moves between two pages as it changes: its end counts.
            if told is not None and (told.id not in came or told.state != AVAILABLE):
                came[told.id] = Held(now, told)
        if entries and not came:
            return False  # guards against an answer that is broken throughout: it would take all away
        # Guards against an answer that waited unread while this process stood still.
        self.known_at = now if asked_at is None else asked_at
        touched = {name for name in self.held if name not in came}
        for name, new in came.items():
            if name not in self.held or not self.held[name].same(now, new):
                touched.add(name)
        if not touched and term == self.term and self.number:
            return False
        self.lacks = False
        held = {name: new if name in touched else self.held[name] for name, new in came.items()}
        self.move((term, self.number + 1 + self.leap), held, touched)
        self.leap = 0
        return True

    def move(self, version: tuple[int, int], held: dict[str, Held], touched: set[str]) -> None:
        self.history.append((self.version, frozenset(touched)))
        self.held = held
        self.term, self.number = version

    def read(self, now: float, entry: object) -> Endpoint | None:
        """An entry of the platform. If it is unsound, what was known before, draining if it says so."""
        try:
            return instance(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as wrong:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            self.say(str(name), wrong, entry)
            held = self.held.get(name) if isinstance(name, str) else None
            if held is None:
                return None
            # Guards against one broken field that would take a working upstream away, or keep a leaving one.
            state = entry.get("state")
            leaves = isinstance(state, str) and state != AVAILABLE
            return msgspec.structs.replace(held.at(now), state=DRAINING if leaves else held.told.state)

    def say(self, name: str, wrong: Exception, entry: object) -> None:
        what = f"{name}: {wrong!r}"
        if what not in self.said:
            if len(self.said) >= SAID:
                del self.said[next(iter(self.said))]
            self.said[what] = None
            logger.warning("an entry of the platform's list is not sound: {}, {:.300}", what, repr(entry))

    # --- between core members, and to edges

    def question(self, now: float | None = None) -> EndpointListRequest:
        """What to ask another member with."""
        return EndpointListRequest(self.term, self.number, self.age_s(now))

    def newer_than(self, term: int, number: int, age_s: float = 0.0, now: float | None = None) -> bool:
        """Whether this list should replace one that is dated so and was known `age_s` ago.

        Guards against a fleet that waits for a term which no poller reaches, after all core members lost
        theirs at once: what the platform said well later is newer, however it is dated.
        """
        if self.known_at is None or self.version == (term, number):
            return False
        return self.version > (term, number) or age_s - self.age_s(now) > OLDER

    def answer(self, term: int, number: int, now: float | None = None) -> EndpointUpdate:
        """What one that holds (term, number) lacks: a delta where possible, else the whole list."""
        now = self.clock() if now is None else now
        age = self.age_s(now)
        if (term, number) == self.version:
            return EndpointUpdate(self.term, self.number, age, term, number)
        touched: set[str] = set()
        for before, ids in reversed(self.history if number else ()):  # one that holds nothing gets all
            touched |= ids
            if before == (term, number):
                changed = tuple(self.held[name].at(now) for name in touched if name in self.held)
                removed = tuple(name for name in touched if name not in self.held)
                return EndpointUpdate(self.term, self.number, age, term, number, changed, removed)
        return EndpointUpdate(self.term, self.number, age, changed=self.instances(now))

    def take(self, message: EndpointUpdate, now: float | None = None, unread_s: float = 0.0) -> bool:
        """What another member tells; whether the list moved. If it tells of a list that is newer and can't be
        made from the one held, `lacks` is set: ask with `question()`. `unread_s`: its word may have waited
        here so long."""
        now = self.clock() if now is None else now
        if unread_s:
            message = msgspec.structs.replace(message, age_s=message.age_s + unread_s)
        version, base = (message.term, message.number), (message.from_term, message.from_number)
        if version == self.version:
            if self.known_at is None or now - message.age_s > self.known_at:
                self.known_at = now - message.age_s
            self.lacks = False
            return False
        if message.age_s >= UNKNOWN_AGE_S or not (
            version > self.version or self.age_s(now) - message.age_s > OLDER
        ):
            return False
        if not message.is_full and base != self.version:
            self.lacks = True
            return False
        came = {told.id: Held(now, told) for told in message.changed}
        if message.is_full:
            touched = self.held.keys() | came.keys()
            held = came
        else:
            touched = came.keys() | set(message.removed)
            held = {name: old for name, old in self.held.items() if name not in touched} | came
        self.known_at, self.lacks = now - message.age_s, False
        self.move(version, held, set(touched))
        return True


def instance(entry: dict) -> Endpoint:
    """An entry of the platform's list. KeyError, TypeError or ValueError if it is not sound."""
    host, colon, port = entry["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"address {entry['address']!r:.60}")
    cold, left, slots = entry.get("coldLeftMs") or 0, entry.get("timeLeftMs"), entry.get("capacitySlots") or 0
    state = text(entry, "state")
    return Endpoint(
        id=text(entry, "instanceId"),
        service=text(entry, "service"),
        address=entry["address"],
        zone=text(entry, "zone"),
        state=AVAILABLE if state == AVAILABLE else DRAINING,
        cold_left_ms=span(cold),
        slots=int(span(slots)),
        version=str(entry.get("configVersion") or ""),
        stage=str(entry.get("stage") or ""),
        models=tuple(map(model, entry.get("modelList") or ())),
        time_left_ms=-1 if left is None else span(left),
    )


def model(entry: dict) -> Model:
    adapters = entry.get("adapterList") or ()
    return Model(text(entry, "name"), int(entry.get("configVersion") or 0), tuple(map(frozen, adapters)))


def frozen(value: object) -> object:
    return value if isinstance(value, str) else orjson.dumps(value).decode()


def text(entry: dict, name: str) -> str:
    if type(entry[name]) is not str or not entry[name]:
        raise TypeError(f"{name} is no text")
    return entry[name]


def span(value: object) -> float:
    if isinstance(value, bool) or not 0 <= value < 1e12:
        raise ValueError(f"{value!r:.60} is no span or count")
    return value


class RateError(Exception):
    """The platform takes no more calls for now."""


class Poller:
    """Keeps an `EndpointList` up to date, for as long as this process has the duty. One list replaces another
    only when all its pages came; what fails changes nothing."""

    def __init__(
        self,
        loop,
        cloud_api,
        instances: EndpointList,
        told: Callable[[bool], None],
        *,
        period: float = 0.4,
        random: Random | None = None,
        connection: type = DiscoveryConnection,
    ) -> None:
        """`cloud_api`: of the settings; `random`: seeded anew at each start. `told` is called after each
        whole list, with whether it changed. `period`: s from the start of one list to the next;
        longer where its pages would exceed the rate."""
        self.loop, self.instances, self.told, self.period = loop, instances, told, period
        self.random, self.connection = random or Random(), connection
        self.task: asyncio.Task | None = None
        self.link = None
        self.retarget(cloud_api)
        self.failed = 0  # lists running that did not come
        self.calls = 0

    def retarget(self, cloud_api) -> None:
        """`cloud_api` of settings that were read anew holds from the next call on."""
        self.api = cloud_api
        host = "{}:{}".format(*cloud_api.address).encode()
        if self.link is not None and host != self.host:
            self.link.transport.abort()
        self.host, self.gap = host, 1 / (SHARE * cloud_api.rate_per_s)  # gap: s between two calls

    def start(self, term: int | None = None) -> None:
        """`term`: of the duty; the list is dated by it, and its numbers leap by chance.

        Guards against two lists with one date: when all core members start anew, so may the terms, and edges
        still hold what was dated before.
        """
        if term is not None:
            self.instances.lead(term, self.random.randrange(LEAP))
        if self.task is None:
            self.task = self.loop.create_task(self.run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.instances.leads = None
        self.drop()

    def drop(self) -> None:
        if self.link is not None:
            self.link.transport.abort()
            self.link = None

    async def peek(self) -> bool:
        """One list, asked for whoever has the duty; whether it came. For a poller that is not started.

        Guards against a system that comes back as a whole and would wait for a ballot before it knows an
        upstream: what is seen so is dated below all that the duty's holder says.
        """
        begun = self.loop.time()
        try:
            entries = await self.whole()
        except (OSError, ListError, RateError) as failure:  # a TimeoutError is an OSError
            logger.info("the platform's list did not come at the start: {!r}", failure)
            return False
        finally:
            self.drop()
        if self.instances.known_at is not None:
            return False  # the duty was won meanwhile, or another member told its list
        self.instances.apply(self.loop.time(), entries, begun)
        return True

    async def run(self) -> None:
        pause = FIRST_PAUSE
        while True:
            begun, before = self.loop.time(), self.calls
            try:
                entries = await self.whole()
                changed = self.instances.apply(self.loop.time(), entries, begun)
                self.told(changed)
            except Exception as failure:
                if not isinstance(failure, RateError):
                    self.drop()
                # A fault of our own is met like the platform's: the duty goes on, the next list is whole.
                if not self.failed:
                    logger.warning("the platform's list did not come: {!r}", failure)
                self.failed += 1
                await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
                pause = min(2 * pause, LONGEST_PAUSE)
                continue
            if self.failed:
                logger.info("the platform's list comes again, after {} failures", self.failed)
            self.failed, pause = 0, FIRST_PAUSE
            span = max(self.period, (self.calls - before) * self.gap)
            await asyncio.sleep(max(0.0, begun + span - self.loop.time()))

    async def whole(self) -> list:
        """The entries of all pages. ListError, OSError, TimeoutError or RateError if one does not come."""
        entries, token, seen = [], None, set()
        while True:
            message = await self.page(token)
            if not isinstance(message, dict) or not isinstance(message.get("instanceList"), list):
                raise ListError("the answer holds no list")
            entries += message["instanceList"]
            token = message.get("nextToken")
            if token is None or token == "":
                return entries
            # Guards against pages that lead in a circle.
            if not isinstance(token, str) or token in seen or len(seen) >= PAGES:
                raise ListError(f"nextToken {token!r:.60}")
            seen.add(token)
            await asyncio.sleep(self.gap)

    async def page(self, token: str | None) -> dict:
        target = PATH if token is None else PATH + b"?pageToken=" + quote(token, safe="").encode()
        for number in range(TRIES):
            status, body = await self.call(target)
            if status == 200:
                try:
                    return orjson.loads(body)
                except orjson.JSONDecodeError as wrong:
                    raise ListError(f"not JSON ({wrong})") from wrong
            if status != 429:
                raise ListError(f"status {status}")
            await asyncio.sleep((number + 1) * max(0.25, 4 * self.gap) * self.random.uniform(0.5, 1.0))
        raise RateError("429")

    async def call(self, target: bytes) -> tuple[int, bytes]:
        """Status and body. TimeoutError if the answer does not begin in time, falls silent, or never ends."""
        self.calls += 1
        if self.link is None or self.link.transport.is_closing():
            self.link = None
            async with asyncio.timeout(SILENCE):
                _, self.link = await self.loop.create_connection(self.connection, *self.api.address)
        answered = self.loop.create_future()
        self.link.call(target, self.host, answered)
        asked = self.loop.time()
        try:
            while not answered.done():
                left = min((self.link.heard or asked) + SILENCE, asked + WHOLE) - self.loop.time()
                if left <= 0:
                    raise TimeoutError("the platform is silent")
                await asyncio.wait((answered,), timeout=left)
            return answered.result()
        finally:
            answered.cancel()
