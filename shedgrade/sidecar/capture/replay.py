"""Replay of a capture, without I/O: makes the recorded calls on a new balancer, and reports other results.

for found in Replay(records, module).run(): ...     yields each difference; none if all results are the same
"""

from collections import deque
from collections.abc import Callable, Iterator
from types import ModuleType

from msgspec import Struct

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
    OPERATIONS,
    RESPONSE_STARTED,
    RESTORE,
    SET_SLOW_START_SHARE,
    SET_WITHDRAWN,
    TAKE_RELEASED,
    UNIFORM,
    UPDATE_SETTINGS,
    WANTS_LIST,
    calls,
)
from shedgrade.sidecar.capture.state import thaw

# Finished requests that are kept for later calls in the same dispatch pass: more than any pass handles.
MAX_FINISHED_RPCS = 10_000
RPC_OPERATIONS = (
    BODY_RECEIVED,
    ADMIT,
    DECIDE,
    NO_DECISION,
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    RESPONSE_STARTED,
    DUE,
)


class Difference(Struct):
    """A call whose result differs from the recorded one.

    call_number: number of the call, from 1.
    now: time of the call, tenths of a ms.
    call: the call, as named in OPERATIONS.
    rpc: number of its request; None for a call on the balancer.
    recorded: the recorded result.
    replayed: the result of the replay.
    state: lines that describe the balancer after the call.
    """

    call_number: int
    now: int
    call: str
    rpc: int | None
    recorded: object
    replayed: object
    state: list[str]


class MissingError(Exception):
    """A call refers to an object that does not exist, as in a shortened capture or with another module."""


def as_decoded(value: object) -> object:
    """Returns a value as MessagePack decodes it: lists in place of tuples."""
    return [as_decoded(one) for one in value] if isinstance(value, (list, tuple)) else value


