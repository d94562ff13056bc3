"""Replay of a capture, without I/O: makes its calls on another balancer, and reports results that differ.

for found in Replay(records, module).run(): ...     yields each difference; none if all results are the same
"""

from collections import deque
from collections.abc import Callable, Iterator
from types import ModuleType

from msgspec import Struct

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
    OPERATIONS,
    RESPONSE_STARTED,
    RESTORE,
    SET_SLOW_START_SHARE,
    SET_WITHDRAWN,
    TAKE,
    TAKE_RELEASED,
    UNIFORM,
    UPDATE_SETTINGS,
    WANTS_LIST,
    calls,
)
from shedgrade.sidecar.capture.state import thaw

# Finished requests that are kept for later calls in the same dispatch pass: more than any pass handles.
LINGER = 10_000
RPC_OPERATIONS = (
    BODY_RECEIVED,
    TAKE,
    DECIDE,
    NO_DECISION,
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    RESPONSE_STARTED,
    DUE,
)


class Difference(Struct):
    """A call whose result differs from the recorded one.

    place: number of the call, from 1.
    now: time of the call, tenths of a ms.
    call: the call, as named in OPERATIONS.
    rpc: number of its request; None for a call on the balancer.
    told: the recorded result.
    got: the result of the replay.
    state: lines that describe the balancer after the call.
    """

    place: int
    now: int
    call: str
    rpc: int | None
    told: object
    got: object
    state: list[str]


class MissingError(Exception):
    """A call refers to an object that does not exist, as in a shortened capture, or with other decisions."""


def plain(value: object) -> object:
    """Returns a value as MessagePack decodes it: lists in place of tuples."""
    return [plain(one) for one in value] if isinstance(value, (list, tuple)) else value


