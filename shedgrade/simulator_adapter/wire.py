"""The batch protocol on a pair of byte streams."""

from math import ceil, floor, inf
from typing import Any, BinaryIO

import orjson

from shedgrade import load_balancing
from shedgrade.load_balancing import Balancer, Rpc
from shedgrade.load_balancing.upstream_indices import UpstreamIndices, to_tenths_of_ms

STATES = {"U": load_balancing.READY, "L": load_balancing.DRAINING, "D": load_balancing.REMOVED}
OUTCOMES = {
    "S": load_balancing.COMPLETED,
    "E": load_balancing.FAILED,
    "F": load_balancing.REJECTED,
    "T": load_balancing.TIMED_OUT,
    "C": load_balancing.UNCONNECTED,
    "R": load_balancing.DROPPED,
    "X": load_balancing.STOPPED,
    "N": load_balancing.UNSENT,
}
NUMBER = (int, float)
RETRY = 2  # the bit of `options` that marks a client's retry
SIDECAR = ("sidecar_id", (int,))
# The required fields of each message; all others are optional, and unknown ones are ignored.
REQUIRED = {
    "batch": (("now", NUMBER), ("seq", (int,))),
    "commit": (),
    "register": (("set_id", (int,)), ("rows", (list,))),
    "power_on": (SIDECAR, ("prng", (int,)), ("conf", (dict,))),
    "discovery": (SIDECAR, ("kind", (str,))),
    "submit": (SIDECAR, ("txn", (int,)), ("not_after", NUMBER)),
    "answer": (SIDECAR, ("txn", (int,)), ("how", (str,))),
    "alarm": (SIDECAR,),
    "abandoned": (SIDECAR, ("txn", (int,))),
    "teardown": (SIDECAR,),
    "accepted": (SIDECAR, ("txn", (int,))),
    "echo": (SIDECAR, ("upstream", (str,)), ("how", (str,))),
    "inbox": (SIDECAR, ("who", (int,))),
}
ROW = (("upstream", (str,)),)


class BadInputError(Exception):
    """A line that is not valid in this protocol, with the line number, the field and the reason."""

    def __init__(self, field: str, reason: str) -> None:
        self.line = 0
        self.field = field
        self.reason = reason

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.reason}"


class DecisionError(Exception):
    """The balancer failed; the text is sent as the protocol's `fault`."""

    def __str__(self) -> str:
        return f"sidecar {self.args[0]}: {self.args[1]}"


def check(message: dict, fields: tuple, where: str = "") -> None:
    """Raises BadInputError if a field is missing or has another type."""
    for name, types in fields:
        if name not in message:
            raise BadInputError(where + name, "missing")
        if type(message[name]) not in types:
            raise BadInputError(where + name, f"is of type {type(message[name]).__name__}")


def optional(message: dict, name: str, types: tuple, default: Any) -> Any:
    """Returns the field's value, or the default. Raises BadInputError for another type."""
    value = message.get(name)
    if value is None:
        return default
    if type(value) not in types:
        raise BadInputError(name, f"is of type {type(value).__name__}")
    return value


def index_below(message: dict, name: str, size: int) -> int:
    """Returns the field as an index below `size`. Raises BadInputError if it is outside."""
    value = optional(message, name, (int,), 0)
    if not 0 <= value < size:
        raise BadInputError(name, f"{value} is outside the settings' list of {size}")
    return value


