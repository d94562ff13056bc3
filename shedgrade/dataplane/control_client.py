"""The control client of an edge: decides which core members are sent watch requests, and handles responses.

A pure state machine: events go in (`handle_event`), instructions come out (`take_instructions`). No I/O;
times are seconds on a steady clock, passed in by the caller.

The edge watches one preferred member by long polling: it sends the next request as soon as the previous one
is answered, and the member answers when something has changed or when the request has waited for its maximum
time. The preferred member is the closest one with fresh state; closeness is the round trip without the time
that the member held the request. When the preferred member's state is stale, other members are probed with
requests that don't wait. `ReceivedState` keeps the newest state, whichever member it came from.
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

FRESHER_MARGIN_S = 0.2  # another member is preferred as fresher if its state is less stale by more than this
EARLY_RESPONSE_RATIO = 0.9  # a response is early if the request waited for less than this part of its maximum
EARLY_PAUSE_S = 0.25  # delay of the next request after an early response without news
MAX_RETRY_DELAY_S = 1.0  # maximum delay before a failed member is retried while no member is preferred
STARTING_REQUESTS = 2  # concurrent requests, to different members, while no member is preferred
PROBE_INTERVAL_S = 0.5  # minimum time between two probes, of any members
CLOSER_PROBE_INTERVAL_S = 2.0  # between two probes of a fresh member that is closer than the preferred one
MEASURE_INTERVAL_S = 30.0  # between two probes of any other member
MAX_MEMBERS = 32  # members kept in addition to those that are listed, preferred or have unreported requests
PLATFORM_POLL_AFTER_S = 3.0  # time without a response after which an edge may poll the platform itself
DEFAULT_MAX_WAIT_S = 1.0  # time that the preferred member may hold a request
UNMEASURED_ROUND_TRIP_S = 1.0  # round trip assumed for ranking a member that was never measured


class EdgeChangedEvent(msgspec.Struct, frozen=True):
    """The status of this edge, which requests report to the core, has changed."""

    at: float
    edge: EdgeStatus


class TickEvent(msgspec.Struct, frozen=True):
    """Time has passed. Due at `wake_at`; an earlier tick does no harm."""

    at: float


class ResponseEvent(msgspec.Struct, frozen=True):
    """The member at `address` has answered request `number`; 0 if the number is unknown."""

    at: float
    address: str
    response: WatchResponse
    number: int = 0


class RequestFailedEvent(msgspec.Struct, frozen=True):
    """Request `number` couldn't be sent, was interrupted or timed out; 0 if the number is unknown."""

    at: float
    address: str
    number: int = 0


class MembersDiscoveredEvent(msgspec.Struct, frozen=True):
    """Other processes have named these core members. They are used only when all listed members fail."""

    addresses: tuple[str, ...]


class OwnListAppliedEvent(msgspec.Struct, frozen=True):
    """The edge has applied an endpoint list that it polled from the platform itself."""

    at: float


class UpdateRejectedEvent(msgspec.Struct, frozen=True):
    """The edge could not apply an update.

    `configuration_version`: version of the configuration that is in force as a whole; -1 if none is.
    """

    at: float
    update: Update
    configuration_version: int


Event = (
    EdgeChangedEvent
    | TickEvent
    | ResponseEvent
    | RequestFailedEvent
    | MembersDiscoveredEvent
    | OwnListAppliedEvent
    | UpdateRejectedEvent
)


class SendWatchRequest(msgspec.Struct, frozen=True):
    """Instruction: send `request` to the member at `address` and report the outcome with its `number`: as a
    ResponseEvent, or as a RequestFailedEvent if no response comes within `timeout_s`."""

    address: str
    request: WatchRequest
    timeout_s: float
    number: int

    @property
    def is_probe(self) -> bool:
        """Whether the request doesn't wait, since its member is not the preferred one."""
        return self.request.wait_s <= 0


class ApplyUpdates(msgspec.Struct, frozen=True):
    """Instruction: apply these updates in order."""

    updates: tuple[Update, ...]


Instruction = SendWatchRequest | ApplyUpdates
Rank = tuple[bool, bool, int, float, float]


