"""What stands between the turn and the decisions where capture is on: passes each call on, and keeps it.

It decides nothing and changes no argument. Its cost is bounded: over `most_rows` in a second, or while the
loop is
late, nothing is kept, a gap says so, and a checkpoint follows once it is calm again.
"""

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b

from shedgrade import load_balancing
from shedgrade.load_balancing import learned_state
from shedgrade.sidecar.capture.rows import (
    BATCH,
    COMING,
    DECIDE,
    DIVIDED,
    DOUBT,
    ENDED,
    FAILED,
    GONE,
    LIST,
    LUCK,
    NOTHING,
    ORDERED,
    OVER,
    RELEASED,
    RESTORE,
    RETUNED,
    SPAN,
    STARTED,
    TAKE,
    WANTS,
    YIELD,
    Ring,
)
from shedgrade.sidecar.capture.state import freeze

SECOND = 10_000
LATE = 40  # tenths of a ms that turns may be behind: the turn's own measure ends at 50
MANY = 400  # RPCs in hand with which a checkpoint takes 10 ms of the loop: then it is put off
PUT_OFF = 4  # times as long, at most: a ring must hold two
LOOK = 500  # tenths of a ms between two looks at load and checkpoints: a turn costs nothing but the question
CALM = 2 * SECOND  # after an overload, until capture begins again: shorter gaps would cost a checkpoint each


def short(name: bytes) -> bytes:
    """Stands for an id: who knows the id finds it, nobody reads it out of a capture."""
    return blake2b(name, digest_size=8).digest()


class RecordedRpc:
    """An RPC as the turn holds it."""

    __slots__ = ("rpc", "number", "recorder")

    def __init__(self, recorder: "Recorder", rpc: load_balancing.Rpc, number: int) -> None:
        self.recorder = recorder
        self.rpc = rpc
        self.number = number

    @property
    def attempts(self) -> list:
        """As of the request."""
        return self.rpc.attempts

    @property
    def sent_at(self) -> list:
        """As of the request."""
        return self.rpc.sent_at

    def first_possibly_executed(self) -> int | None:
        """As of the request."""
        return self.rpc.first_possibly_executed()

    def decide(self, now: int) -> tuple[int, int] | None:
        """Decides, and records the answer."""
        answer = self.rpc.decide(now)
        if answer is None:
            if not self.rpc.done:  # one that is done is only asked in vain
                self.recorder.keep(now, NOTHING, self.number)
        else:
            self.recorder.keep(now, DECIDE, self.number, *answer)
            self.over()
        return answer

    def over(self) -> None:
        """Forgets a request that is done with nothing outstanding."""
        if self.rpc.done and not self.rpc.outstanding:
            self.recorder.live.pop(self.number, None)

    def attempt_finished(
        self, now: int, tx: int, outcome: int, took: int, settled: bool, fresh: bool = False
    ) -> list[int]:
        """Passed on, and recorded with what it returns."""
        stops = self.rpc.attempt_finished(now, tx, outcome, took, settled, fresh)
        self.recorder.keep(now, ENDED, self.number, tx, outcome, took, settled, fresh, stops)
        self.over()
        return stops

    def response_started(self, lasting: bool = False) -> None:
        """Passed on and recorded."""
        self.rpc.response_started(lasting)
        self.recorder.keep(self.recorder.now, STARTED, self.number, lasting)

    def body_received(self, now: int, give_up_at: int, here: bool, whole: bool) -> int:
        """Passed on, and recorded with its limit."""
        limit = self.rpc.body_received(now, give_up_at, here, whole)
        self.recorder.keep(now, COMING, self.number, give_up_at - now, here, whole, limit)
        return limit

    def client_disconnected(self, now: int) -> list[int]:
        """Passed on, and recorded with what it returns."""
        stops = self.rpc.client_disconnected(now)
        self.recorder.keep(now, GONE, self.number, stops)
        self.over()
        return stops


