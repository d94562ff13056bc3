"""One connection to an upstream that serves a model: attributes its responses and checks successes.

Streams are forwarded while they are received.
"""

import re
import socket

from shedgrade.dataplane.attribution import Attribution, attribute
from shedgrade.dataplane.engine_protocol import MISDIRECTED
from shedgrade.http.message_grammar import MAX_HEAD_BYTES, ResponseError, end_to_end_headers
from shedgrade.http.upstream_connection import UpstreamConnection
from shedgrade.in_flight import Answer, Transmission

USER_TIMEOUT_MS = 1500  # the kernel closes the connection if sent bytes are unacknowledged for this long
STATED_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


def enable_keepalive(transport) -> None:
    """Enables TCP keepalive, with which the kernel detects a machine that lost power or network silently."""
    sock = transport.get_extra_info("socket")
    for level, name, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        try:
            sock.setsockopt(level, name, value)
        except OSError:  # the connection is already lost
            return


class EngineConnection(UpstreamConnection):
    """Attributes responses by the id that they echo; a success requires the upstream's seal.

    A response without an id is accepted only as the first response to the first request of a connection,
    where it can belong to no other request. Any other response that can't be attributed closes the connection
    and ends the request as one that may have run.

    Attributes:
        surplus: the response being received answers an earlier request, which has already ended.
        surplus_received: at least one such response was received on this connection.
    """

    def __init__(self, connections, upstream: int, address: tuple[str, int]) -> None:
        self.surplus = False
        self.surplus_received = False
        super().__init__(connections, upstream, address)

    def connection_made(self, transport) -> None:
        """The connection is open: enables keepalive."""
        super().connection_made(transport)
        enable_keepalive(transport)

    def begin(self, transmission: Transmission, now: int) -> None:
        """Sends a request; see `UpstreamConnection.begin`."""
        # An earlier upstream's failure says nothing about what this one does with the request.
        transmission.active_request.failure = None
        super().begin(transmission, now)
        self.connections.request_sent(self.upstream, now)

    def read(self) -> None:
        """Records that the upstream is not silent, and parses the received bytes."""
        self.connections.last_heard_at[self.upstream] = self.connections.clock.now()
        super().read()

    def on_headers_complete(self) -> None:
        """Attributes the response whose head is complete, and starts to forward it if it is a stream."""
        super().on_headers_complete()
        if not self.status:
            return
        named_headers = {name.lower(): value for name, value in self.headers}
        self.note_idle_timeout(named_headers.get(b"keep-alive"))
        if self.transmission is None:
            return
        match self.attribution():
            case Attribution.FOREIGN:
                self.skip_surplus()
            case Attribution.UNKNOWN:
                raise ResponseError("response can't be attributed to a request")
            case Attribution.OWN if self.status // 100 == 2:
                self.accept_success(named_headers)

    def attribution(self) -> Attribution:
        """Returns which request the response belongs to, once its head was received."""
        sole_request = self.transmission.first_on_connection and not self.surplus_received
        return attribute(self.headers, self.transmission.active_request.request.name, sole_request)

    def skip_surplus(self) -> None:
        """Discards the head of a surplus response, which arrives late, where the next response is due.

        Guards against taking its head for that of the request in flight: at its end, at the end of the
        connection, or at the deadline.
        """
        self.reset_response()
        self.surplus = self.surplus_received = True

    def accept_success(self, named_headers: dict[bytes, bytes]) -> None:
        """Checks the head of a success and starts to forward a stream. `named_headers`: headers by lower-case
        name."""
        if (
            b"attempt-id" not in named_headers
            or b"server-seal" not in named_headers
            or b"content-encoding" in named_headers
        ):
            raise ResponseError("success lacks the attempt id or the upstream's seal, or is encoded")
        if self.transmission.active_request.streams and self.request_flow is None and not self.complete:
            self.forward_as_flow()

    def note_idle_timeout(self, keep_alive: bytes | None) -> None:
        """Takes the idle timeout of the upstream, in seconds, from a `Keep-Alive` header."""
        match = keep_alive and STATED_TIMEOUT.search(keep_alive)
        if match:
            self.connections.apply_stated_idle_timeout(int(match[1]))

    def on_body(self, body: bytes) -> None:
        """Receives part of a body; that of a surplus response is discarded."""
        if self.surplus:
            self.head_bytes_left = MAX_HEAD_BYTES  # the head of the next response is still to come
        else:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a response; after a surplus one, the next bytes belong to the request in flight."""
        if not self.surplus:
            super().on_message_complete()
            return
        self.surplus = False
        self.reset_response()
        self.bodiless = (
            self.transmission is not None and self.transmission.active_request.request.verb == b"HEAD"
        )

    def response_complete(self) -> None:
        """Ends the exchange of a complete response; keeps the upstream's own failure for the client."""
        transmission = self.transmission
        if transmission is not None and self.status // 100 != 2:
            transmission.active_request.failure = Answer(
                end_to_end_headers(self.headers), b"".join(self.body), self.status
            )
            if self.status == MISDIRECTED:
                self.connections.misdirected(self.upstream)
        super().response_complete()
