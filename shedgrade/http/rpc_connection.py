"""Client connections of the sidecar's own protocol: requests with `X-Request-Id` and `X-Timeout-Ms`."""

from typing import Protocol
from urllib.parse import unquote_to_bytes

from shedgrade.buffers.flow import Flow
from shedgrade.http.inbound_connection import InboundConnection
from shedgrade.http.message_grammar import Headers, content_length, end_to_end_headers, origin_form
from shedgrade.http.request_parser import InboundFront
from shedgrade.in_flight import ActiveRequest, Request

MAX_TIMEOUT_MS = 3_600_000  # largest accepted `X-Timeout-Ms`: one hour


class MethodFront(InboundFront, Protocol):
    """What an RPC connection uses of its front, beyond `InboundFront`."""

    methods: dict[bytes, int]
    tenants: int

    def tenant_of(self, name: bytes) -> int:
        """Returns the number of a tenant by its name."""


class RpcConnection(InboundConnection):
    """A client connection on which the first segment of a request's path is the RPC method."""

    unique_headers = (b"x-request-id", b"x-timeout-ms")
    front: MethodFront

    def __init__(self, front: MethodFront, user: str = "") -> None:
        """`user`: the name with which the client has logged in, or ""."""
        self.user = user
        super().__init__(front)

    def take_request(
        self, verb: bytes, target: bytes, headers: Headers, body: bytes, flow: Flow | None = None
    ) -> None:
        """Admits an RPC, or answers the request itself: `/up`, and invalid requests."""
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
        forwarded_headers = [
            (name, value) for name, value in end_to_end_headers(headers) if name.lower() != b"x-timeout-ms"
        ]
        length = None if flow is None else content_length(headers)
        self.admit(
            Request(name, verb, target, forwarded_headers, body, flow, length),
            method,
            int(wait),
            known.get(b"x-retried") == b"1",
            tenant,
        )

    def admit(self, request: Request, method: int, wait_ms: int, retried: bool, tenant: int) -> None:
        """Submits a valid request, rejects it for want of memory, or drops it if its client has left."""
        # Guards against useless work after a stall of this process: the request is read before the end of
        # its connection, which the client closed meanwhile. Requests that wait longer are checked again
        # before they are sent.
        if self.front.recently_stalled() and self.has_disconnected():
            self.close()
            return
        if request.name in self.front.dispatcher.active_requests.request_ids:
            self.reject_and_close(409)  # the id is in use: the two responses could not be told apart
            return
        if not self.front.can_buffer(len(request)):
            self.exhausted(0)
            return
        active_request = ActiveRequest(self, request, self.user)
        self.active_request = active_request
        if request.flow is not None:
            request.flow.on_replay_lost = lambda: self.front.dispatcher.body_received(
                active_request, False, not active_request.is_body_incomplete
            )
        self.front.dispatcher.submit(active_request, method, wait_ms, retried, tenant)

    def method(self, name: bytes) -> int | None:
        """Returns the number of a method by its name, plain or percent-encoded (RFC 3986, section 2.1)."""
        method = self.front.methods.get(name)
        if method is None and b"%" in name:
            method = self.front.methods.get(unquote_to_bytes(name))
        return method

    def tenant(self, known: dict[bytes, bytes]) -> int | None:
        """Returns the tenant's number, by its name in `X-Tenant-Id` or its number in `X-Attrs`.

        Returns 0 if neither is present, and None if the number is invalid.
        """
        name = known.get(b"x-tenant-id")
        if name is not None:
            return self.front.tenant_of(name)
        for pair in known.get(b"x-attrs", b"").split(b","):
            name, _, value = pair.partition(b"=")
            if name.strip() == b"project":
                value = value.strip()
                is_valid = value.isdigit() and len(value) < 6 and int(value) < self.front.tenants
                return int(value) if is_valid else None
        return 0