class Recorder:
    """In the place of a Balancer: the same calls, the same answers."""

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
        """`checkpoint`: tenths of a ms between two states; `most_rows` a second; `ids`: hash, plain or none;
        `write`: takes each encoded record where a disk lasts, and whether a replay may begin with it; says
        whether
        it took it."""
        self.inner = load_balancing.Balancer(settings, seed, now)
        self.ring = ring
        self.checkpoint = checkpoint
        self.most_rows = most_rows
        self.ids = ids
        self.write = write
        self.now = self.last = self.base = now
        self.rows: list[tuple] = []
        self.numbers = 0
        self.spelled: Callable[[int], str] | None = None  # an upstream's id
        self.second = now
        self.in_second = 0
        self.late = 0
        self.skipping = False
        self.skipped = 0
        self.calm_at = 0
        self.lost = False
        self.live: dict[int, load_balancing.Rpc] = {}  # taken, and not yet answered with nothing out
        self.state_at = now
        self.look_at = 0
        self.wanted = False
        # What changes nothing is passed on without a step between.
        inner = self.inner
        self.wake_at = inner.wake_at
        self.max_retry_after = inner.max_retry_after
        if not self.inner.subscribes_to_list:
            self.wants_list = self.inner.wants_list
        self.add({"k": "begin", "v": 1, "settings": settings, "seed": seed, "now": now})

    # --- keeping

    def add(self, record: dict) -> None:
        """Keeps a record in the ring, and hands it to the writer if there is one."""
        data = self.ring.add(record)
        if self.write is not None and not self.write(data, record["k"] in ("begin", "state")):
            self.lost = True

    def keep(self, now: int, op: int, *values: object) -> None:
        """Keeps one call: its op, the time since the call before and its values."""
        self.now = now
        if self.skipping:
            self.skipped += 1
            return
        self.rows.append((op, now - self.last, *values))
        self.last = now
        if len(self.rows) >= BATCH:
            self.flush()

    def flush(self) -> None:
        """Makes a record of the calls kept since the last one."""
        if self.rows:
            self.add({"k": "rows", "now": self.base, "r": self.rows})
            self.in_second += len(self.rows)
            self.rows = []
        self.base = self.last

    def after_turn(self, now: int, late: int) -> None:
        """Between two turns, `late` tenths of a ms behind: the only moment at which a state is whole."""
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
            # Guards the daemon: what costs too much is shed before any RPC is, and the gap is marked.
            self.flush()
            self.skipping, self.calm_at, self.in_second = True, now + CALM, 0
        elif self.wanted or now - self.state_at >= self.checkpoint * (
            1 if len(self.live) < MANY else PUT_OFF
        ):
            self.save(now)

    def save(self, now: int) -> None:
        """A checkpoint."""
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
        """Records that a fault of the program was logged here."""
        self.flush()
        self.add({"k": "fault", "now": self.now, "what": what})

    # --- the calls

    @property
    def upstreams(self) -> dict:
        """Upstreams by index."""
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
        """Passed on, and recorded with the request's number."""
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
        """Passed on and recorded."""
        rows = list(rows)
        self.inner.list_changed(now, rows, whole, asked)
        if self.spelled is not None and rows and not self.skipping:
            self.flush()
            self.add({"k": "names", "names": {str(row[0]): self.spelled(row[0]) for row in rows}})
        self.keep(now, LIST, rows, whole, asked)

    def list_failed(self, now: int) -> None:
        """Passed on and recorded."""
        self.inner.list_failed(now)
        self.keep(now, FAILED)

    def mark_unverified(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Passed on and recorded."""
        self.inner.mark_unverified(now, upstreams, ends, last)
        self.keep(now, DOUBT, upstreams, ends, last)

    def set_withdrawn(self, now: int, upstream: int, out: bool) -> None:
        """Passed on and recorded."""
        self.inner.set_withdrawn(now, upstream, out)
        self.keep(now, ORDERED, upstream, out)

    def update_settings(self, settings: dict) -> None:
        """Passed on and recorded."""
        self.inner.update_settings(settings)
        self.max_retry_after = self.inner.max_retry_after
        self.keep(self.now, RETUNED, settings)

    def set_slow_start_share(self, part: float) -> None:
        """Passed on and recorded."""
        self.inner.set_slow_start_share(part)
        self.keep(self.now, DIVIDED, part)

    def restore(self, now: int, state: dict, age: float) -> None:
        """Passed on and recorded."""
        learned_state.restore(self.inner, now, state, age)
        self.keep(now, RESTORE, state, age)

    def due(self, now: int) -> Iterable[load_balancing.Rpc]:
        """The requests to ask again; recorded where there are any."""
        inner = self.inner
        at = inner.wake_at()
        if at > now and not inner.queue:
            return ()  # nothing is looked at there, either
        return self.told_due(now, at)

    def told_due(self, now: int, at: float) -> Iterator[load_balancing.Rpc]:
        """The requests to ask again, each recorded."""
        told = False
        for rpc in self.inner.due(now):
            told = True
            self.keep(now, YIELD, rpc.tag.rpc.number)
            yield rpc
        if told or at <= now:
            self.keep(now, OVER)

    def wants_list(self, now: int) -> bool:
        """Passed on; recorded where it is True."""
        answer = self.inner.wants_list(now)
        if answer:
            self.keep(now, WANTS, True)
        return answer

    def take_released(self) -> list[int]:
        """Passed on; recorded where there are any."""
        upstreams = self.inner.take_released()
        if upstreams:
            self.keep(self.now, RELEASED, upstreams)
        return upstreams

    def uniform(self, low: float, high: float) -> float:
        """The one draw that is made from outside: how long discovery is left alone."""
        drawn = self.inner.uniform(low, high)
        self.keep(self.now, SPAN, low, high, drawn)
        return drawn

    def draw_admission(self, method: int) -> float:
        """Passed on, and recorded with the draw."""
        drawn = self.inner.draw_admission(method)
        self.keep(self.now, LUCK, method, drawn)
        return drawn