class Watcher:
    """Decides which core members are sent requests, and when.

    Attributes:
        edge: the status of this edge, which each request reports.
        max_wait_s: maximum time that the preferred member may hold a request while nothing is new.
        received: the newest state from all responses.
        members: the known core members by address. At most MAX_MEMBERS, not counting members that are listed,
            preferred or have unreported requests.
        preferred_member: the member that is watched; one of `members`, without failures. None at the start
            and after it has failed, until any member answers.
        next_request_at: when the next request to the preferred member is due; meaningless while no member is
            preferred or its request is pending.
        next_probe_at: no member is probed before this time.
        request_number: the number of the last request; numbers only increase.
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
        """`seeds`: peer transport addresses of core members. The first instructions are available at once."""
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
        """Handles one event; the resulting instructions are returned by `take_instructions`."""
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
            case UpdateRejectedEvent(at, update, version):
                self.received.reject(at, update, version)
                # Guards against a busy loop: the member answers at once with what could not be applied.
                self.next_request_at = max(self.next_request_at, at + EARLY_PAUSE_S)

    def take_instructions(self) -> list[Instruction]:
        """Returns and clears the pending instructions: requests to send, then updates to apply."""
        instructions: list[Instruction] = [*self._requests]
        self._requests.clear()
        updates = self.received.updates
        if updates:
            instructions.append(ApplyUpdates(tuple(updates)))
            updates.clear()
        return instructions

    def wake_at(self) -> float:
        """When the next TickEvent is due; inf if none is."""
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

    # --- freshness and invariants

    def response_age_s(self, now: float) -> float:
        """The time since the last response of any core member, or since the start if there was none."""
        last = self.received.last_response_at
        return now - (self._started_at if last is None else last)

    def platform_poll_interval_s(self, now: float, rate_per_s: float) -> float | None:
        """The interval at which this edge may poll the platform for endpoint lists; None if it may not.

        It may poll only when all members have been silent, and only at its share of the platform's rate,
        since all edges may have lost the core.
        """
        if self.response_age_s(now) <= PLATFORM_POLL_AFTER_S:
            return None
        counts = self.received.counts
        edges = max(1, counts.edge_count) if counts is not None else 1
        return max(PLATFORM_POLL_AFTER_S, 4 * edges / rate_per_s)

    def check_invariants(self) -> None:
        """Checks the documented properties of the attributes. AssertionError if one doesn't hold."""
        preferred = self.preferred_member
        if preferred is not None:
            assert self.members.get(preferred.address) is preferred, preferred.address
            assert preferred.failures == 0, preferred.address
        unlisted_members = [
            member
            for member in self.members.values()
            if not (member.listed or member is preferred or member.unreported)
        ]
        assert len(unlisted_members) <= MAX_MEMBERS, len(unlisted_members)
        for address, member in self.members.items():
            assert member.address == address
            member.check_invariants()
            assert all(request.number <= self.request_number for request in member.unreported), address
        self.received.check_invariants()

    # --- members

    def _set_listed(self, addresses: Iterable[str]) -> None:
        """Replaces the list of core members. Earlier members are kept and used when all listed ones fail."""
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
        """Reports the change to the preferred member, and to a second one if shutdown has advanced."""
        if edge == self.edge:
            return
        closer_to_end = edge.shutdown_stage > self.edge.shutdown_stage
        self.edge = edge
        recipients = [self.preferred_member] if self.preferred_member is not None else []
        if closer_to_end:
            others = [member for member in self.members.values() if member is not self.preferred_member]
            recipients += sorted(others, key=self._rank)[:1]
        for member in recipients:
            self._send_request(now, member)
        self._tick(now)

    def _tick(self, now: float) -> None:
        """Times out overdue requests and sends the requests that are due."""
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
            request = member.match_response(now, event.number, response.held_s)
        if request is not None:
            response = with_current_ages(response, max(0.0, now - request.sent_at - response.held_s))
        try:
            brought_news = self.received.take(now, response)
        except ValueError as error:
            # Guards against a member whose responses can't be decoded: it counts as failed, so that another
            # member is asked, unless a newer request to it is pending.
            logger.warning("watch response rejected", member=event.address, error=error)
            if member is not None and (request is member.pending or member.pending is None):
                self._note_failure(now, member)
            self._tick(now)
            return
        self.received.last_response_at = now
        if member is not None:
            member.note_response(
                now, request, response.held_s, response.primary_age_s, response.endpoints_age_s
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
        """Makes a member that has answered the preferred one if there is none or it is fresher, or as fresh
        and closer."""
        preferred = self.preferred_member
        if preferred is not None:
            if member is preferred:
                return
            fresher = preferred.staleness_s - member.staleness_s > FRESHER_MARGIN_S
            as_fresh = member.staleness_s <= preferred.staleness_s
            if not (fresher or (as_fresh and member.listed and member.closer_than(preferred))):
                return
        self.preferred_member = member
        self.next_request_at = now

    def _schedule_next_request(
        self, now: float, request: PendingRequest | None, response: WatchResponse, brought_news: bool
    ) -> None:
        """Schedules the next request to the preferred member, which has just answered."""
        sent_at = now if request is None else request.sent_at
        early = (
            request is not None
            and not brought_news
            and response.held_s < EARLY_RESPONSE_RATIO * request.wait_s
        )
        self.next_request_at = max(sent_at + RESEND_GAP_S, now + EARLY_PAUSE_S if early else now)

    def _rank(self, member: CoreMember) -> Rank:
        """The sort key of a member; the lowest is asked first."""
        round_trip_s = UNMEASURED_ROUND_TRIP_S if member.round_trip_s is None else member.round_trip_s
        return (
            not member.listed,
            member.staleness_s > 0,
            member.failures,
            round_trip_s,
            member.tie_break,
        )

    def _next_requests(self, now: float) -> list[tuple[CoreMember, float]]:
        """Returns the members that are due a request other than a probe, each with the time: the preferred
        member if there is one. Otherwise as many members as bring the pending requests to
        STARTING_REQUESTS."""
        if self.preferred_member is not None:
            if self.preferred_member.pending is not None:
                return []
            return [(self.preferred_member, self.next_request_at)]
        members = self.members.values()
        all_listed_failed = all(member.failures for member in members if member.listed)
        idle = [
            (member, max(now, min(member.backoff_until, member.failed_at + MAX_RETRY_DELAY_S)))
            for member in members
            if member.pending is None and (member.listed or all_listed_failed)
        ]
        idle.sort(key=lambda pair: (pair[1], self._rank(pair[0])))
        pending = sum(member.pending is not None for member in members)
        return idle[: max(0, STARTING_REQUESTS - pending)]

    def _next_probe(self) -> tuple[CoreMember, float] | None:
        """Returns the next listed member to probe, and when: one that may be fresher or closer than the
        preferred one. None if there is none.
        """
        if self.preferred_member is None:
            return None
        candidates = [
            (self._probe_at(member), member.requested_at, member.tie_break, member)
            for member in self.members.values()
            if member.listed and member is not self.preferred_member and member.pending is None
        ]
        if not candidates:
            return None
        at, _, _, member = min(candidates, key=lambda candidate: candidate[:3])
        return member, at

    def _probe_at(self, member: CoreMember) -> float:
        """The earliest time for a probe of `member`, which is not delayed if it was never measured."""
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
        """Queues a request: one that may wait to the preferred member, a probe to any other."""
        wait_s = self.max_wait_s if member is self.preferred_member else 0.0
        self.request_number += 1
        member.add_request(now, self.request_number, wait_s)
        self._requests.append(
            SendWatchRequest(
                member.address, self.request(now, wait_s), wait_s + REQUEST_TIMEOUT_S, self.request_number
            )
        )

    def request(self, now: float, wait_s: float) -> WatchRequest:
        """A request that names what this edge has now. `wait_s`: time for which the response may be held."""
        received = self.received
        return WatchRequest(
            self.edge,
            received.requested_control(now),
            received.endpoint_list,
            wait_s,
            received.configuration_version,
            received.list_age_s(now),
        )

    def _ask_all_before_release(self, now: float) -> None:
        """Releases withheld control state once every listed member was asked and has answered or failed, or
        when its time is up.
        """
        asked = [member for member in self.members.values() if member.listed]
        for member in asked:
            if member.requested_at == -inf:
                self._send_request(now, member)
        if now >= self.received.withheld_until or all(
            member.failures or member.measured_at > -inf for member in asked
        ):
            self.received.release_withheld()


def with_current_ages(response: WatchResponse, delay_s: float) -> WatchResponse:
    """Returns the response with ages as of now; it was in transit or unread for up to `delay_s`."""
    endpoints = response.endpoints
    if endpoints is not None:
        endpoints = msgspec.structs.replace(endpoints, age_s=endpoints.age_s + delay_s)
    return msgspec.structs.replace(
        response,
        endpoints=endpoints,
        primary_age_s=response.primary_age_s + delay_s,
        endpoints_age_s=response.endpoints_age_s + delay_s,
    )
