"""Recorder of calls: takes the balancer's place where capture is on, passes each call on, and records it.

The recorder decides nothing and changes no argument. Its cost is bounded: above `most_rows` calls in a
second, or while dispatch passes are late, nothing is recorded. A gap record marks the pause, and a checkpoint
follows once the load has fallen.
"""

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.capture.rows import (
    ADMIT,
    ATTEMPT_FINISHED,
    BODY_RECEIVED,
    CLIENT_DISCONNECTED,
    DECIDE,
    DRAW_ADMISSION,
    DUE,
    DUE_ENDED,
    LIST_CHANGED,
    LIST_FAILED,
    MARK_UNVERIFIED,
    NO_DECISION,
    RESPONSE_STARTED,
    RESTORE,
    ROWS_PER_RECORD,
    SET_SLOW_START_SHARE,
    SET_WITHDRAWN,
    TAKE_RELEASED,
    UNIFORM,
    UPDATE_SETTINGS,
    WANTS_LIST,
    Ring,
)
from shedgrade.sidecar.capture.state import freeze

SECOND = 10_000  # tenths of a ms
# Lag of dispatch passes, tenths of a ms, from which recording pauses. The dispatcher measures it up to 50.
PAUSE_LAG = 40
MANY_LIVE_RPCS = (
    400  # requests in flight from which checkpoints are postponed, as one blocks the loop for 10 ms
)
# Factor of the checkpoint interval from MANY_LIVE_RPCS requests in flight on; at most 4, as a ring must hold
# two checkpoints.
POSTPONED_INTERVAL_FACTOR = 4
# Tenths of a ms between two checks of load and checkpoints; between them a pass costs one comparison.
LOAD_CHECK_INTERVAL = 500
# Delay from an overload until recording resumes. Shorter gaps would each cost a checkpoint.
RESUME_DELAY = 2 * SECOND


def hash_id(name: bytes) -> bytes:
    """Returns the hash that a capture stores in place of an id.

    Requests with a known id can be found by its hash; ids can't be read from the capture.
    """
    return blake2b(name, digest_size=8).digest()


class RecordedRpc:
    """The dispatcher's handle of one request: passes calls on to the balancer's handle, and records them.

    rpc: the balancer's handle.
    number: number of the request in the capture, from 1.
    """

    __slots__ = ("rpc", "number", "recorder")

    def __init__(self, recorder: "Recorder", rpc: load_balancing.Rpc, number: int) -> None:
        self.recorder = recorder
        self.rpc = rpc
        self.number = number

    @property
    def attempts(self) -> list:
        """Returns the attempts of the request."""
        return self.rpc.attempts

    @property
    def sent_at(self) -> list:
        """Returns when each attempt was sent."""
        return self.rpc.sent_at

    def first_possibly_executed(self) -> int | None:
        """Returns the first attempt that may have been executed, from the balancer's handle."""
        return self.rpc.first_possibly_executed()

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides, and records the answer, except None for a request that is done."""
        answer = self.rpc.decide(now)
        if answer is None:
            if not self.rpc.done:  # `decide` of a finished request always returns None
                self.recorder.record_call(now, NO_DECISION, self.number)
        else:
            self.recorder.record_call(now, DECIDE, self.number, *answer)
            self.forget_if_done()
        return answer

    def forget_if_done(self) -> None:
        """Forgets a request that is done and has no attempt outstanding."""
        if self.rpc.done and not self.rpc.outstanding:
            self.recorder.live_rpcs.pop(self.number, None)

    def attempt_finished(
        self,
        now: int,
        attempt: int,
        outcome: int,
        duration: int,
        answered: bool,
        first_on_connection: bool = False,
    ) -> list[int]:
        """Passes the outcome of an attempt on, and records it with the attempts to stop."""
        stops = self.rpc.attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)
        self.recorder.record_call(
            now,
            ATTEMPT_FINISHED,
            self.number,
            attempt,
            outcome,
            duration,
            answered,
            first_on_connection,
            stops,
        )
        self.forget_if_done()
        return stops

    def response_started(self, long_lived: bool = False) -> None:
        """Passes the start of the response on, and records it."""
        self.rpc.response_started(long_lived)
        self.recorder.record_call(self.recorder.now, RESPONSE_STARTED, self.number, long_lived)

    def body_received(self, now: int, deadline: int, buffered: bool, complete: bool) -> int:
        """Passes the progress of a request's body on, and records it with the time limit returned."""
        limit = self.rpc.body_received(now, deadline, buffered, complete)
        self.recorder.record_call(now, BODY_RECEIVED, self.number, deadline - now, buffered, complete, limit)
        return limit

    def client_disconnected(self, now: int) -> list[int]:
        """Passes the disconnect on, and records it with the attempts to stop."""
        stops = self.rpc.client_disconnected(now)
        self.recorder.record_call(now, CLIENT_DISCONNECTED, self.number, stops)
        self.forget_if_done()
        return stops


