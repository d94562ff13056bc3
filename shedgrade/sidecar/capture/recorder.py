"""Recorder of calls: takes the balancer's place where capture is on, passes each call on, and records it.

It decides nothing and changes no argument. Its cost is bounded: above `most_rows` calls in a second, or while
dispatch passes are late, nothing is recorded. A gap record marks the pause, and a checkpoint follows once the
load has fallen.
"""

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.capture.rows import (
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
    TAKE,
    TAKE_RELEASED,
    UNIFORM,
    UPDATE_SETTINGS,
    WANTS_LIST,
    Ring,
)
from shedgrade.sidecar.capture.state import freeze

SECOND = 10_000  # tenths of a ms
# Lag of dispatch passes, tenths of a ms, from which recording pauses. The dispatcher measures it up to 50.
LATE = 40
MANY = 400  # requests in flight at which a checkpoint blocks the loop for 10 ms: it is postponed
PUT_OFF = 4  # factor of the checkpoint interval with so many in flight; at most 4, as a ring must hold two
# Tenths of a ms between two checks of load and checkpoints; between them a pass costs one comparison.
LOOK = 500
# Delay from an overload until recording resumes. Shorter gaps would each cost a checkpoint.
CALM = 2 * SECOND


def short(name: bytes) -> bytes:
    """Returns the hash that a capture holds in place of an id: it can be looked up, but the id not read."""
    return blake2b(name, digest_size=8).digest()


