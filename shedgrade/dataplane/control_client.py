"""Asking: which core member an edge asks, and what it takes of the answers. Sans I/O, time is handed in.

One main member is asked over and over, each time as soon as it has answered; it answers when something moved,
or after the beat. The nearest that answers is the main one, as told by the time its answers take beyond the
time that they say the ask was held. Where its word is old, others are asked beside it. What is taken only
gets newer, whoever answers.
"""

from collections.abc import Iterable
from math import inf
from random import Random

import msgspec

from shedgrade.control_messages import (
    UNKNOWN_AGE_S,
    ControlChange,
    EdgeStatus,
    EndpointUpdate,
    FleetView,
    WatchRequest,
    WatchResponse,
    decompress_configuration,
)
from shedgrade.runtime.log import logger

LATE = 0.7  # s beyond its wait after which an ask counts as failed
OLD_WORD = 0.8  # s since a member heard the primary, beyond which others are asked too
OLD_LIST = 2.5  # s, the same for the age of its list
BETTER = 0.2  # s by which another's word must be fresher for it to be asked instead
OLDER = 3.0  # s by which a list dated lower must be fresher to replace the one held
NEARER, NEARER_BY = 0.6, 0.002  # share and s of the main member's time below which another is nearer
GAP = 0.02  # s between two asks of the same member
EARLY = 0.25  # s, where it answered before its time and told nothing new
FIRST_REST, LONGEST_REST, WANTED_REST = 0.1, 5.0, 1.0  # s after a failure; the last if nobody else answers
LOOK_ROUND = 0.5  # s between two asks beside the main member
LOOK_AGAIN = 2.0  # s before a member that was nearer is asked again
MEASURE_AGAIN = 30.0  # s before any member is measured again
MOST = 32  # core members that are remembered, beside those that are named
FIRST_PATIENCE = 0.75  # s for which an edge that holds nothing asks others before it takes an old word
ALONE = 3.0  # s without a word after which an edge may poll the platform itself


class AskTo(msgspec.Struct, frozen=True):
    """Effect: send `ask` to the link address; `failed` if no answer comes within `timeout` s. `number` may be
    handed back with what became of it."""

    address: str
    ask: WatchRequest
    timeout: float
    number: int


class Call:
    """An ask that was handed out, until its caller said what became of it."""

    __slots__ = ("number", "at", "wait", "until")

    def __init__(self, number: int, at: float, wait: float) -> None:
        self.number, self.at, self.wait, self.until = number, at, wait, at + wait + LATE


class CoreMember:
    """A core member as seen from here. `call`: its newest ask, while that is awaited."""

    __slots__ = (
        "address",
        "order",
        "named",
        "call",
        "calls",
        "took",
        "measured",
        "stale",
        "failures",
        "rest_until",
        "failed_at",
        "tried_at",
    )

    def __init__(self, address: str, order: float) -> None:
        self.address, self.order, self.named = address, order, True
        self.call: Call | None = None
        self.calls: list[Call] = []  # all that the caller has not reported on
        self.took: float | None = None  # s for the way there and back
        self.measured = -inf
        self.stale = 0.0  # s by which its word is older than it should be
        self.failures, self.rest_until, self.failed_at, self.tried_at = 0, -inf, -inf, -inf

    def reported(self, now: float, number: int, held: float | None) -> Call | None:
        """The call that a report is about: by its number, or the one that it fits. `held`: as an answer says;
        None if it failed."""
        if number:
            fits = [call for call in self.calls if call.number == number]
        elif held is None:
            # A call that was replaced is never answered: its time runs out while a newer one is awaited.
            fits = [call for call in self.calls if call.until <= now + GAP][:1] or self.calls[-1:]
        else:
            fits = [call for call in self.calls if call.at + held <= now][-1:] or self.calls[:1]
        for call in fits:
            self.calls.remove(call)
            return call
        return None