class Recorder:
    """Takes the place of a Balancer: the same calls with the same results, recorded."""

    def __init__(
        self,
        settings: dict,
        seed: int,
        now: int,
        ring: Ring,
        checkpoint: int = 30 * SECOND,
        most_rows: int = 50_000,
        ids: str = "hash",
        write: Callable[[bytes, bool], bool] | None = None,
    ) -> None:
        """Creates the balancer, and records its settings and seed.

        settings, seed, now: as for a Balancer.
        ring: buffer for the latest records.
        checkpoint: interval between two checkpoints, tenths of a ms.
        most_rows: calls recorded in one second; above it, recording pauses.
        ids: form in which the ids of requests are stored: hash, plain or none.
        write: passes a record on to the writer of files: gets the encoded record and whether a replay may
            begin with it, and returns whether the writer accepted it. None if no files are written
            continuously.
        """
        self.inner = load_balancing.Balancer(settings, seed, now)
        self.ring = ring
        self.checkpoint = checkpoint
        self.most_rows = most_rows
        self.ids = ids
        self.write = write
        self.now = self.last_row_at = self.record_start = now
        self.rows: list[tuple] = []
        self.rpc_count = 0
        self.upstream_id: Callable[[int], str] | None = None  # id of an upstream, by index
        self.second_start = now
        self.rows_in_second = 0
        self.late = 0
        self.is_paused = False
        self.unrecorded_calls = 0
        self.resume_at = 0
        self.records_lost = False
        # Requests without an answer, or with attempts outstanding, by number.
        self.live_rpcs: dict[int, load_balancing.Rpc] = {}
        self.checkpoint_at = now
        self.next_check_at = 0
        self.checkpoint_wanted = False
        # Calls that change no state are bound to the balancer itself, which saves a call.
        inner = self.inner
        self.wake_at = inner.wake_at
        self.max_retry_after = inner.max_retry_after
        if not self.inner.subscribes_to_list:
            self.wants_list = self.inner.wants_list
        self.add_record({"k": "begin", "v": 1, "settings": settings, "seed": seed, "now": now})

    # --- records

    def add_record(self, record: dict) -> None:
        """Adds a record to the ring, and passes it to the writer of files if there is one."""
        data = self.ring.add(record)
        if self.write is not None and not self.write(data, record["k"] in ("begin", "state")):
            self.records_lost = True

    def record_call(self, now: int, op: int, *values: object) -> None:
        """Records one call: its operation, the time since the call before and its values."""
        self.now = now
        if self.is_paused:
            self.unrecorded_calls += 1
            return
        self.rows.append((op, now - self.last_row_at, *values))
        self.last_row_at = now
        if len(self.rows) >= ROWS_PER_RECORD:
            self.flush()

    def flush(self) -> None:
        """Makes one record of the calls since the last record of calls."""
        if self.rows:
            self.add_record({"k": "rows", "now": self.record_start, "r": self.rows})
            self.rows_in_second += len(self.rows)
            self.rows = []
        self.record_start = self.last_row_at

    def after_pass(self, now: int, lag: int) -> None:
        """Pauses recording under load, resumes it after, and takes a checkpoint when one is due.

        Called after each dispatch pass, as the state is consistent only then. `lag`: the lag of passes, in
        tenths of a ms.
        """
        if now < self.next_check_at:
            return
        self.next_check_at = now + LOAD_CHECK_INTERVAL
        if self.is_paused:
            if lag >= PAUSE_LAG or self.unrecorded_calls - self.rows_in_second > self.most_rows:
                self.resume_at = now + RESUME_DELAY
            if now - self.second_start >= SECOND:
                self.second_start, self.rows_in_second = now, self.unrecorded_calls
            if now < self.resume_at:
                return
            self.add_record(
                {
                    "k": "gap",
                    "now": now,
                    "rows": self.unrecorded_calls,
                    "why": "disk" if self.records_lost else "load",
                }
            )
            self.is_paused, self.unrecorded_calls, self.rows_in_second, self.records_lost = False, 0, 0, False
            self.last_row_at = self.record_start = now
            self.take_checkpoint(now)
            return
        if now - self.second_start >= SECOND:
            self.second_start, self.rows_in_second = now, 0
        if lag >= PAUSE_LAG or self.records_lost or self.rows_in_second + len(self.rows) > self.most_rows:
            # Guards the sidecar: recording stops under load, before any request is shed; a gap is marked.
            self.flush()
            self.is_paused, self.resume_at, self.rows_in_second = True, now + RESUME_DELAY, 0
        elif self.checkpoint_wanted or now - self.checkpoint_at >= self.checkpoint * (
            1 if len(self.live_rpcs) < MANY_LIVE_RPCS else POSTPONED_INTERVAL_FACTOR
        ):
            self.take_checkpoint(now)

    def take_checkpoint(self, now: int) -> None:
        """Adds a checkpoint: the balancer's whole state."""
        self.flush()
        self.checkpoint_at, self.checkpoint_wanted = now, False
        names = (
            {str(index): self.upstream_id(index) for index in self.inner.upstreams}
            if self.upstream_id is not None
            else {}
        )
        self.add_record(
            {
                "k": "state",
                "now": now,
                "names": names,
                "state": freeze(self.inner, lambda tag: tag.rpc.number, self.live_rpcs.values()),
            }
        )

    def record_fault(self, what: str) -> None:
        """Records that an internal error was logged at this time. `what`: the error's log line."""
        self.flush()
        self.add_record({"k": "fault", "now": self.now, "what": what})

    # --- calls of the balancer

    @property
    def upstreams(self) -> dict:
        """Returns the upstreams by index."""
        return self.inner.upstreams

    def admit(
        self,
        now: int,
        method: int,
        deadline: int,
        retry: bool = False,
        tag: object = None,
        tenant: int = 0,
    ) -> RecordedRpc:
        """Passes the request on, and records it with its number."""
        rpc = self.inner.admit(now, method, deadline, retry, tag, tenant)
        self.rpc_count += 1
        name = tag.request.name if self.ids != "none" else b""
        self.record_call(
            now,
            ADMIT,
            self.rpc_count,
            method,
            deadline - now,
            retry,
            hash_id(name) if self.ids == "hash" else name,
            tenant,
        )
        self.live_rpcs[self.rpc_count] = rpc
        return RecordedRpc(self, rpc, self.rpc_count)

    def list_changed(self, now: int, rows: list, complete: bool, requested: bool) -> None:
        """Passes on rows of a changed endpoint list, and records them with the ids of their upstreams."""
        rows = list(rows)
        self.inner.list_changed(now, rows, complete, requested)
        if self.upstream_id is not None and rows and not self.is_paused:
            self.flush()
            self.add_record({"k": "names", "names": {str(row[0]): self.upstream_id(row[0]) for row in rows}})
        self.record_call(now, LIST_CHANGED, rows, complete, requested)

    def list_failed(self, now: int) -> None:
        """Passes the failed request for the list on, and records it."""
        self.inner.list_failed(now)
        self.record_call(now, LIST_FAILED)

    def mark_unverified(
        self, now: int, upstreams: list[int], required_successes: int, last_resort: bool
    ) -> None:
        """Passes on which upstreams are unverified, and records the call."""
        self.inner.mark_unverified(now, upstreams, required_successes, last_resort)
        self.record_call(now, MARK_UNVERIFIED, upstreams, required_successes, last_resort)

    def set_withdrawn(self, now: int, index: int, withdrawn: bool) -> None:
        """Passes on that operators withdrew or reinstated an upstream, and records the call."""
        self.inner.set_withdrawn(now, index, withdrawn)
        self.record_call(now, SET_WITHDRAWN, index, withdrawn)

    def update_settings(self, settings: dict) -> None:
        """Passes the new settings on, and records them."""
        self.inner.update_settings(settings)
        self.max_retry_after = self.inner.max_retry_after
        self.record_call(self.now, UPDATE_SETTINGS, settings)

    def set_slow_start_share(self, part: float) -> None:
        """Passes the new share of the slow start rate on, and records it."""
        self.inner.set_slow_start_share(part)
        self.record_call(self.now, SET_SLOW_START_SHARE, part)

    def restore(self, now: int, state: dict, age: float) -> None:
        """Restores the learned state, and records it."""
        learned_state.restore(self.inner, now, state, age)
        self.record_call(now, RESTORE, state, age)

    def due(self, now: int) -> Iterable[load_balancing.Rpc]:
        """Returns the requests to decide on again, and records them if there are any."""
        inner = self.inner
        wake_at = inner.wake_at()
        if wake_at > now and not inner.queue:
            return ()  # no request is due or queued in the balancer
        return self.record_due(now, wake_at)

    def record_due(self, now: int, wake_at: float) -> Iterator[load_balancing.Rpc]:
        """Yields the requests to decide on again, and records each."""
        any_due = False
        for rpc in self.inner.due(now):
            any_due = True
            self.record_call(now, DUE, rpc.tag.rpc.number)
            yield rpc
        if any_due or wake_at <= now:
            self.record_call(now, DUE_ENDED)

    def wants_list(self, now: int) -> bool:
        """Returns whether the balancer wants an endpoint list; records the answer if it is True."""
        answer = self.inner.wants_list(now)
        if answer:
            self.record_call(now, WANTS_LIST, True)
        return answer

    def take_released(self) -> list[int]:
        """Returns the upstreams that the balancer has released; records them if there are any."""
        upstreams = self.inner.take_released()
        if upstreams:
            self.record_call(self.now, TAKE_RELEASED, upstreams)
        return upstreams

    def uniform(self, low: float, high: float) -> float:
        """Draws a random number, and records it. The caller delays its next request to discovery by it."""
        drawn = self.inner.uniform(low, high)
        self.record_call(self.now, UNIFORM, low, high, drawn)
        return drawn

    def draw_admission(self, method: int) -> float:
        """Draws the admission number of a request, and records it."""
        drawn = self.inner.draw_admission(method)
        self.record_call(self.now, DRAW_ADMISSION, method, drawn)
        return drawn
