"""The operators' calls: configuration, evacuations, status, by a tree of matchers."""
from collections.abc import Callable

import msgspec

from shedgrade.controlplane.configuration import read
from shedgrade.controlplane.orders import Evacuate, Order, PutConfiguration, Return
from shedgrade.findings import Finding
from shedgrade.httpd import Reply, Request, Tell, failure
from shedgrade.matching.calls import CallTree, Match, NotAllowed

AGAIN = ((b"Retry-After", b"0.2"),)


class Operators:
    """`orders` has `order(order, tell)` and `read(tell)`; None told means: nothing can be said of it here.
    `status()` gives plain data; without it there is no such call."""

    def __init__(self, orders, status: Callable[[], dict] | None = None) -> None:
        self.orders, self.status, self.calls = orders, status, CallTree()
        if status is not None:
            self.calls.add(b"GET", b"/status", self.tell_status)
        for method, pattern, call in ((b"PUT", b"/configuration", self.put),
                                      (b"GET", b"/configuration", self.get),
                                      (b"POST", b"/evacuation/{}", self.evacuate),
                                      (b"DELETE", b"/evacuation/{}", self.take_back)):
            self.calls.add(method, pattern, call)

    def handle(self, request: Request, tell: Tell) -> None:
        match self.calls.find(request.method, request.path):
            case Match(call, arguments):
                call(request, tell, *arguments)
            case NotAllowed(allowed):
                tell(failure(405, Finding("request", "this verb is none of the call's"),
                             headers=((b"Allow", b", ".join(allowed)),)))
            case _:
                tell(failure(404, Finding("request", "no such call")))

    def order(self, order: Order, tell: Tell) -> None:
        def told(reply) -> None:
            if reply is None:
                tell(failure(503, Finding("", "the control state is not to be had here"), headers=AGAIN))
            elif reply.status == 200:
                tell(Reply(200))
            else:
                tell(failure(reply.status, Finding("", reply.text)))
        self.orders.order(order, told)

    def put(self, request: Request, tell: Tell) -> None:
        base = request.headers.get(b"if-match", b"").strip(b'" ')
        checked = read(request.body)
        if checked.is_error():
            tell(failure(400, *checked.error))
            return
        known = int(base) if base.isdigit() else None
        self.order(PutConfiguration(known, checked.ok.version, request.body), tell)

    def get(self, request: Request, tell: Tell) -> None:
        def told(state) -> None:
            if state is None:
                tell(failure(503, Finding("", "the control state is not to be had here"), headers=AGAIN))
            elif not state.get("configuration"):
                tell(failure(404, Finding("configuration", "none was put yet")))
            else:
                tell(Reply(200, state["configuration"]))
        self.orders.read(told)

    def evacuate(self, request: Request, tell: Tell, zone: bytes) -> None:
        self.order(Evacuate(zone.decode(errors="replace")), tell)

    def take_back(self, request: Request, tell: Tell, zone: bytes) -> None:
        self.order(Return(zone.decode(errors="replace")), tell)

    def tell_status(self, request: Request, tell: Tell) -> None:
        """From this member's memory, also where there is no primary."""
        tell(Reply(200, msgspec.json.encode(self.status())))
