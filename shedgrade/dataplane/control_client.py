"""The control client of an edge: which core member it watches, and what it takes of the responses.

A pure state machine: events in (`handle_event`), instructions out (`take_instructions`). No I/O; times are
seconds on a steady clock, handed in.

One preferred member is watched by long polling: each request follows as soon as the one before is answered,
and the member answers when something changed, or after the time that the request may wait. The closest member
that is fresh is the preferred one, by the round trip without the time that the member held the request. Where
its state is stale, others are probed: requests that wait for nothing. `ReceivedState` takes what is newer,
whoever answers.
"""

from collections.abc import Iterable
from math import inf
from random import Random

import msgspec

from shedgrade.control_messages import EdgeStatus, FleetView, WatchRequest, WatchResponse
from shedgrade.dataplane.core_member import (
    REQUEST_TIMEOUT_S,
    RESEND_GAP_S,
    CoreMember,
    PendingRequest,
)
from shedgrade.dataplane.received_state import ReceivedState, Update
from shedgrade.runtime.log import logger

FRESHER_BY_S = 0.2  # by which another member must be less stale to be preferred
EARLY_RESPONSE = 0.9  # of the time that a request may wait: a response before that is early
EARLY_PAUSE_S = 0.25  # until the next request, where a response was early and brought nothing new
RETRY_ALL_S = 1.0  # after a failure at which a member is tried again at the latest, where none is preferred
STARTING_REQUESTS = 2  # members that are asked at once while none is preferred
PROBE_INTERVAL_S = 0.5  # between two probes
CLOSER_PROBE_INTERVAL_S = 2.0  # between two probes of a member that was closer
MEASURE_INTERVAL_S = 30.0  # between two probes of any other member
MAX_MEMBERS = 32  # that are remembered, beside those that are listed
PLATFORM_POLL_AFTER_S = 3.0  # without a response, before an edge may poll the platform itself
DEFAULT_MAX_WAIT_S = 1.0  # for which a request may wait at the preferred member
UNMEASURED_ROUND_TRIP_S = 1.0  # by which a member ranks that was never measured


class EdgeChangedEvent(msgspec.Struct, frozen=True):
    """This edge is something else now, as it is to tell the core."""

    at: float
    edge: EdgeStatus


class TickEvent(msgspec.Struct, frozen=True):
    """Time has passed; due at `wake_at`, and harmless at any time."""

    at: float


class ResponseEvent(msgspec.Struct, frozen=True):
    """A response came from the member at `address`. `number`: of its request; 0: not known."""

    at: float
    address: str
    response: WatchResponse
    number: int = 0


class RequestFailedEvent(msgspec.Struct, frozen=True):
    """A request could not be sent, was cut off, or not answered in time. `number`: its number; 0: not
    known.
    """

    at: float
    address: str
    number: int = 0


class MembersDiscoveredEvent(msgspec.Struct, frozen=True):
    """Other processes speak of these core members: a last resort, when all that are listed fail."""

    addresses: tuple[str, ...]


class OwnListAppliedEvent(msgspec.Struct, frozen=True):
    """The edge has applied an endpoint list that it polled from the platform itself."""

    at: float


Event = (
    EdgeChangedEvent
    | TickEvent
    | ResponseEvent
    | RequestFailedEvent
    | MembersDiscoveredEvent
    | OwnListAppliedEvent
)


class SendWatchRequest(msgspec.Struct, frozen=True):
    """Instruction: send `request` to the member at `address`, and report it as a ResponseEvent, or as a
    RequestFailedEvent if none comes within `timeout_s`, with its `number`."""

    address: str
    request: WatchRequest
    timeout_s: float
    number: int

    @property
    def is_probe(self) -> bool:
        """It waits for nothing, as its member is not the preferred one."""
        return self.request.wait_s <= 0


class ApplyUpdates(msgspec.Struct, frozen=True):
    """Instruction: apply these, in order."""

    updates: tuple[Update, ...]


Instruction = SendWatchRequest | ApplyUpdates
Rank = tuple[bool, bool, int, float, float]