class Replay:
    """Replay of one capture, from its first begin record or checkpoint on."""

    def __init__(
        self,
        records: list[dict],
        module: ModuleType = load_balancing,
        balancer_class: type | None = None,
        end_time: float = float("inf"),
        lenient: bool = False,
    ) -> None:
        """Prepares the replay.

        module: the load balancing module to use.
        balancer_class: a subclass of the module's Balancer to use in its place.
        end_time: time at which the replay stops, tenths of a ms.
        lenient: goes on after a difference, and skips calls that can't be made.
        """
        self.records = records
        self.module = module
        self.balancer_class = balancer_class
        self.end_time = end_time
        self.lenient = lenient
        self.balancer = None
        self.rpcs = {}
        self.upstream_ids = {}
        self.settings = {}
        self.due_rpcs = None
        self.finished_numbers = deque()
        self.calls = self.gaps = self.left_out = 0
        self.on_call: Callable[[int, list, object], None] | None = None

    def run(self) -> Iterator[Difference]:
        """Makes all calls and yields each result that differs; ends at the first one unless lenient.

        StateError if a checkpoint does not fit the load balancing module.
        """
        for now, row in calls(self.records):
            if now > self.end_time:
                return
            if isinstance(row[0], dict):
                self.apply_record(row[0])
                continue
            if self.balancer is None:
                # Before the first checkpoint of a cut capture, or after a gap, the state is unknown.
                self.left_out += 1
                continue
            self.calls += 1
            try:
                recorded, replayed = self.make_call(now, row)
            except (MissingError, IndexError, KeyError) as missing:
                if not self.lenient:
                    yield self.difference(now, row, "a call that can be made", f"none: {missing}")
                    return
                self.left_out += 1
                continue
            if self.on_call is not None:
                self.on_call(now, row, replayed)
            if as_decoded(recorded) != as_decoded(replayed):
                yield self.difference(now, row, recorded, replayed)
                if not self.lenient:
                    return

    def apply_record(self, record: dict) -> None:
        """Applies a record of any kind but a batch of calls."""
        kind = record["k"]
        if kind == "begin":
            self.settings = record["settings"]
            self.balancer = (self.balancer_class or self.module.Balancer)(
                record["settings"], record["seed"], record["now"]
            )
            self.rpcs = {}
        elif kind == "gap":
            # The missed calls changed the state: the next checkpoint restores it.
            self.balancer = None
            self.gaps += 1
        elif kind == "state":
            # Without a gap the replay keeps its own state; a test checks that checkpoints equal that state.
            if self.balancer is None:
                self.balancer, self.rpcs = thaw(record["state"], self.module, self.balancer_class)
            self.upstream_ids |= record["names"]
        elif kind == "names":
            self.upstream_ids |= record["names"]

    def rpc(self, number: int) -> object:
        """Returns the request of a number. MissingError if there is none."""
        if number not in self.rpcs:
            raise MissingError(f"RPC {number}")
        return self.rpcs[number]

    def retire_if_done(self, number: int) -> None:
        """Forgets a request that is done and has no attempt outstanding, after `MAX_FINISHED_RPCS` others.

        The dispatcher may still call `decide` on the request in the same dispatch pass.
        """
        rpc = self.rpcs[number]
        if rpc.done and not rpc.outstanding:
            self.finished_numbers.append(number)
            if len(self.finished_numbers) > MAX_FINISHED_RPCS:
                self.rpcs.pop(self.finished_numbers.popleft(), None)

    def make_call(self, now: int, row: list) -> tuple[object, object]:
        """Makes the call that a row of the capture records; returns (recorded result, replayed result)."""
        balancer, op, recorded = self.balancer, row[0], row[2:]
        if op == ADMIT:
            # Older captures have no tenant after the name.
            number, method, timeout, retry, _, *tenant = recorded
            self.rpcs[number] = balancer.admit(now, method, now + timeout, retry, number, *tenant)
            return None, None
        if op == DECIDE:
            answer = self.rpc(recorded[0]).decide(now)
            self.retire_if_done(recorded[0])
            return recorded[1:], answer
        if op == NO_DECISION:
            return None, self.rpc(recorded[0]).decide(now)
        if op == ATTEMPT_FINISHED:
            number, attempt, outcome, duration, answered, first_on_connection, stops = recorded
            rpc = self.rpc(number)
            if attempt not in rpc.outstanding:
                raise MissingError(f"transmission {attempt} of RPC {number}")
            replayed = rpc.attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)
            self.retire_if_done(number)
            return stops, replayed
        if op == CLIENT_DISCONNECTED:
            rpc = self.rpc(recorded[0])
            replayed = rpc.client_disconnected(now)
            self.retire_if_done(recorded[0])
            return recorded[1], replayed
        if op == BODY_RECEIVED:
            number, timeout, here, whole, limit = recorded
            return limit, self.rpc(number).body_received(now, now + timeout, here, whole)
        if op == RESPONSE_STARTED:
            self.rpc(recorded[0]).response_started(recorded[1])
            return None, None
        if op in (DUE, DUE_ENDED):
            if self.due_rpcs is None:
                self.due_rpcs = balancer.due(now)
            replayed = next(self.due_rpcs, None)
            if replayed is None or op == DUE_ENDED:
                self.due_rpcs = None
            return (recorded[0] if op == DUE else None), (replayed.tag if replayed is not None else None)
        if op == LIST_CHANGED:
            balancer.list_changed(now, [tuple(one) for one in recorded[0]], recorded[1], recorded[2])
        elif op == LIST_FAILED:
            balancer.list_failed(now)
        elif op == MARK_UNVERIFIED:
            balancer.mark_unverified(now, *recorded)
        elif op == SET_WITHDRAWN:
            balancer.set_withdrawn(now, *recorded)
        elif op == UPDATE_SETTINGS:
            balancer.update_settings(recorded[0])
            self.settings = recorded[0]
        elif op == SET_SLOW_START_SHARE:
            balancer.set_slow_start_share(*recorded)
        elif op == RESTORE:
            learned_state.restore(balancer, now, *recorded)
        elif op == UNIFORM:
            return recorded[2], balancer.uniform(*recorded[:2])
        elif op == DRAW_ADMISSION:
            return recorded[1], balancer.draw_admission(recorded[0])
        elif op == WANTS_LIST:
            return recorded[0], balancer.wants_list(now)
        elif op == TAKE_RELEASED:
            return recorded[0], balancer.take_released()
        else:
            raise MissingError(f"unknown operation {op}")
        return None, None

    def difference(self, now: int, row: list, recorded: object, replayed: object) -> Difference:
        """Returns the difference between two results, with a description of the state."""
        number = row[2] if row[0] in RPC_OPERATIONS else None
        return Difference(
            self.calls,
            now,
            OPERATIONS.get(row[0], (f"op {row[0]}", ""))[0],
            number,
            recorded,
            replayed,
            describe(self.balancer, self.upstream_ids),
        )


def describe(balancer: object, upstream_ids: dict[str, str]) -> list[str]:
    """Returns lines that describe a balancer: the load of each zone, and each upstream that is not normal."""
    lines = []
    for number, zone in enumerate(balancer.zones):
        load = zone.in_flight / len(zone.rotation) if zone.rotation else 0.0
        lines.append(
            f"zone {number}{' (own)' if number == balancer.own_zone else ''}: "
            f"{len(zone.rotation)} in rotation, {zone.in_flight} in flight, {zone.background_load} held, "
            f"{load:.2f} a server, window {zone.concurrency_limit:.1f}"
        )
    for index, upstream in balancer.upstreams.items():
        conditions = [
            label
            for label, applies in (
                ("ejected", upstream.ejected_until),
                ("draining", upstream.state == load_balancing.DRAINING),
                ("removed", upstream.state == load_balancing.REMOVED),
                ("withdrawn", upstream.withdrawn),
                ("unverified", upstream.probation_successes),
                ("half-open", upstream.half_open),
            )
            if applies
        ]
        if conditions:
            lines.append(
                f"{upstream_ids.get(str(index), index)}: {', '.join(conditions)}, "
                f"{upstream.in_flight} in flight"
            )
    return lines
