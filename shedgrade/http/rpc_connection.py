"""Clients of the sidecar's deployments: requests with `X-Request-Id` and `X-Timeout-Ms`."""

from typing import Protocol
from urllib.parse import unquote_to_bytes

from shedgrade.buffers.flow import Flow
from shedgrade.http.inbound_connection import InboundConnection
from shedgrade.http.message_grammar import Headers, content_length, end_to_end_headers, origin_form
from shedgrade.http.request_parser import InboundFront
from shedgrade.in_flight import ActiveRequest, Request

MAX_TIMEOUT_MS = 3_600_000  # that a client may say it waits: an hour, to keep out nonsense


class MethodFront(InboundFront, Protocol):
    """What an RPC connection uses of its front beside that."""

    methods: dict[bytes, int]
    tenants: int

    def tenant_of(self, name: bytes) -> int:
        """The number of a tenant, by name."""


class RpcConnection(InboundConnection):
    """The first part of a request's path names its method."""

    unique_headers = (b"x-request-id", b"x-timeout-ms")
    front: MethodFront

    def __init__(self, front: MethodFront, user: str = "") -> None:
        """`user`: the name under which its owner has logged in, if it has."""
        self.user = user
        super().__init__(front)

    def take_request(
        self, verb: bytes, target: bytes, headers: Headers, body: bytes, flow: Flow | None = None
    ) -> None:
        """Admits a request of an RPC, or answers it: `/up`, and what can't be used."""
        self.request_method = verb
        self.http_1_0 = self.parser.get_http_version() == "1.0"
        target = origin_form(target)
        path = target.split(b"?", 1)[0]
        if path == b"/up":
            self.answer(200 if self.front.ready() else 503)
            return
        known = self.headers_by_name(headers)
        if known is None:
            self.reject_and_close(400)
            return
        method = self.method(path.split(b"/", 2)[1] if path.startswith(b"/") else b"")
        wait = known.get(b"x-timeout-ms", b"")
        name = known.get(b"x-request-id")
        if not name or not wait.isdigit() or len(wait) > 9 or not 0 < int(wait) <= MAX_TIMEOUT_MS:
            self.reject_and_close(400)
            return
        if method is None:
            self.reject_and_close(404)
            return
        tenant = self.tenant(known) if self.front.tenants else 0
        if tenant is None:
            self.reject_and_close(400)
            return
        kept = [
            (name, value) for name, value in end_to_end_headers(headers) if name.lower() != b"x-timeout-ms"
        ]
        length = None if flow is None else content_length(headers)
        self.admit(
            Request(name, verb, target, kept, body, flow, length),
            method,
            int(wait),
            known.get(b"x-retried") == b"1",
            tenant,
        )

    def admit(self, request: Request, method: int, wait_ms: int, retried: bool, tenant: int) -> None:
        """Hands a sound request on, or answers it where there is no room or its client has left."""
        # Guards against work for nobody after a stall of our own: the request is read before the end of its
        # connection, whose client left meanwhile. Whatever waits longer is looked at again when it is sent.
        if self.front.stalled() and self.has_left():
            self.close()
            return
        if request.name in self.front.dispatcher.active_requests.request_ids:
            self.reject_and_close(409)  # somebody waits under this id: two answers could not be told apart
            return
        if not self.front.room_for(len(request)):
            self.exhausted(0)
            return
        active_request = ActiveRequest(self, request, self.user)
        self.active_request = active_request
        if request.flow is not None:
            request.flow.lost = lambda: self.front.dispatcher.body_received(
                active_request, False, not active_request.is_body_incomplete
            )
        self.front.dispatcher.submit(active_request, method, wait_ms, retried, tenant)

    def method(self, part: bytes) -> int | None:
        """The number of a method by its name, as it stands or percent-encoded (RFC 3986, section 2.1)."""
        found = self.front.methods.get(part)
        if found is None and b"%" in part:
            found = self.front.methods.get(unquote_to_bytes(part))
        return found

    def tenant(self, known: dict[bytes, bytes]) -> int | None:
        """The tenant's number, by its name in `X-Tenant-Id` or its number in `X-Attrs`, 0 where none is
        named; None if the number is not valid."""
        name = known.get(b"x-tenant-id")
        if name is not None:
            return self.front.tenant_of(name)
        for pair in known.get(b"x-attrs", b"").split(b","):
            name, _, value = pair.partition(b"=")
            if name.strip() == b"project":
                value = value.strip()
                sound = value.isdigit() and len(value) < 6 and int(value) < self.front.tenants
                return int(value) if sound else None
        return 0