class Watcher:
    """Decides which core members are sent requests, and when.

    Attributes:
        edge: this edge, as each request tells it.
        max_wait_s: for which a request may wait at the preferred member where nothing is new.
        received: what was taken of the responses.
        members: the core members known, by address. Never more than MAX_MEMBERS but for those that are
            listed, preferred or have unreported requests.
        preferred_member: the one that is watched; one of `members`, without failures. None at the start
            and after it has failed, until any member answers.
        next_request_at: when the preferred member is sent the next request; means nothing while there is
        none,
            or its request is pending.
        next_probe_at: before which no member is probed.
        request_number: of the last request that was handed out; numbers only grow.
        now: the time of the last TickEvent, or of the last event that led to a tick.
    """

    def __init__(
        self,
        edge: EdgeStatus,
        seeds: Iterable[str],
        random: Random,
        now: float,
        max_wait_s: float = DEFAULT_MAX_WAIT_S,
    ) -> None:
        """`seeds`: peer transport addresses of core members. The first instructions are there at once."""
        self.edge = edge
        self.max_wait_s = max_wait_s
        self.received = ReceivedState()
        self.members: dict[str, CoreMember] = {}
        self.preferred_member: CoreMember | None = None
        self.next_request_at = now
        self.next_probe_at = now
        self.request_number = 0
        self.now = now
        self._random = random
        self._started_at = now
        self._requests: list[SendWatchRequest] = []
        self._set_listed(dict.fromkeys(seeds))
        self._tick(now)

    # --- events and instructions

    def handle_event(self, event: Event) -> None:
        """Takes one event; `take_instructions` has what follows."""
        match event:
            case TickEvent(at):
                self._tick(at)
            case ResponseEvent():
                self._handle_response(event)
            case RequestFailedEvent(at, address, number):
                self._handle_failure(at, address, number)
            case EdgeChangedEvent(at, edge):
                self._handle_edge_change(at, edge)
            case MembersDiscoveredEvent(addresses):
                self._add_unlisted(addresses)
            case OwnListAppliedEvent(at):
                self.received.own_list_applied(at)

    def take_instructions(self) -> list[Instruction]:
        """What is to be done since the last call: requests to send, then updates to apply."""
        instructions: list[Instruction] = [*self._requests]
        self._requests.clear()
        updates = self.received.updates
        if updates:
            instructions.append(ApplyUpdates(tuple(updates)))
            updates.clear()
        return instructions

    def wake_at(self) -> float:
        """When a TickEvent is due next; inf: never."""
        due = [self.received.withheld_until]
        due += [
            member.pending.deadline + RESEND_GAP_S
            for member in self.members.values()
            if member.pending is not None
        ]
        due += [at for _, at in self._next_requests(self.now)]
        probe = self._next_probe()
        if probe is not None:
            due.append(probe[1])
        return min(due)

    # --- what is known

    def response_age_s(self, now: float) -> float:
        """Since any core member's last response, or the start."""
        last = self.received.last_response_at
        return now - (self._started_at if last is None else last)

    def platform_poll_interval_s(self, now: float, rate_per_s: float) -> float | None:
        """The time between two lists that this edge may poll from the platform itself; None: it may not.

        Only when all members have been silent, and at its share of the platform's rate, since all edges may
        have lost the core.
        """
        if self.response_age_s(now) <= PLATFORM_POLL_AFTER_S:
            return None
        counts = self.received.counts
        edges = max(1, counts.edge_count) if counts is not None else 1
        return max(PLATFORM_POLL_AFTER_S, 4 * edges / rate_per_s)

    def check_invariants(self) -> None:
        """What holds between two events, see the attributes. AssertionError if something doesn't."""
        preferred = self.preferred_member
        if preferred is not None:
            assert self.members.get(preferred.address) is preferred, preferred.address
            assert preferred.failures == 0, preferred.address
        spare = [
            member
            for member in self.members.values()
            if not (member.listed or member is preferred or member.unreported)
        ]
        assert len(spare) <= MAX_MEMBERS, len(spare)
        for address, member in self.members.items():
            assert member.address == address
            member.check_invariants()
            assert all(request.number <= self.request_number for request in member.unreported), address
        self.received.check_invariants()

    # --- members

    def _set_listed(self, addresses: Iterable[str]) -> None:
        """The core members as one of them lists them. Others are kept, and asked when all of these fail."""
        for member in self.members.values():
            member.listed = False
        for address in addresses:
            if address not in self.members:
                self.members[address] = CoreMember(address, self._random.random())
            self.members[address].listed = True
        if len(self.members) > MAX_MEMBERS:
            self.members = {
                address: member
                for address, member in self.members.items()
                if member.listed or member is self.preferred_member or member.unreported
            }

    def _add_unlisted(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self.members and len(self.members) < MAX_MEMBERS:
                self.members[address] = CoreMember(address, self._random.random(), listed=False)

    # --- handling of events

    def _handle_edge_change(self, now: float, edge: EdgeStatus) -> None:
        """The preferred member is told at once, and a second one if the edge's end has come nearer."""
        if edge == self.edge:
            return
        closer_to_end = edge.shutdown_stage > self.edge.shutdown_stage
        self.edge = edge
        told = [self.preferred_member] if self.preferred_member is not None else []
        if closer_to_end:
            others = [member for member in self.members.values() if member is not self.preferred_member]
            told += sorted(others, key=self._rank)[:1]
        for member in told:
            self._send_request(now, member)
        self._tick(now)

    def _tick(self, now: float) -> None:
        """Gives up requests whose time is up, and hands out those that are due."""
        self.now = now
        for member in self.members.values():
            if member.pending is not None and member.pending.deadline + RESEND_GAP_S <= now:
                self._note_failure(now, member)
            member.drop_expired(now)
        for member, at in self._next_requests(now):
            if at <= now:
                self._send_request(now, member)
        if self.received.withheld:
            self._ask_all_before_release(now)
        probe = self._next_probe()
        if probe is not None and probe[1] <= now:
            self.next_probe_at = now + PROBE_INTERVAL_S
            self._send_request(now, probe[0])

    def _handle_response(self, event: ResponseEvent) -> None:
        now = event.at
        response = event.response
        member = self.members.get(event.address)
        request = None
        if member is not None:
            request = member.match_response(now, event.number, response.pending_s)
        if request is not None:
            response = aged(response, max(0.0, now - request.sent_at - response.pending_s))
        try:
            brought_news = self.received.take(now, response)
        except ValueError as error:
            # Guards against a member whose responses can't be read: another is asked.
            logger.warning("watch response rejected", member=event.address, error=error)
            if member is not None and (request is member.pending or member.pending is None):
                self._note_failure(now, member)
            self._tick(now)
            return
        self.received.last_response_at = now
        if member is not None:
            member.note_response(
                now, request, response.pending_s, response.primary_age_s, response.endpoints_age_s
            )
            self._prefer_if_better(now, member)
            if member is self.preferred_member:
                self._schedule_next_request(now, request, response, brought_news)
        if member is None or member.staleness_s == 0 or member is self.preferred_member:
            self._take_counts(response)
        self._tick(now)

    def _handle_failure(self, now: float, address: str, number: int) -> None:
        member = self.members.get(address)
        if member is None:
            return
        request = member.match_failure(now, number)
        if request is not None and request is member.pending:
            self._note_failure(now, member)
        self._tick(now)

    def _note_failure(self, now: float, member: CoreMember) -> None:
        member.note_failure(now)
        if member is self.preferred_member:
            self.preferred_member = None

    def _take_counts(self, response: WatchResponse) -> None:
        if response.members:
            self._set_listed(response.members)
        self.received.take_counts(FleetView(response.edge_count, response.members))

    # --- which member is sent a request

    def _prefer_if_better(self, now: float, member: CoreMember) -> None:
        """Prefers a member that has answered if there is none, or it is fresher, or as fresh and closer."""
        preferred = self.preferred_member
        if preferred is not None:
            if member is preferred:
                return
            fresher = preferred.staleness_s - member.staleness_s > FRESHER_BY_S
            as_fresh = member.staleness_s <= preferred.staleness_s
            if not (fresher or (as_fresh and member.listed and member.closer_than(preferred))):
                return
        self.preferred_member = member
        self.next_request_at = now

    def _schedule_next_request(
        self, now: float, request: PendingRequest | None, response: WatchResponse, brought_news: bool
    ) -> None:
        """The next request to the preferred member, which has just answered."""
        sent_at = now if request is None else request.sent_at
        early = (
            request is not None and not brought_news and response.pending_s < EARLY_RESPONSE * request.wait_s
        )
        self.next_request_at = max(sent_at + RESEND_GAP_S, now + EARLY_PAUSE_S if early else now)

    def _rank(self, member: CoreMember) -> Rank:
        """The lowest is asked first."""
        round_trip_s = UNMEASURED_ROUND_TRIP_S if member.round_trip_s is None else member.round_trip_s
        return (
            not member.listed,
            member.staleness_s > 0,
            member.failures,
            round_trip_s,
            member.tie_break,
        )

    def _next_requests(self, now: float) -> list[tuple[CoreMember, float]]:
        """Who is sent a request that is no probe, and when: the preferred member, or while there is none, any
        STARTING_REQUESTS."""
        if self.preferred_member is not None:
            if self.preferred_member.pending is not None:
                return []
            return [(self.preferred_member, self.next_request_at)]
        members = self.members.values()
        all_listed_failed = all(member.failures for member in members if member.listed)
        idle = [
            (member, max(now, min(member.backoff_until, member.failed_at + RETRY_ALL_S)))
            for member in members
            if member.pending is None and (member.listed or all_listed_failed)
        ]
        idle.sort(key=lambda pair: (pair[1], self._rank(pair[0])))
        pending = sum(member.pending is not None for member in members)
        return idle[: max(0, STARTING_REQUESTS - pending)]

    def _next_probe(self) -> tuple[CoreMember, float] | None:
        """Which listed member is probed, and when: one that may be fresher or closer than the preferred
        one.
        """
        if self.preferred_member is None:
            return None
        found = [
            (self._probe_at(member), member.requested_at, member.tie_break, member)
            for member in self.members.values()
            if member.listed and member is not self.preferred_member and member.pending is None
        ]
        if not found:
            return None
        at, _, _, member = min(found, key=lambda candidate: candidate[:3])
        return member, at

    def _probe_at(self, member: CoreMember) -> float:
        """When `member` may be probed; at once if it was never measured."""
        preferred = self.preferred_member
        at = max(self.next_probe_at, member.backoff_until)
        if preferred is None:
            return at
        if preferred.staleness_s > 0:
            return max(at, member.requested_at + PROBE_INTERVAL_S)
        if member.round_trip_s is None:
            return at
        if member.staleness_s == 0 and member.closer_than(preferred):
            return max(at, member.requested_at + CLOSER_PROBE_INTERVAL_S)
        return max(at, member.measured_at + MEASURE_INTERVAL_S)

    def _send_request(self, now: float, member: CoreMember) -> None:
        """Hands a request out: one that may wait to the preferred member, a probe to any other."""
        wait_s = self.max_wait_s if member is self.preferred_member else 0.0
        self.request_number += 1
        member.add_request(now, self.request_number, wait_s)
        received = self.received
        request = WatchRequest(
            self.edge,
            received.control,
            received.endpoint_list,
            wait_s,
            received.configuration_version,
            received.list_age_s(now),
        )
        self._requests.append(
            SendWatchRequest(member.address, request, wait_s + REQUEST_TIMEOUT_S, self.request_number)
        )

    def _ask_all_before_release(self, now: float) -> None:
        """Withheld control state is handed on once every listed member was asked, and has answered or
        failed.
        """
        asked = [member for member in self.members.values() if member.listed]
        for member in asked:
            if member.requested_at == -inf:
                self._send_request(now, member)
        if now >= self.received.withheld_until or all(
            member.failures or member.measured_at > -inf for member in asked
        ):
            self.received.release_withheld()


def aged(response: WatchResponse, delay_s: float) -> WatchResponse:
    """The response as of now: it was under way, or unread, for up to `delay_s`."""
    endpoints = response.endpoints
    if endpoints is not None:
        endpoints = msgspec.structs.replace(endpoints, age_s=endpoints.age_s + delay_s)
    return msgspec.structs.replace(
        response,
        endpoints=endpoints,
        primary_age_s=response.primary_age_s + delay_s,
        endpoints_age_s=response.endpoints_age_s + delay_s,
    )
