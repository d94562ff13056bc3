"""The operators' calls: configuration, evacuations, status, by a tree of matchers.

Source: PROTOCOL, "The operator's API". A configuration's content is checked here, by the member that took the
call; only what depends on the newest state is decided at the primary.
"""

from collections.abc import Callable, Mapping
from urllib.parse import unquote

import msgspec
from expression import Result

from shedgrade.controlplane.configuration import read
from shedgrade.controlplane.deduplication import digest
from shedgrade.controlplane.delta import read_delta
from shedgrade.controlplane.ordering import Caller
from shedgrade.controlplane.orders import (
    ConfigurationOrder,
    Evacuate,
    Order,
    PatchConfiguration,
    PutConfiguration,
    Return,
)
from shedgrade.findings import Finding
from shedgrade.http.server import Reply, Request, Respond, failure
from shedgrade.route_matching.calls import CallTree, Match, NotAllowed

AGAIN = ((b"Retry-After", b"0.2"),)
SOUND = 8  # configurations whose check is remembered, as their callers send them again
UNAVAILABLE = failure(503, Finding("", "the control state is not to be had here"), headers=AGAIN)


def version_in(header: bytes) -> int | None:
    """The version in an `If-Match`, also as an entity tag; None if it is no number.

    >>> version_in(b'5'), version_in(b'W/"5"'), version_in(b'*')
    (5, 5, None)
    """
    digits = header.strip().removeprefix(b"W/").strip(b'"')
    return int(digits) if digits.isdigit() and len(digits) < 20 else None


def caller_of(request: Request) -> Caller:
    return Caller(request.arrived_after, request.caller_gone)


class Operators:
    """`orders` has `order(order, tell, caller)` and `read(tell, caller)`; None told means: nothing can be
    said of it here.
    `status()` gives plain data; without it there is no such call."""

    def __init__(self, orders, status: Callable[[], Mapping[str, object]] | None = None) -> None:
        self.orders, self.status, self.calls = orders, status, CallTree()
        # Versions of changes found sound here, by their kind and digest.
        self.sound: dict[tuple[type[ConfigurationOrder], bytes], int] = {}
        if status is not None:
            self.calls.add(b"GET", b"/status", self.tell_status)
        for method, pattern, call in (
            (b"PUT", b"/configuration", self.put),
            (b"PATCH", b"/configuration", self.patch),
            (b"GET", b"/configuration", self.get),
            (b"POST", b"/evacuation/{}", self.evacuate),
            (b"DELETE", b"/evacuation/{}", self.take_back),
        ):
            self.calls.add(method, pattern, call)

    def handle(self, request: Request, tell: Respond) -> None:
        match self.calls.find(request.method, request.path):
            case Match(call, arguments):
                call(request, tell, *arguments)
            case NotAllowed(allowed):
                tell(
                    failure(
                        405,
                        Finding("request", "this verb is none of the call's"),
                        headers=((b"Allow", b", ".join(allowed)),),
                    )
                )
            case _:
                tell(failure(404, Finding("request", "no such call")))

    def order(self, order: Order, request: Request, tell: Respond) -> None:
        def told(reply) -> None:
            if reply is None:
                tell(UNAVAILABLE)
            elif reply.status == 200:
                tell(Reply(200))
            else:
                headers = AGAIN if reply.status == 503 else ()
                tell(failure(reply.status, Finding(reply.place, reply.text), *reply.further, headers=headers))

        self.orders.order(order, told, caller_of(request))

    def put(self, request: Request, tell: Respond) -> None:
        def check() -> Result[int, tuple[Finding, ...]]:
            return read(request.body).map(lambda configuration: configuration.version)

        self.configure(PutConfiguration, check, request, tell)

    def patch(self, request: Request, tell: Respond) -> None:
        self.configure(PatchConfiguration, lambda: read_delta(request.body), request, tell)

    def configure(
        self,
        kind: type[ConfigurationOrder],
        check: Callable[[], Result[int, tuple[Finding, ...]]],
        request: Request,
        tell: Respond,
    ) -> None:
        """Orders the change if it is sound. `check`: its version, or what is wrong with it."""
        base = version_in(request.headers.get(b"if-match", b""))
        findings = (
            ()
            if base is not None
            else (Finding("If-Match", "is to say the version that this one builds on, or 0"),)
        )
        key = kind, digest(request.body)
        version = self.sound.get(key)
        if version is None:
            checked = check()
            if checked.is_error():
                findings += checked.error
            else:
                version = self.sound[key] = checked.ok
                if len(self.sound) > SOUND:
                    del self.sound[next(iter(self.sound))]
        if findings:
            tell(failure(400, *findings))
        else:
            self.order(kind(base, version, request.body), request, tell)

    def get(self, request: Request, tell: Respond) -> None:
        def told(state) -> None:
            if state is None:
                tell(UNAVAILABLE)
            elif not state.get("configuration"):
                tell(failure(404, Finding("configuration", "none was put yet")))
            else:
                tell(Reply(200, state["configuration"]))

        self.orders.read(told, caller_of(request))

    def evacuate(self, request: Request, tell: Respond, zone: bytes) -> None:
        self.order(Evacuate(unquote(zone, errors="replace")), request, tell)

    def take_back(self, request: Request, tell: Respond, zone: bytes) -> None:
        self.order(Return(unquote(zone, errors="replace")), request, tell)

    def tell_status(self, request: Request, tell: Respond) -> None:
        """From this member's memory, also where there is no primary."""
        tell(Reply(200, msgspec.json.encode(self.status())))
