"""One connection to an upstream that serves a model: whose answer comes on it, and what it proves.

Streams are forwarded as they come.
"""

import re
import socket

from shedgrade.dataplane.attribution import Attribution, attribute
from shedgrade.dataplane.engine_protocol import MISDIRECTED
from shedgrade.http.message_grammar import MAX_HEAD_BYTES, ResponseError, end_to_end_headers
from shedgrade.http.upstream_connection import UpstreamConnection
from shedgrade.in_flight import Answer, Transmission

USER_TIMEOUT_MS = 1500  # without an acknowledgement of what was sent, then the kernel ends the connection
STATED_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


def enable_keepalive(transport) -> None:
    """Guards against a machine without power or behind a cut, which says nothing: the kernel probes it."""
    handle = transport.get_extra_info("socket")
    for level, name, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        try:
            handle.setsockopt(level, name, value)
        except OSError:  # it is lost already
            return


class EngineConnection(UpstreamConnection):
    """Responses are attributed by the id that they echo; a success needs the upstream's seal.

    What can't be attributed is taken only as the first response to the first request of a connection: there
    it can belong to no other. Elsewhere it ends the request as one that may have run, and the connection.

    Attributes:
        surplus: what comes now answers another request, whose time is over.
        surplus_came: at least one such response has come on this connection.
    """

    def __init__(self, connections, upstream: int, address: tuple[str, int]) -> None:
        self.surplus = False
        self.surplus_came = False
        super().__init__(connections, upstream, address)

    def connection_made(self, transport) -> None:
        """The connection is open: it is probed by the kernel from now on."""
        super().connection_made(transport)
        enable_keepalive(transport)

    def begin(self, transmission: Transmission, now: int) -> None:
        """Sends a request; see `UpstreamConnection.begin`."""
        # What an earlier upstream answered tells nothing of what this one does with the request.
        transmission.active_request.failure = None
        super().begin(transmission, now)
        self.connections.request_sent(self.upstream, now)

    def read(self) -> None:
        """Bytes have come: the upstream is not silent."""
        self.connections.last_heard_at[self.upstream] = self.connections.clock.now()
        super().read()

    def on_headers_complete(self) -> None:
        """A head is complete: attributes it, and forwards the response of a stream at once."""
        super().on_headers_complete()
        if not self.status:
            return
        known = {name.lower(): value for name, value in self.headers}
        self.note_idle_timeout(known.get(b"keep-alive"))
        if self.transmission is None:
            return
        match self.attribution():
            case Attribution.FOREIGN:
                self.skip_surplus()
            case Attribution.UNKNOWN:
                raise ResponseError("a response that can't be attributed")
            case Attribution.OWN if self.status // 100 == 2:
                self.succeeded(known)

    def attribution(self) -> Attribution:
        """Whose answer it is whose head has come."""
        sole_request = self.transmission.first_on_connection and not self.surplus_came
        return attribute(self.headers, self.transmission.active_request.request.name, sole_request)

    def skip_surplus(self) -> None:
        """Guards against a second answer that is late: it comes where the next one is due.

        Nothing is kept of its head: neither its end, nor the connection's, nor the deadline may take it for
        the answer to the request in hand.
        """
        self.reset_response()
        self.surplus = self.surplus_came = True

    def succeeded(self, known: dict[bytes, bytes]) -> None:
        """The head of a success has come: `known`, its headers by name in lower case."""
        if b"attempt-id" not in known or b"server-seal" not in known or b"content-encoding" in known:
            raise ResponseError("a success that is not the upstream's")
        if self.transmission.active_request.streams and self.request_flow is None and not self.complete:
            self.forward_as_flow()

    def may_have_run(self) -> bool:
        """As for any upstream; and one that began an answer to part of a request may have begun on it too."""
        return super().may_have_run() or bool(self.status)

    def note_idle_timeout(self, keep_alive: bytes | None) -> None:
        """Takes from a `Keep-Alive` header how long the upstream keeps an idle connection, in seconds."""
        found = keep_alive and STATED_TIMEOUT.search(keep_alive)
        if found:
            self.connections.idle_timeout_stated(int(found[1]))

    def on_body(self, body: bytes) -> None:
        """A part of a body has come, be it of a surplus response."""
        if self.surplus:
            self.head_bytes_left = MAX_HEAD_BYTES  # the own answer's head is still to come whole
        else:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """A response is complete; of a surplus one, the next bytes are the own response's."""
        if not self.surplus:
            super().on_message_complete()
            return
        self.surplus = False
        self.reset_response()
        self.bodiless = (
            self.transmission is not None and self.transmission.active_request.request.verb == b"HEAD"
        )

    def response_complete(self) -> None:
        """A complete response is here; a failure of the upstream's own is kept for the client."""
        transmission = self.transmission
        if transmission is not None and self.status // 100 != 2:
            transmission.active_request.failure = Answer(
                end_to_end_headers(self.headers), b"".join(self.body), self.status
            )
            if self.status == MISDIRECTED:
                self.connections.misdirected(self.upstream)
        super().response_complete()