class RecordedRpc:
    """The handle of one request, as the dispatcher holds it; records the calls on it.

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
        """Returns the first attempt that may have been executed, as the request's handle does."""
        return self.rpc.first_possibly_executed()

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides, and records the answer, except None for a request that is done."""
        answer = self.rpc.decide(now)
        if answer is None:
            if not self.rpc.done:  # a request that is done always answers None
                self.recorder.keep(now, NO_DECISION, self.number)
        else:
            self.recorder.keep(now, DECIDE, self.number, *answer)
            self.over()
        return answer

    def over(self) -> None:
        """Forgets a request that is done and has no attempt outstanding."""
        if self.rpc.done and not self.rpc.outstanding:
            self.recorder.live.pop(self.number, None)

    def attempt_finished(
        self, now: int, tx: int, outcome: int, took: int, settled: bool, fresh: bool = False
    ) -> list[int]:
        """Passes the outcome of an attempt on, and records it with the attempts to stop."""
        stops = self.rpc.attempt_finished(now, tx, outcome, took, settled, fresh)
        self.recorder.keep(now, ATTEMPT_FINISHED, self.number, tx, outcome, took, settled, fresh, stops)
        self.over()
        return stops

    def response_started(self, lasting: bool = False) -> None:
        """Passes the start of the response on, and records it."""
        self.rpc.response_started(lasting)
        self.recorder.keep(self.recorder.now, RESPONSE_STARTED, self.number, lasting)

    def body_received(self, now: int, give_up_at: int, here: bool, whole: bool) -> int:
        """Passes the progress of a request's body on, and records it with the time limit returned."""
        limit = self.rpc.body_received(now, give_up_at, here, whole)
        self.recorder.keep(now, BODY_RECEIVED, self.number, give_up_at - now, here, whole, limit)
        return limit

    def client_disconnected(self, now: int) -> list[int]:
        """Passes the disconnect on, and records it with the attempts to stop."""
        stops = self.rpc.client_disconnected(now)
        self.recorder.keep(now, CLIENT_DISCONNECTED, self.number, stops)
        self.over()
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
        ring: buffer that keeps the records.
        checkpoint: interval between two checkpoints, tenths of a ms.
        most_rows: calls recorded in one second; above it, recording pauses.
        ids: form in which the ids of requests are stored: hash, plain or none.
        write: receives each encoded record and whether a replay may begin with it; returns whether it
            accepted the record. None without continuous capture.
        """
        self.inner = load_balancing.Balancer(settings, seed, now)
        self.ring = ring
        self.checkpoint = checkpoint
        self.most_rows = most_rows
        self.ids = ids
        self.write = write
        self.now = self.last = self.base = now
        self.rows: list[tuple] = []
        self.numbers = 0
        self.spelled: Callable[[int], str] | None = None  # id of an upstream, by index
        self.second = now
        self.in_second = 0
        self.late = 0
        self.skipping = False
        self.skipped = 0
        self.calm_at = 0
        self.lost = False
        # Requests without an answer, or with attempts outstanding, by number.
        self.live: dict[int, load_balancing.Rpc] = {}
        self.state_at = now
        self.look_at = 0
        self.wanted = False
        # Calls that change no state are bound to the balancer itself, which saves a call.
        inner = self.inner
        self.wake_at = inner.wake_at
        self.max_retry_after = inner.max_retry_after
        if not self.inner.subscribes_to_list:
            self.wants_list = self.inner.wants_list
        self.add({"k": "begin", "v": 1, "settings": settings, "seed": seed, "now": now})

    # --- records

    def add(self, record: dict) -> None:
        """Adds a record to the ring, and passes it to the writer if there is one."""
        data = self.ring.add(record)
        if self.write is not None and not self.write(data, record["k"] in ("begin", "state")):
            self.lost = True

    def keep(self, now: int, op: int, *values: object) -> None:
        """Records one call: its operation, the time since the call before and its values."""
        self.now = now
        if self.skipping:
            self.skipped += 1
            return
        self.rows.append((op, now - self.last, *values))
        self.last = now
        if len(self.rows) >= ROWS_PER_RECORD:
            self.flush()

    def flush(self) -> None:
        """Makes one record of the calls since the last one."""
        if self.rows:
            self.add({"k": "rows", "now": self.base, "r": self.rows})
            self.in_second += len(self.rows)
            self.rows = []
        self.base = self.last

    def after_turn(self, now: int, late: int) -> None:
        """Pauses recording under load, resumes it after, and takes a checkpoint when one is due.

        Called after each dispatch pass, as the state is consistent only then. `late`: the lag of passes, in
        tenths of a ms.
        """
        if now < self.look_at:
            return
        self.look_at = now + LOOK
        if self.skipping:
            if late >= LATE or self.skipped - self.in_second > self.most_rows:
                self.calm_at = now + CALM
            if now - self.second >= SECOND:
                self.second, self.in_second = now, self.skipped
            if now < self.calm_at:
                return
            self.add({"k": "gap", "now": now, "rows": self.skipped, "why": "disk" if self.lost else "load"})
            self.skipping, self.skipped, self.in_second, self.lost = False, 0, 0, False
            self.last = self.base = now
            self.save(now)
            return
        if now - self.second >= SECOND:
            self.second, self.in_second = now, 0
        if late >= LATE or self.lost or self.in_second + len(self.rows) > self.most_rows:
            # Guards the sidecar: under load, recording stops before any request is shed, and a gap is marked.
            self.flush()
            self.skipping, self.calm_at, self.in_second = True, now + CALM, 0
        elif self.wanted or now - self.state_at >= self.checkpoint * (
            1 if len(self.live) < MANY else PUT_OFF
        ):
            self.save(now)

    def save(self, now: int) -> None:
        """Adds a checkpoint: the balancer's whole state."""
        self.flush()
        self.state_at, self.wanted = now, False
        names = (
            {str(index): self.spelled(index) for index in self.inner.upstreams}
            if self.spelled is not None
            else {}
        )
        self.add(
            {
                "k": "state",
                "now": now,
                "names": names,
                "state": freeze(self.inner, lambda tag: tag.rpc.number, self.live.values()),
            }
        )

    def fault(self, what: str) -> None:
        """Records that an internal error was logged here. `what`: its log line."""
        self.flush()
        self.add({"k": "fault", "now": self.now, "what": what})

    # --- calls of the balancer

    @property
    def upstreams(self) -> dict:
        """Returns the upstreams by index."""
        return self.inner.upstreams

    def admit(
        self,
        now: int,
        method: int,
        give_up_at: int,
        retry: bool = False,
        tag: object = None,
        tenant: int = 0,
    ) -> RecordedRpc:
        """Passes the request on, and records it with its number."""
        rpc = self.inner.admit(now, method, give_up_at, retry, tag, tenant)
        self.numbers += 1
        name = tag.request.name if self.ids != "none" else b""
        self.keep(
            now,
            TAKE,
            self.numbers,
            method,
            give_up_at - now,
            retry,
            short(name) if self.ids == "hash" else name,
            tenant,
        )
        self.live[self.numbers] = rpc
        return RecordedRpc(self, rpc, self.numbers)

    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        """Passes the rows of the endpoint list on, and records them, with the ids of their upstreams."""
        rows = list(rows)
        self.inner.list_changed(now, rows, whole, asked)
        if self.spelled is not None and rows and not self.skipping:
            self.flush()
            self.add({"k": "names", "names": {str(row[0]): self.spelled(row[0]) for row in rows}})
        self.keep(now, LIST_CHANGED, rows, whole, asked)

    def list_failed(self, now: int) -> None:
        """Passes the failed request for the list on, and records it."""
        self.inner.list_failed(now)
        self.keep(now, LIST_FAILED)

    def mark_unverified(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Passes the call on, and records it."""
        self.inner.mark_unverified(now, upstreams, ends, last)
        self.keep(now, MARK_UNVERIFIED, upstreams, ends, last)

    def set_withdrawn(self, now: int, upstream: int, out: bool) -> None:
        """Passes the operators' order on, and records it."""
        self.inner.set_withdrawn(now, upstream, out)
        self.keep(now, SET_WITHDRAWN, upstream, out)

    def update_settings(self, settings: dict) -> None:
        """Passes the new settings on, and records them."""
        self.inner.update_settings(settings)
        self.max_retry_after = self.inner.max_retry_after
        self.keep(self.now, UPDATE_SETTINGS, settings)

    def set_slow_start_share(self, part: float) -> None:
        """Passes the new share on, and records it."""
        self.inner.set_slow_start_share(part)
        self.keep(self.now, SET_SLOW_START_SHARE, part)

    def restore(self, now: int, state: dict, age: float) -> None:
        """Restores the learned state, and records it."""
        learned_state.restore(self.inner, now, state, age)
        self.keep(now, RESTORE, state, age)

    def due(self, now: int) -> Iterable[load_balancing.Rpc]:
        """Returns the requests to decide on again; recorded if there are any."""
        inner = self.inner
        at = inner.wake_at()
        if at > now and not inner.queue:
            return ()  # the balancer would look at nothing either
        return self.told_due(now, at)

    def told_due(self, now: int, at: float) -> Iterator[load_balancing.Rpc]:
        """Yields the requests to decide on again, and records each."""
        told = False
        for rpc in self.inner.due(now):
            told = True
            self.keep(now, DUE, rpc.tag.rpc.number)
            yield rpc
        if told or at <= now:
            self.keep(now, DUE_ENDED)

    def wants_list(self, now: int) -> bool:
        """Passes the question on; records the answer if it is True."""
        answer = self.inner.wants_list(now)
        if answer:
            self.keep(now, WANTS_LIST, True)
        return answer

    def take_released(self) -> list[int]:
        """Passes the call on; records the answer if it is not empty."""
        upstreams = self.inner.take_released()
        if upstreams:
            self.keep(self.now, TAKE_RELEASED, upstreams)
        return upstreams

    def uniform(self, low: float, high: float) -> float:
        """Draws a number, and records it. The caller uses it to delay its next request to discovery."""
        drawn = self.inner.uniform(low, high)
        self.keep(self.now, UNIFORM, low, high, drawn)
        return drawn

    def draw_admission(self, method: int) -> float:
        """Draws the admission number of a request, and records it."""
        drawn = self.inner.draw_admission(method)
        self.keep(self.now, DRAW_ADMISSION, method, drawn)
        return drawn
