"""A core member as an edge sees it: requests that are pending there, response times, failures.

No I/O; times are seconds on a steady clock, handed in.
"""

from math import inf

REQUEST_TIMEOUT_S = 0.7  # beyond the time that a request may wait there, after which it counts as failed
RESEND_GAP_S = 0.02  # between two requests to the same member
STALE_CONTROL_S = (
    1.05  # of a member's control state, beyond which others are asked too: heartbeats 0.25 s apart, three
)
# of which lie between a state and what a follower may say of it (`replication.acknowledgement_times`)
STALE_ENDPOINT_LIST_S = 2.5  # the same for the age of its endpoint list
FIRST_BACKOFF_S = 0.1  # after a failure, doubled with each further one
LONGEST_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 8
CLOSER_RATIO = 0.6  # a member is closer if its round trip takes less than this part of the other's,
CLOSER_MARGIN_S = 0.002  # and this much less


class PendingRequest:
    """A request that was handed out, until its sender has said what became of it."""

    __slots__ = ("number", "sent_at", "wait_s", "deadline")

    def __init__(self, number: int, sent_at: float, wait_s: float) -> None:
        """`wait_s`: how long the member may hold the request where nothing is new."""
        self.number = number
        self.sent_at = sent_at
        self.wait_s = wait_s
        self.deadline = sent_at + wait_s + REQUEST_TIMEOUT_S


class CoreMember:
    """One core member and what its responses have shown.

    Attributes:
        address: of its peer transport.
        tie_break: drawn by chance, so that edges which measure the same spread over the members.
        listed: whether the last response with a list of members named it. Others are a last resort.
        pending: its newest request, while that is awaited; one of `unreported`.
        unreported: all requests of which the sender has not said what became of them, the oldest first.
            A request that a newer one replaced stays here until its time is long up.
        round_trip_s: smoothed, without the time that the member held the request; None until measured.
        measured_at: when that was; -inf: never.
        staleness_s: by how much its state is older than a response may be; 0: it is fresh.
        failures: in a row; 0 since its last response.
        backoff_until: before which no probe goes there; -inf while `failures` is 0.
        failed_at: when the last of these failures was; -inf while `failures` is 0.
        requested_at: when it was last sent a request; -inf: never.
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
        """A request goes there; one that was pending is replaced."""
        request = PendingRequest(number, now, wait_s)
        self.pending = request
        self.requested_at = now
        self.unreported.append(request)
        return request

    def match_response(self, now: float, number: int, held_s: float) -> PendingRequest | None:
        """The request that a response answers, which is no longer unreported; None if none fits.

        `number`: the request's; 0: not known, then the newest one that can have been held for `held_s`.
        """
        if number:
            return self._remove([one for one in self.unreported if one.number == number])
        held_long_enough = [one for one in self.unreported if one.sent_at + held_s <= now]
        return self._remove(held_long_enough[-1:] or self.unreported[:1])

    def match_failure(self, now: float, number: int) -> PendingRequest | None:
        """The request that failed, which is no longer unreported; None if none fits.

        `number`: the request's; 0: not known, then the oldest one whose time is up, or the newest. One that
        was replaced is never answered: its time runs out while a newer one is pending.
        """
        if number:
            return self._remove([one for one in self.unreported if one.number == number])
        timed_out = [one for one in self.unreported if one.deadline <= now + RESEND_GAP_S]
        return self._remove(timed_out[:1] or self.unreported[-1:])

    def _remove(self, found: list[PendingRequest]) -> PendingRequest | None:
        if not found:
            return None
        self.unreported.remove(found[0])
        return found[0]

    def drop_expired(self, now: float) -> None:
        """Requests whose sender says nothing of them, long after their time."""
        while self.unreported and self.unreported[0].deadline + 1.0 < now:
            self.unreported.pop(0)

    def note_failure(self, now: float) -> None:
        """A request failed: backs off, exponentially in the failures in a row."""
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
        """A response came, to `request` if that is known. The ages are as of now: since the member heard the
        primary, and of its endpoint list."""
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
        """Its round trip takes clearly less time; False if either was not measured."""
        mine = self.round_trip_s
        theirs = other.round_trip_s
        if mine is None or theirs is None:
            return False
        return mine < CLOSER_RATIO * theirs and theirs - mine > CLOSER_MARGIN_S

    def check_invariants(self) -> None:
        """What holds between two events, see the class. AssertionError if something doesn't."""
        assert self.pending is None or self.pending in self.unreported, self.address
        numbers = [request.number for request in self.unreported]
        assert numbers == sorted(set(numbers)), numbers
        assert (self.failures == 0) == (self.failed_at == -inf) == (self.backoff_until == -inf), self.failures
        assert (self.round_trip_s is None) == (self.measured_at == -inf), self.address
        assert self.round_trip_s is None or self.round_trip_s >= 0
        assert self.staleness_s >= 0