class Watcher:
    """Decides whom to ask. The caller carries out and empties `effects` (AskTo) and `updates`: ControlChange
    with plain bytes, EndpointUpdate, FleetView, in the order in which they are to be applied."""

    def __init__(
        self, edge: EdgeStatus, seeds: Iterable[str], random: Random, now: float, beat: float = 1.0
    ) -> None:
        """`seeds`: link addresses of core members. `beat`: s that an ask waits where nothing is new."""
        self.edge, self.random, self.beat, self.started = edge, random, beat, now
        self.effects: list[AskTo] = []
        self.updates: list[ControlChange | EndpointUpdate | FleetView] = []
        self.control, self.version = (0, 0), -1
        self.upstreams = self.floor = (0, 0)  # of the list held, and below which none is taken
        self.known_at: float | None = None  # when the platform last said that list
        self.counts: FleetView | None = None
        self.heard_at: float | None = None
        self.applied = False  # any control state was handed on
        self.withheld: list[ControlChange] = []  # the first, of old word: until others were asked
        self.withheld_until = inf
        self.members: dict[str, CoreMember] = {}
        self.main: CoreMember | None = None
        self.now = self.next_at = self.look_at = now
        self.number = 0
        self.named(dict.fromkeys(seeds))
        self.tick(now)

    # --- what is known

    def lost(self, now: float) -> float:
        """s since any core member's word."""
        return now - (self.started if self.heard_at is None else self.heard_at)

    def list_age(self, now: float) -> float:
        """s since the platform said the list held."""
        return UNKNOWN_AGE_S if self.known_at is None else max(0.0, now - self.known_at)

    def own_poll(self, now: float, rate_per_s: float) -> float | None:
        """s between two lists that this edge may ask the platform for itself, or None: only when all members
        have been silent, and at its share of the rate, since all edges may be as lost."""
        if self.lost(now) <= ALONE:
            return None
        return max(ALONE, 4 * max(1, self.counts.edge_count if self.counts else 1) / rate_per_s)

    def departed(self, now: float) -> None:
        """The data plane has applied a list of its own from the platform: the next one told is whole."""
        self.upstreams, self.known_at = (0, 0), now

    def named(self, addresses: Iterable[str]) -> None:
        """The core members as one of them names them. Others are kept, and asked when all of these fail."""
        for member in self.members.values():
            member.named = False
        for address in addresses:
            if address not in self.members:
                self.members[address] = CoreMember(address, self.random.random())
            self.members[address].named = True
        if len(self.members) > MOST:
            self.members = {
                address: member
                for address, member in self.members.items()
                if member.named or member is self.main or member.calls
            }

    def met(self, addresses: Iterable[str]) -> None:
        """Core members that only other processes speak of: asked when all that are named fail."""
        for address in addresses:
            if address not in self.members and len(self.members) < MOST:
                self.members[address] = CoreMember(address, self.random.random())
                self.members[address].named = False

    # --- events

    def changed(self, now: float, edge: EdgeStatus) -> None:
        """This edge is something else now: the main member is told at once, and a second one if its end has
        come nearer."""
        if edge == self.edge:
            return
        leaves = edge.shutdown_stage > self.edge.shutdown_stage
        self.edge = edge
        told = [self.main] if self.main is not None else []
        if leaves:
            told += sorted(
                (member for member in self.members.values() if member is not self.main),
                key=lambda member: self.rank(now, member),
            )[:1]
        for member in told:
            self.ask(now, member, self.beat if member is self.main else 0.0)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Gives up asks that are late, and hands out those that are due."""
        self.now = now
        for member in self.members.values():
            if member.call is not None and member.call.until + GAP <= now:
                self.fail(now, member)
            while member.calls and member.calls[0].until + 1.0 < now:
                member.calls.pop(0)
        for member, at in self.wanted(now):
            if at <= now:
                self.ask(now, member, self.beat if member is self.main else 0.0)
        if self.withheld:
            self.ask_all(now)
        beside = self.beside(now)
        if beside is not None and beside[1] <= now:
            self.look_at = now + LOOK_ROUND
            self.ask(now, beside[0], 0.0)

    def wake_at(self) -> float:
        """When `tick` is due next."""
        due = [member.call.until + GAP for member in self.members.values() if member.call is not None]
        due += [at for _, at in self.wanted(self.now)]
        beside = self.beside(self.now)
        due.append(self.withheld_until)
        return min(due if beside is None else [*due, beside[1]], default=inf)

    def answered(self, now: float, address: str, told: WatchResponse, number: int = 0) -> None:
        """An answer came; `number` of its AskTo, if the caller has it."""
        member = self.members.get(address)
        call = None
        if member is not None:
            call = member.reported(now, number, told.pending_s)
        if call is not None:
            told = aged(told, max(0.0, now - call.at - told.pending_s))
        try:
            news = self.take(now, told)
        except ValueError as broken:
            # Guards against a member whose answers can't be read: another is asked.
            logger.warning("{} tells what can't be read: {}", address, broken)
            if member is not None and (call is member.call or member.call is None):
                self.fail(now, member)
            self.tick(now)
            return
        self.heard_at = now
        if member is not None:
            self.measure(now, member, call, told)
            self.choose(now, member)
            if member is self.main:
                early = call is not None and not news and told.pending_s < 0.9 * call.wait
                begun = now if call is None else call.at
                self.next_at = max(begun + GAP, now + EARLY if early else now)
        fresh = member is None or member.stale == 0 or member is self.main
        if fresh:
            self.count(told)
        self.tick(now)

    def failed(self, now: float, address: str, number: int = 0) -> None:
        """An ask can't be sent, was cut, or was not answered in time."""
        member = self.members.get(address)
        if member is None:
            return
        call = member.reported(now, number, None)
        if call is not None and call is member.call:
            self.fail(now, member)
        self.tick(now)

    # --- whom to ask

    def rank(self, now: float, member: CoreMember) -> tuple:
        """The lowest is asked first."""
        return (
            not member.named,
            member.stale > 0,
            member.failures,
            1.0 if member.took is None else member.took,
            member.order,
        )

    def wanted(self, now: float) -> list[tuple[CoreMember, float]]:
        """Who is to be asked, and when: the main member, or while there is none, any two."""
        if self.main is not None:
            return [(self.main, self.next_at)] if self.main.call is None else []
        all_failed = all(member.failures for member in self.members.values() if member.named)
        idle = [
            (max(now, min(member.rest_until, member.failed_at + WANTED_REST)), member)
            for member in self.members.values()
            if member.call is None and (member.named or all_failed)
        ]
        idle.sort(key=lambda pair: (pair[0], self.rank(now, pair[1])))
        awaited = sum(member.call is not None for member in self.members.values())
        return [(member, at) for at, member in idle[: max(0, 2 - awaited)]]

    def beside(self, now: float) -> tuple[CoreMember, float] | None:
        """Who is to be asked beside the main member, and when: one that may be fresher or nearer."""
        if self.main is None:
            return None
        found = []
        for member in self.members.values():
            if not member.named or member is self.main or member.call is not None:
                continue
            at = max(self.look_at, member.rest_until)
            if self.main.stale > 0:
                at = max(at, member.tried_at + LOOK_ROUND)
            elif member.took is not None:
                again = (
                    member.tried_at + LOOK_AGAIN
                    if self.nearer(member) and member.stale == 0
                    else member.measured + MEASURE_AGAIN
                )
                at = max(at, again)
            found.append((at, member.tried_at, member.order, member))
        if not found:
            return None
        at, _, _, member = min(found, key=lambda one: one[:3])
        return member, at

    def nearer(self, member: CoreMember) -> bool:
        took, main = member.took, self.main.took
        return took is not None and main is not None and took < NEARER * main and main - took > NEARER_BY

    def ask(self, now: float, member: CoreMember, wait: float) -> None:
        self.number += 1
        call = Call(self.number, now, wait)
        member.call, member.tried_at = call, now
        member.calls.append(call)
        ask = WatchRequest(self.edge, self.control, self.upstreams, wait, self.version, self.list_age(now))
        self.effects.append(AskTo(member.address, ask, wait + LATE, call.number))

    def ask_all(self, now: float) -> None:
        """What is withheld is handed on when every member has been asked, and has answered or failed."""
        asked = [member for member in self.members.values() if member.named]
        for member in asked:
            if member.tried_at == -inf:
                self.ask(now, member, 0.0)
        if now >= self.withheld_until or all(member.failures or member.measured > -inf for member in asked):
            self.release()

    def release(self) -> None:
        self.applied = True
        self.updates += self.withheld
        self.withheld, self.withheld_until = [], inf

    def fail(self, now: float, member: CoreMember) -> None:
        member.call = None
        member.failures += 1
        member.failed_at = now
        member.rest_until = now + min(FIRST_REST * 2 ** min(member.failures - 1, 8), LONGEST_REST)
        if member is self.main:
            self.main = None

    def measure(self, now: float, member: CoreMember, call: Call | None, told: WatchResponse) -> None:
        member.failures, member.rest_until, member.failed_at = 0, -inf, -inf
        member.stale = max(0.0, told.primary_age_s - OLD_WORD) + max(0.0, told.endpoints_age_s - OLD_LIST)
        if call is None:
            return
        if call is member.call:
            member.call = None
        took = max(0.0, now - call.at - told.pending_s)
        member.took = took if member.took is None else min(took, (took + member.took) / 2)
        member.measured = now

    def choose(self, now: float, member: CoreMember) -> None:
        """Makes it the main member if there is none, or it is fresher, or as fresh and nearer."""
        main = self.main
        if main is None or (
            member is not main
            and (
                main.stale - member.stale > BETTER
                or (member.stale <= main.stale and member.named and self.nearer(member))
            )
        ):
            self.main, self.next_at = member, now

    # --- what is taken of an answer

    def take(self, now: float, told: WatchResponse) -> bool:
        """What is newer goes to `updates`; whether anything was. ValueError if it can't be read; then nothing
        was taken."""
        control = self.newer_control(told.control)
        moved = told.endpoints if self.newer_list(now, told.endpoints) else None
        if control is not None:
            self.control, self.version = (control.epoch, control.sequence), control.version
            self.withheld.append(control)
            if not self.applied:
                self.withheld_until = min(self.withheld_until, now + FIRST_PATIENCE)
        # Guards against an edge that starts and serves by what a member behind a cut still holds.
        if self.withheld and (self.applied or told.primary_age_s <= OLD_WORD):
            self.release()
        if moved is not None:
            self.upstreams = self.floor = (moved.term, moved.number)
            self.known_at = now - moved.age_s
            self.updates.append(moved)
        elif (
            told.endpoints is not None
            and self.known_at is not None
            and (told.endpoints.term, told.endpoints.number) == self.upstreams
        ):
            self.known_at = max(self.known_at, now - told.endpoints.age_s)
        return control is not None or moved is not None

    def newer_control(self, change: ControlChange | None) -> ControlChange | None:
        if change is None or (change.epoch, change.sequence) <= self.control:
            return None
        plain = decompress_configuration(change)
        if plain is None and change.version != self.version:
            return None  # it goes with an older ask: what it leaves out is not what is held now
        if change.version == self.version:
            plain = None
        return msgspec.structs.replace(change, configuration=plain or None, compressed=False)

    def newer_list(self, now: float, moved: EndpointUpdate | None) -> bool:
        if moved is None or not (moved.is_full or (moved.from_term, moved.from_number) == self.upstreams):
            return False
        version = moved.term, moved.number
        if version > self.floor or (version == self.floor != self.upstreams):
            return True
        # Guards against a fleet that waits for a date which no poller reaches: see `EndpointList.newer_than`.
        return version != self.upstreams and self.list_age(now) - moved.age_s > OLDER

    def count(self, told: WatchResponse) -> None:
        if told.members:
            self.named(told.members)
        counts = FleetView(told.edge_count, told.members)
        if counts != self.counts:
            self.counts = counts
            self.updates.append(counts)


def aged(told: WatchResponse, waited: float) -> WatchResponse:
    """As of now: it was under way, or unread, for up to `waited` s."""
    upstreams = told.endpoints
    if upstreams is not None:
        upstreams = msgspec.structs.replace(upstreams, age_s=upstreams.age_s + waited)
    return msgspec.structs.replace(
        told,
        endpoints=upstreams,
        primary_age_s=told.primary_age_s + waited,
        endpoints_age_s=told.endpoints_age_s + waited,
    )
