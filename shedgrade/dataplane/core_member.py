"""A core member as an edge sees it: pending requests, round trip time, failures.

No I/O; times are seconds on a steady clock, passed in by the caller.
"""

from math import inf

REQUEST_TIMEOUT_S = 0.7  # a request fails when it is unanswered for this long beyond its maximum wait
RESEND_GAP_S = 0.02  # minimum time between two scheduled requests to the same member
# Other members are asked too when a member's control state is older than this. Heartbeats are 0.25 s apart,
# and three lie between a state and what a follower may report of it (`replication.acknowledgement_times`).
STALE_CONTROL_S = 1.05
STALE_ENDPOINT_LIST_S = 2.5  # the same limit for the age of a member's endpoint list
FIRST_BACKOFF_S = 0.1  # after the first failure; doubles with each further one
LONGEST_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 8
# A member is closer than another if its round trip takes less than this part of the other's and is shorter by
# more than the margin.
CLOSER_RATIO = 0.6
CLOSER_MARGIN_S = 0.002


class PendingRequest:
    """A request that was sent and whose outcome the sender has not reported yet."""

    __slots__ = ("number", "sent_at", "wait_s", "deadline")

    def __init__(self, number: int, sent_at: float, wait_s: float) -> None:
        """`wait_s`: maximum time that the member may hold the request while nothing is new."""
        self.number = number
        self.sent_at = sent_at
        self.wait_s = wait_s
        self.deadline = sent_at + wait_s + REQUEST_TIMEOUT_S


class CoreMember:
    """One core member and what its responses have shown.

    Attributes:
        address: peer transport address.
        tie_break: random number that spreads edges with equal measurements over the members.
        listed: whether the last response with a list of members named it. Other members are a last resort.
        pending: the newest request while it is unanswered; one of `unreported`.
        unreported: requests whose outcome the sender has not reported, oldest first. A replaced request stays
            here until it has long timed out.
        round_trip_s: smoothed round trip without the time that the member held the request; None until
            measured.
        measured_at: time of the last measurement; -inf if there was none.
        staleness_s: the time by which its state exceeds the permitted age; 0 if it is fresh.
        failures: consecutive failures since its last response.
        backoff_until: no probe is sent before this time; -inf while `failures` is 0.
        failed_at: time of the last of these failures; -inf while `failures` is 0.
        requested_at: time of the last request; -inf if there was none.
    """

    __slots__ = (
        "address",
        "tie_break",
        "listed",
        "pending",
        "unreported",
        "round_trip_s",
        "measured_at",
        "staleness_s",
        "failures",
        "backoff_until",
        "failed_at",
        "requested_at",
    )

    def __init__(self, address: str, tie_break: float, listed: bool = True) -> None:
        self.address = address
        self.tie_break = tie_break
        self.listed = listed
        self.pending: PendingRequest | None = None
        self.unreported: list[PendingRequest] = []
        self.round_trip_s: float | None = None
        self.measured_at = -inf
        self.staleness_s = 0.0
        self.failures = 0
        self.backoff_until = -inf
        self.failed_at = -inf
        self.requested_at = -inf

    def add_request(self, now: float, number: int, wait_s: float) -> PendingRequest:
        """Records a new request, which replaces the pending one."""
        request = PendingRequest(number, now, wait_s)
        self.pending = request
        self.requested_at = now
        self.unreported.append(request)
        return request

    def match_response(self, now: float, number: int, held_s: float) -> PendingRequest | None:
        """Removes the request that a response answers from `unreported` and returns it; None if none matches.

        `number`: the request's number; if it is unknown (0), the newest request that can have been held for
        `held_s` matches.
        """
        if number:
            return self._remove([request for request in self.unreported if request.number == number])
        held_long_enough = [request for request in self.unreported if request.sent_at + held_s <= now]
        return self._remove(held_long_enough[-1:] or self.unreported[:1])

    def match_failure(self, now: float, number: int) -> PendingRequest | None:
        """Removes the request that has failed from `unreported` and returns it; None if none matches.

        `number`: the request's number; if it is unknown (0), the oldest request that has timed out matches,
        or else the newest. A replaced request is never answered, so it times out while a newer one is
        pending.
        """
        if number:
            return self._remove([request for request in self.unreported if request.number == number])
        timed_out = [request for request in self.unreported if request.deadline <= now + RESEND_GAP_S]
        return self._remove(timed_out[:1] or self.unreported[-1:])

    def _remove(self, found: list[PendingRequest]) -> PendingRequest | None:
        if not found:
            return None
        self.unreported.remove(found[0])
        return found[0]

    def drop_expired(self, now: float) -> None:
        """Drops requests whose sender reports no outcome long after they have timed out."""
        while self.unreported and self.unreported[0].deadline + 1.0 < now:
            self.unreported.pop(0)

    def note_failure(self, now: float) -> None:
        """Records a failed request and backs off exponentially in the number of consecutive failures."""
        self.pending = None
        self.failures += 1
        self.failed_at = now
        doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
        self.backoff_until = now + min(FIRST_BACKOFF_S * 2**doublings, LONGEST_BACKOFF_S)

    def note_response(
        self,
        now: float,
        request: PendingRequest | None,
        held_s: float,
        primary_age_s: float,
        list_age_s: float,
    ) -> None:
        """Records a response to `request`, or to an unknown request if None.

        `primary_age_s`: time since the member heard from the primary; `list_age_s`: age of its endpoint list;
        both as of now.
        """
        self.failures = 0
        self.backoff_until = -inf
        self.failed_at = -inf
        self.staleness_s = max(0.0, primary_age_s - STALE_CONTROL_S) + max(
            0.0, list_age_s - STALE_ENDPOINT_LIST_S
        )
        if request is None:
            return
        if request is self.pending:
            self.pending = None
        sample = max(0.0, now - request.sent_at - held_s)
        previous = self.round_trip_s
        self.round_trip_s = sample if previous is None else min(sample, (sample + previous) / 2)
        self.measured_at = now

    def closer_than(self, other: "CoreMember") -> bool:
        """Whether its round trip is clearly shorter; False if either member was not measured."""
        own_s = self.round_trip_s
        other_s = other.round_trip_s
        if own_s is None or other_s is None:
            return False
        return own_s < CLOSER_RATIO * other_s and other_s - own_s > CLOSER_MARGIN_S

    def check_invariants(self) -> None:
        """Checks the documented properties of the attributes. AssertionError if one doesn't hold."""
        assert self.pending is None or self.pending in self.unreported, self.address
        numbers = [request.number for request in self.unreported]
        assert numbers == sorted(set(numbers)), numbers
        assert (self.failures == 0) == (self.failed_at == -inf) == (self.backoff_until == -inf), self.failures
        assert (self.round_trip_s is None) == (self.measured_at == -inf), self.address
        assert self.round_trip_s is None or self.round_trip_s >= 0
        assert self.staleness_s >= 0