class Replay:
    """Replay of one capture, from its first begin record or checkpoint on."""

    def __init__(
        self,
        records: list[dict],
        module: ModuleType = load_balancing,
        kind: type | None = None,
        until: float = float("inf"),
        lenient: bool = False,
    ) -> None:
        """Prepares the replay.

        module: the decisions to use.
        kind: a subclass of the module's Balancer to use in its place.
        until: time at which the replay stops, tenths of a ms.
        lenient: goes on after a difference, and skips calls that can't be made.
        """
        self.records = records
        self.module = module
        self.kind = kind
        self.until = until
        self.lenient = lenient
        self.balancer = None
        self.rpcs = {}
        self.names = {}
        self.settings = {}
        self.due = None
        self.ending = deque()
        self.calls = self.gaps = self.left_out = 0
        self.watch: Callable[[int, list, object], None] | None = None

    def run(self) -> Iterator[Difference]:
        """Makes all calls and yields each result that differs; ends at the first one unless lenient.

        StateError if a checkpoint does not fit the decisions.
        """
        for now, row in calls(self.records):
            if now > self.until:
                return
            if isinstance(row[0], dict):
                self.record(row[0])
                continue
            if self.balancer is None:
                # Without a checkpoint, as after a gap, the state is unknown.
                self.left_out += 1
                continue
            self.calls += 1
            try:
                told, got = self.call(now, row)
            except (MissingError, IndexError, KeyError) as missing:
                if not self.lenient:
                    yield self.differs(now, row, "a call that can be made", f"none: {missing}")
                    return
                self.left_out += 1
                continue
            if self.watch is not None:
                self.watch(now, row, got)
            if plain(told) != plain(got):
                yield self.differs(now, row, told, got)
                if not self.lenient:
                    return

    def record(self, record: dict) -> None:
        """Applies a record that is no batch of calls."""
        kind = record["k"]
        if kind == "begin":
            self.settings = record["settings"]
            self.balancer = (self.kind or self.module.Balancer)(
                record["settings"], record["seed"], record["now"]
            )
            self.rpcs = {}
        elif kind == "gap":
            # The missed calls changed the state: the next checkpoint restores it.
            self.balancer = None
            self.gaps += 1
        elif kind == "state":
            # Without a gap the replay keeps its own state; a test checks that checkpoints agree with it.
            if self.balancer is None:
                self.balancer, self.rpcs = thaw(record["state"], self.module, self.kind)
            self.names |= record["names"]
        elif kind == "names":
            self.names |= record["names"]

    def rpc(self, number: int) -> object:
        """Returns the request of a number. MissingError if there is none."""
        if number not in self.rpcs:
            raise MissingError(f"RPC {number}")
        return self.rpcs[number]

    def over(self, number: int) -> None:
        """Forgets a request that is done and has no attempt outstanding, after `LINGER` others.

        The dispatcher may still ask for its decision in the same pass.
        """
        rpc = self.rpcs[number]
        if rpc.done and not rpc.outstanding:
            self.ending.append(number)
            if len(self.ending) > LINGER:
                self.rpcs.pop(self.ending.popleft(), None)

    def call(self, now: int, row: list) -> tuple[object, object]:
        """Makes the call of a row; returns (recorded result, result now)."""
        balancer, op, told = self.balancer, row[0], row[2:]
        if op == TAKE:
            number, method, wait, retry, _, *tenant = told  # older captures have no tenant after the name
            self.rpcs[number] = balancer.admit(now, method, now + wait, retry, number, *tenant)
            return None, None
        if op == DECIDE:
            answer = self.rpc(told[0]).decide(now)
            self.over(told[0])
            return told[1:], answer
        if op == NO_DECISION:
            return None, self.rpc(told[0]).decide(now)
        if op == ATTEMPT_FINISHED:
            number, tx, outcome, took, settled, fresh, stops = told
            rpc = self.rpc(number)
            if tx not in rpc.outstanding:
                raise MissingError(f"transmission {tx} of RPC {number}")
            got = rpc.attempt_finished(now, tx, outcome, took, settled, fresh)
            self.over(number)
            return stops, got
        if op == CLIENT_DISCONNECTED:
            rpc = self.rpc(told[0])
            got = rpc.client_disconnected(now)
            self.over(told[0])
            return told[1], got
        if op == BODY_RECEIVED:
            number, wait, here, whole, limit = told
            return limit, self.rpc(number).body_received(now, now + wait, here, whole)
        if op == RESPONSE_STARTED:
            self.rpc(told[0]).response_started(told[1])
            return None, None
        if op in (DUE, DUE_ENDED):
            if self.due is None:
                self.due = balancer.due(now)
            got = next(self.due, None)
            if got is None or op == DUE_ENDED:
                self.due = None
            return (told[0] if op == DUE else None), (got.tag if got is not None else None)
        if op == LIST_CHANGED:
            balancer.list_changed(now, [tuple(one) for one in told[0]], told[1], told[2])
        elif op == LIST_FAILED:
            balancer.list_failed(now)
        elif op == MARK_UNVERIFIED:
            balancer.mark_unverified(now, *told)
        elif op == SET_WITHDRAWN:
            balancer.set_withdrawn(now, *told)
        elif op == UPDATE_SETTINGS:
            balancer.update_settings(told[0])
            self.settings = told[0]
        elif op == SET_SLOW_START_SHARE:
            balancer.set_slow_start_share(*told)
        elif op == RESTORE:
            learned_state.restore(balancer, now, *told)
        elif op == UNIFORM:
            return told[2], balancer.uniform(*told[:2])
        elif op == DRAW_ADMISSION:
            return told[1], balancer.draw_admission(told[0])
        elif op == WANTS_LIST:
            return told[0], balancer.wants_list(now)
        elif op == TAKE_RELEASED:
            return told[0], balancer.take_released()
        else:
            raise MissingError(f"unknown operation {op}")
        return None, None

    def differs(self, now: int, row: list, told: object, got: object) -> Difference:
        """Returns the difference between two results, with a description of the state."""
        number = row[2] if row[0] in RPC_OPERATIONS else None
        return Difference(
            self.calls,
            now,
            OPERATIONS.get(row[0], (f"op {row[0]}", ""))[0],
            number,
            told,
            got,
            picture(self.balancer, self.names),
        )


def picture(balancer: object, names: dict[str, str]) -> list[str]:
    """Returns lines that describe a balancer: the load of each zone, and each upstream that is not normal."""
    lines = []
    for number, zone in enumerate(balancer.zones):
        load = zone.in_flight / len(zone.rotation) if zone.rotation else 0.0
        lines.append(
            f"zone {number}{' (own)' if number == balancer.own_zone else ''}: "
            f"{len(zone.rotation)} in rotation, {zone.in_flight} in flight, {zone.background_load} held, "
            f"{load:.2f} a server, window {zone.concurrency_limit:.1f}"
        )
    for index, up in balancer.upstreams.items():
        odd = [
            word
            for word, true in (
                ("ejected", up.ejected_until),
                ("draining", up.state == load_balancing.DRAINING),
                ("removed", up.state == load_balancing.REMOVED),
                ("withdrawn", up.withdrawn),
                ("unverified", up.probation_successes),
                ("half-open", up.half_open),
            )
            if true
        ]
        if odd:
            lines.append(f"{names.get(str(index), index)}: {', '.join(odd)}, {up.in_flight} in flight")
    return lines
