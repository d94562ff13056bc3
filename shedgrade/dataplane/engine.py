"""One connection to an upstream that serves a model: whose answer comes on it, and what it proves.

Streams are passed on as they come.
"""

import re
import socket

from shedgrade.dataplane.attribution import Attribution, attribute
from shedgrade.dataplane.protocol import MISDIRECTED
from shedgrade.http.connection import LONGEST_HEAD, MessageError, passed_on
from shedgrade.http.upstream import UpstreamConnection
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
    """Answers are told apart by the id that they echo; a success needs the upstream's seal.

    What nothing tells apart is believed only as the first answer to the first request of a connection: there
    it can belong to no other. Elsewhere it ends the request as one that may have run, and the connection.
    """

    def __init__(self, caller, upstream: int, address: tuple[str, int]) -> None:
        self.surplus = False  # what comes now answers another request, whose time is over
        self.surplus_came = False  # at least one such answer has come on this connection
        super().__init__(caller, upstream, address)

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        enable_keepalive(transport)

    def begin(self, transmission: Transmission, now: int) -> None:
        # What an earlier upstream answered tells nothing of what this one does with the request.
        transmission.active_request.failure = None
        super().begin(transmission, now)
        self.caller.request_sent(self.upstream, now)

    def read(self) -> None:
        self.caller.last_heard_at[self.upstream] = self.caller.clock.now()
        super().read()

    def on_headers_complete(self) -> None:
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
                raise MessageError("an answer that nothing tells apart")
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
        self.clear()
        self.surplus = self.surplus_came = True

    def succeeded(self, known: dict[bytes, bytes]) -> None:
        """The head of a success has come: `known`, its headers by name in lower case."""
        if b"attempt-id" not in known or b"server-seal" not in known or b"content-encoding" in known:
            raise MessageError("a success that is not the upstream's")
        if self.transmission.active_request.streams and self.sending is None and not self.complete:
            self.pass_on()

    def may_have_run(self) -> bool:
        """As for any upstream; and one that began an answer to part of a request may have begun on it too."""
        return super().may_have_run() or bool(self.status)

    def note_idle_timeout(self, keep_alive: bytes | None) -> None:
        """Takes from a `Keep-Alive` header how long the upstream keeps an idle connection, in seconds."""
        found = keep_alive and STATED_TIMEOUT.search(keep_alive)
        if found:
            self.caller.idle_timeout_stated(int(found[1]))

    def on_body(self, body: bytes) -> None:
        if self.surplus:
            self.head_left = LONGEST_HEAD  # the own answer's head is still to come whole
        else:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self.surplus:
            super().on_message_complete()
            return
        self.surplus = False
        self.clear()
        self.bodiless = (
            self.transmission is not None and self.transmission.active_request.request.verb == b"HEAD"
        )

    def finish(self) -> None:
        transmission = self.transmission
        if transmission is not None and self.status // 100 != 2:
            transmission.active_request.failure = Answer(
                passed_on(self.headers), b"".join(self.body), self.status
            )
            if self.status == MISDIRECTED:
                self.caller.misdirected(self.upstream)
        super().finish()