class SimulatedSidecar:
    """One sidecar of the simulator: its balancer, the indices of its upstreams, its unfinished requests."""

    def __init__(self, number: int, event: dict, now: int) -> None:
        self.number = number
        try:
            self.balancer = Balancer(event["conf"], event["prng"], now)
            self.methods = len(event["conf"]["methods"])
            self.zones = len(event["conf"]["zones"])
            self.tenants = max(1, len(event["conf"].get("customers", ())))
        except KeyError as missing:
            raise BadInputError("conf", f"setting {missing} is missing") from missing
        except (TypeError, ValueError, IndexError, AttributeError) as error:
            raise BadInputError("conf", f"a setting has the wrong form: {error}") from error
        self.upstreams = UpstreamIndices()
        self.rpcs: dict[int, Rpc] = {}
        self.timer_at = inf

    def rpc(self, event: dict) -> Rpc:
        """Returns the event's request. Raises BadInputError if it is not known."""
        rpc = self.rpcs.get(event["txn"])
        if rpc is None:
            raise BadInputError("txn", f"{event['txn']} was never submitted to sidecar {self.number}")
        return rpc

    # --- events

    def discovery(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles a list of upstreams, or the failure of the request for it."""
        kind = event["kind"]
        if kind == "X":
            self.balancer.list_failed(now)
            return
        if kind not in ("D", "F", "C"):
            raise BadInputError("kind", f"{kind!r} is unknown")
        set_id = optional(event, "set_id", (int,), 0)
        if set_id not in lists:
            raise BadInputError("set_id", f"no list was registered as {set_id}")
        rows = []
        for row in lists[set_id]:
            state = STATES.get(row.get("phase", "U"))
            if state is None:
                raise BadInputError("rows.phase", f"{row['phase']!r} is unknown")
            rows.append(
                self.upstreams.row(
                    row["upstream"],
                    index_below(row, "locality", self.zones),
                    state,
                    to_tenths_of_ms(optional(row, "start_time", NUMBER, 0)),
                    optional(row, "stripe", (int,), 0),
                    optional(row, "capacity_hint", NUMBER, 1),
                    optional(row, "generation_hw", (int,), 0),
                )
            )
        self.balancer.list_changed(now, rows, kind != "D", kind != "C")

    def submit(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles a new request."""
        txn = event["txn"]
        if txn in self.rpcs:
            raise BadInputError("txn", f"{txn} was submitted before")
        rpc = self.rpcs[txn] = self.balancer.admit(
            now,
            index_below(event, "profile", self.methods),
            floor(event["not_after"] * 10),
            bool(optional(event, "options", (int,), 0) & RETRY),
            txn,
            index_below(event, "project", self.tenants),
        )
        self.write_decision(rpc, now, out)

    def answer(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles the end of a transmission."""
        rpc, tx, outcome = self.rpc(event), optional(event, "copy", (int,), 0), OUTCOMES.get(event["how"])
        if outcome is None:
            raise BadInputError("how", f"{event['how']!r} is unknown")
        if tx not in rpc.outstanding:
            raise BadInputError("copy", f"transmission {tx} of {rpc.tag} is not outstanding")
        self.stop(
            rpc,
            rpc.attempt_finished(
                now,
                tx,
                outcome,
                to_tenths_of_ms(optional(event, "duration", NUMBER, 0)),
                event.get("settled") is True,
            ),
            out,
        )
        self.write_decision(rpc, now, out)

    def abandoned(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles the disconnect of a request's client."""
        rpc = self.rpcs.get(event["txn"])
        if rpc is not None:
            self.stop(rpc, rpc.client_disconnected(now), out)
            self.write_decision(rpc, now, out)

    def alarm(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles the timer that `close_batch` requested."""
        self.timer_at = inf

    def echo(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Rejects an upstream's answer to a poll: upstreams are never polled. Raises BadInputError."""
        raise BadInputError("upstream", f"{event['upstream']!r} was not polled")

    def accepted(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Handles the beginning of a streamed answer."""
        self.rpc(event).response_started()

    def inbox(self, event: dict, now: int, lists: dict, out: list) -> None:
        """Ignores a message between sidecars: only older builds sent them."""

    # --- answers

    def write_reply(self, out: list, verb: str, **fields) -> None:
        """Appends a reply of this sidecar to the output of the batch."""
        out.append(orjson.dumps({"verb": verb, "sidecar_id": self.number, **fields}))

    def stop(self, rpc: Rpc, attempts: list, out: list) -> None:
        """Writes a `stop_attempt` reply for each of these attempts."""
        for tx in attempts:
            self.write_reply(out, "stop_attempt", txn=rpc.tag, copy=tx)

    def write_decision(self, rpc: Rpc, now: int, out: list) -> None:
        """Writes what the balancer decides on a request now."""
        answer = rpc.decide(now)
        if answer is not None:
            what, value = answer
            if what >= 0:
                self.write_reply(
                    out, "hand_off", txn=rpc.tag, upstream=self.upstreams.ids[what], limit=value / 10
                )
            elif what == load_balancing.EXHAUSTED:
                self.write_reply(out, "shed", txn=rpc.tag, stay_away=value / 10)
            else:
                self.write_reply(out, "give_up", txn=rpc.tag)
        if rpc.done and not rpc.outstanding:
            self.rpcs.pop(rpc.tag, None)

    def close_batch(self, now: int, out: list) -> None:
        """Ends a batch after all its events: decides on due requests, requests the list, sets the timer."""
        balancer = self.balancer
        for rpc in balancer.due(now):
            self.write_decision(rpc, now, out)
        if balancer.wants_list(now):
            self.write_reply(out, "follow", active=True)
        for index in balancer.take_released():
            self.upstreams.release(index)
        wake = balancer.wake_at()
        if wake < self.timer_at:
            self.timer_at = wake
            self.write_reply(out, "wake_me", cookie=0, delay=max(1, wake - now) / 10)


HANDLERS = {
    verb: getattr(SimulatedSidecar, verb)
    for verb in ("discovery", "submit", "answer", "abandoned", "alarm", "accepted", "echo", "inbox")
}


class SidecarGroup:
    """All sidecars of this process. They share only the registered lists."""

    def __init__(self) -> None:
        self.sidecars: dict[int, SimulatedSidecar] = {}
        self.lists: dict[int, list] = {}
        self.now = 0

    def event(self, verb: str, event: dict, touched: dict, out: list) -> None:
        """Passes an event to its sidecar."""
        if verb == "register":
            for row in event["rows"]:
                if type(row) is not dict:
                    raise BadInputError("rows", "an entry is not an object")
                check(row, ROW, "rows.")
            self.lists[event["set_id"]] = event["rows"]
            return
        number = event["sidecar_id"]
        if verb == "power_on":
            self.sidecars[number] = touched[number] = SimulatedSidecar(number, event, self.now)
            return
        sidecar = self.sidecars.get(number)
        if sidecar is None:
            raise BadInputError("sidecar_id", f"sidecar {number} has not been started")
        if verb == "teardown":
            del self.sidecars[number]
            touched.pop(number, None)
            return
        touched[number] = sidecar
        call_balancer(number, HANDLERS[verb], sidecar, event, self.now, self.lists, out)


def call_balancer(number: int, call, *args) -> None:
    """Calls a function of a sidecar; an exception of the balancer is raised as DecisionError."""
    try:
        call(*args)
    except BadInputError:
        raise
    except Exception as failure:
        raise DecisionError(number, f"{type(failure).__name__}: {failure}") from failure


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handles events until the end of the input. Raises BadInputError for an invalid line."""
    group, line_number = SidecarGroup(), 0
    seq, touched, out = None, {}, []
    for line in source:
        line_number += 1
        try:
            try:
                event = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise BadInputError("line", f"not JSON ({error})") from error
            if type(event) is not dict or type(event.get("verb")) is not str:
                raise BadInputError("verb", "missing")
            verb = event["verb"]
            fields = REQUIRED.get(verb)
            if fields is None:
                raise BadInputError("verb", f"{verb!r} is unknown")
            check(event, fields)
            if (seq is None) != (verb == "batch"):
                raise BadInputError("verb", f"{verb!r} is out of place")
            if verb == "batch":
                seq, touched, out = event["seq"], {}, []
                group.now = ceil(event["now"] * 10)
            elif verb == "commit":
                for number, sidecar in touched.items():
                    call_balancer(number, sidecar.close_batch, group.now, out)
                flush_batch(sink, out, seq)
                seq = None
            else:
                group.event(verb, event, touched, out)
        except BadInputError as bad:
            bad.line = line_number
            raise
        except DecisionError as fault:
            number, what = fault.args
            out.append(orjson.dumps({"verb": "fault", "sidecar_id": number, "what": what}))
            flush_batch(sink, out, seq)
            raise
    if seq is not None:
        bad = BadInputError("commit", "missing at the end of the input")
        bad.line = line_number
        raise bad


def flush_batch(sink: BinaryIO, out: list, seq: int) -> None:
    """Writes the answers of one batch."""
    out.append(orjson.dumps({"verb": "yield", "seq": seq}, option=orjson.OPT_APPEND_NEWLINE))
    sink.write(b"\n".join(out))
    sink.flush()
