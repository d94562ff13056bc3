"""The client side without sockets, connected to the upstream side of `stepped_rig`."""

import re
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from ingress_rig import configuration, events, route
from stepped_rig import REFUSALS, UPSTREAMS, WAIT_MS, World

from shedgrade.dataplane.front import IngressFront
from shedgrade.dataplane.ingress import IngressConnection
from shedgrade.served_routes import Routes

EVENTS = 3  # of each stream
KINDS = {
    "/safe/": {"route_class": "safe"},
    "/unsafe/": {"route_class": "unsafe"},
    "/stream/": {"resumable": False},
    "/resumable/": {"resumable": True},
}
ONCE = ("/unsafe/", "/stream/")


class SteppedIngress(IngressConnection):
    """The real connection with the socket calls replaced."""

    def unread(self):
        return False

    def unsent(self):
        return 0

    def has_disconnected(self):
        return self.transport.is_closing()

    def break_off(self):
        self.transport.abort()


@dataclass
class ClientAnswer:
    """One answer as a client reads it; `complete`: its end was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclass
class ClientWire:
    """The transport of a client connection, and the client at its other end."""

    world: "EdgeWorld"
    sent_ids: list[str] = field(default_factory=list)  # ids in the order in which they were sent
    received: bytes = b""
    closing: bool = False

    def is_closing(self):
        return self.closing

    def set_write_buffer_limits(self, high):
        """Does nothing: all written bytes are accepted at once."""

    def pause_reading(self):
        """Does nothing: requests are short."""

    resume_reading = pause_reading

    def write(self, data):
        if not self.closing:
            self.received += bytes(data)

    def abort(self):
        if not self.closing:
            self.closing = True
            self.world.loop.call_soon(self.connection.connection_lost, None)

    close = abort

    def send(self, data):
        room = self.connection.get_buffer(len(data))
        room[: len(data)] = data
        self.connection.buffer_updated(len(data))

    def answers(self):
        """The received answers in order; the last one may be incomplete."""
        rest, found = self.received, []
        while rest:
            head, ended, rest = rest.partition(b"\r\n\r\n")
            if not ended:
                break
            first, *lines = head.decode().split("\r\n")
            headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
            body, complete, rest = (
                dechunked(rest)
                if "transfer-encoding" in headers
                else (sized(rest, int(headers.get("content-length", 0))))
            )
            found.append(ClientAnswer(int(first.split()[1]), headers, body, complete))
        return found


def sized(data, length):
    return data[:length], len(data) >= length, data[length:]


def dechunked(data):
    body = b""
    while data:
        size, ended, rest = data.partition(b"\r\n")
        length = int(size, 16) if ended else -1
        if length < 0 or len(rest) < length + 2:
            return body + rest[: max(0, length)], False, b""
        if length == 0:
            return body, True, rest[2:]
        body, data = body + rest[:length], rest[length + 2 :]
    return body, False, b""


class EdgeWorld(World):
    """Client connections, each with a sequence of requests, and the upstream side behind them."""

    def __init__(self):
        super().__init__()
        self.paths: dict[str, str] = {}  # path prefix by attempt id
        self.connections: list[ClientWire] = []
        routes = configuration(
            *(
                route(path_prefix=path, timeout_ms=WAIT_MS, max_attempts=2, **options)
                for path, options in KINDS.items()
            )
        )
        plane = SimpleNamespace(
            clock=self.loop,
            routes=Routes(routes, {"east": 0}),
            services={"lm": self.pool},
            ready=lambda: True,
            draining=lambda: False,
            accepts=lambda longest_s: True,
            retry_after_s=lambda: 0.0,
        )
        self.front = IngressFront(self.loop, plane, self.pool.connections.budget, Random(7))

    def body_of(self, arrival, number, status):
        path = "/" + arrival.path.split("/")[1] + "/"
        if status != 200 or path not in ("/stream/", "/resumable/"):
            return super().body_of(arrival, number, status)
        body = events(*range(arrival.last_event_id + 1, EVENTS + 1))
        return body.replace(b"piece", b"piece of %s, run %d," % (arrival.attempt_id.encode(), number))

    # --- steps

    def open_client(self):
        wire = ClientWire(self)
        wire.connection = SteppedIngress(self.front)
        wire.connection.connection_made(wire)
        self.connections.append(wire)
        return wire

    def send(self, number, path):
        """Sends one more request, on one of the open connections or on a new one."""
        open_wires = [wire for wire in self.connections if not wire.closing]
        chosen = number % (len(open_wires) + 1)
        wire = open_wires[chosen] if chosen < len(open_wires) else self.open_client()
        attempt_id = f"id-{len(self.paths)}"
        self.paths[attempt_id] = path
        wire.sent_ids.append(attempt_id)
        wire.send(
            f"POST {path}x HTTP/1.1\r\nHost: rota.example\r\nAttempt-Id: {attempt_id}\r\n"
            f"Content-Length: 6\r\n\r\nprompt".encode()
        )

    def serve(self, path, status):
        """Sends one more request, which is answered completely and with its id."""
        self.send(len(self.connections), path)
        for _ in range(UPSTREAMS):
            self.answer_newest(self.newest(), status, None)

    def break_off(self, path, count):
        """Sends one more request, whose answer breaks off after `count` bytes; a second upstream answers."""
        self.send(len(self.connections), path)
        self.answer_newest(self.newest(), 200, count)
        self.answer_newest(self.newest(), 200, None)

    def newest(self):
        return f"id-{len(self.paths) - 1}"

    def leave(self, number):
        open_wires = [wire for wire in self.connections if not wire.closing]
        if open_wires:
            open_wires[number % len(open_wires)].abort()

    # --- invariants

    def verdict(self):
        for wire in self.connections:
            answers = wire.answers()
            if len(answers) > len(wire.sent_ids):
                return f"id-?: {len(answers)} answers to {len(wire.sent_ids)} requests"
            if len(answers) < len(wire.sent_ids) and not wire.closing:
                return f"{wire.sent_ids[len(answers)]}: no answer on an open connection"
            for attempt_id, answer in zip(wire.sent_ids, answers, strict=False):
                violation = self.answer_violation(attempt_id, answer)
                if violation:
                    return f"{attempt_id} of {self.paths[attempt_id]}: {violation}, {answer}"
        return next(
            (
                f"{attempt_id}: ran twice"
                for attempt_id, path in self.paths.items()
                if path in ONCE and self.arrived[attempt_id] - self.refused[attempt_id] > 1
            ),
            None,
        )

    def answer_violation(self, attempt_id, answer):
        run_count = self.arrived[attempt_id] - self.refused[attempt_id]
        if self.paths[attempt_id] in ONCE and answer.status in (408, 421, 429, 503) and run_count:
            return "the answer promises that it was not run, but it was"
        if answer.headers.get("attempt-id", attempt_id) != attempt_id:
            return "the id of another request"
        if answer.headers.get("server-seal", f"seal of {attempt_id}") != f"seal of {attempt_id}":
            return "the seal of another request"
        if answer.status == 200 and "server-seal" not in answer.headers:
            return "a success without a seal"
        if "server-seal" not in answer.headers or answer.status in REFUSALS:
            return None if not answer.body else "a body that no upstream sent"
        if self.paths[attempt_id] == "/resumable/" and answer.status == 200:
            return self.event_violation(attempt_id, answer)
        bodies = self.bodies.get((attempt_id, answer.status), ())
        if answer.complete:
            return None if answer.body in bodies else "a body that no upstream sent for this request"
        return (
            None
            if any(body.startswith(answer.body) for body in bodies)
            else "a partial body that no upstream sent for it"
        )

    def event_violation(self, attempt_id, answer):
        """Checks that complete events arrive in order, none missing or repeated, from one or several runs."""
        *event_texts, rest = answer.body.split(b"\n\n")
        form = rb"id: (\d+)\ndata: piece of %s, run \d+, \1" % attempt_id.encode()
        found = [re.fullmatch(form, event) for event in event_texts]
        if not all(found):
            return "an event that no upstream sent"
        if [int(event[1]) for event in found] != list(range(1, len(event_texts) + 1)):
            return "events that are not consecutive"
        return (
            "incomplete, but ended as if complete"
            if answer.complete and (rest or len(event_texts) != EVENTS)
            else None
        )
