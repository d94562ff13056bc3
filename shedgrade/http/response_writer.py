"""The response half of an inbound connection: complete responses, flows, and how a connection ends."""

from collections.abc import Iterable

from shedgrade.buffers.flow import Flow, nothing
from shedgrade.http.message_grammar import REASON_PHRASES
from shedgrade.http.request_parser import InboundFront, RequestParser
from shedgrade.http.socket_state import reset, unread_in_kernel, unsent_bytes
from shedgrade.in_flight import ActiveRequest, Answer
from shedgrade.runtime.log import logger


class ResponseWriter(RequestParser):
    """Is told the end of the request in hand, by `completed`, `exhausted` or `errored`, and writes the
    response.

    Attributes:
        active_request: the request in hand; None between two, and from the response on unless that is a flow.
        response_flow: the flow of a long response, while that is being written.
        responding: a long response has begun, and `completed` was not called for its end.
        chunked: a long response is written in chunks.
        lingering: all is answered and sending has ended, but not all has been taken by the client's kernel.
        request_method: the method of the request in hand; b"" of what is none.
        http_1_0: its client speaks HTTP/1.0.
        bytes_written: all bytes that were written.
    """

    def __init__(self, front: InboundFront) -> None:
        self.active_request: ActiveRequest | None = None
        self.response_flow: Flow | None = None
        self.chunked = False
        self.responding = False
        self.lingering = False
        self.request_method = b""
        self.http_1_0 = False
        self.bytes_written = 0
        super().__init__(front)

    def completed(self, answer: Answer | None) -> None:
        """The final response; the end of a long one, None if it broke off."""
        if self.response_flow is None and not self.responding:
            assert answer is not None  # only a response that has begun can break off
            self.answer(answer.status, answer.headers, answer.body, answer.length)
            return
        self.active_request = None
        self.responding = False
        self.front.used(self)
        if self.transport.is_closing():
            return
        if answer is None:
            logger.info("response cut, upstream broke off")
            self.break_off()
        elif self.response_flow is None and not self.flushing:
            self.response_sent()

    def flowing(self, answer: Answer) -> None:
        """A long response has begun."""
        self.response_flow = answer.flow
        self.responding = True
        self.response_flow.news = self.write_flow
        self.chunked = answer.length is None and not self.http_1_0
        if self.request_method == b"HEAD":
            self.response_flow.discard()
        self.note_progress(self.bytes_written, self.front.loop.time())
        if answer.length is None and self.http_1_0:
            self.closing = True
        if self.chunked:
            framing = b"Transfer-Encoding: chunked"
        else:
            framing = b"" if answer.length is None else b"Content-Length: %d" % answer.length
        if self.write(self.response_head(answer.status, answer.headers, framing)):
            self.write_flow()

    def write_flow(self) -> None:
        """Writes what has come of a long response, as far as the kernel takes it."""
        flow = self.response_flow
        while flow is not None and not self.flushing and not self.transport.is_closing():
            if flow.broken:
                self.break_off()
                return
            piece = flow.take()
            if piece:
                self.write(*((b"%x\r\n" % len(piece), piece, b"\r\n") if self.chunked else (piece,)))
            elif flow.ended:
                flow.news = nothing
                self.response_flow = None
                if (not self.chunked or self.write(b"0\r\n\r\n")) and not self.responding:
                    self.response_sent()
                return
            else:
                return

    def flushed(self) -> None:
        """The kernel has all that was written."""
        if self.response_flow is not None:
            self.write_flow()
        else:
            self.response_sent()

    def response_sent(self) -> None:
        """A response is out. A connection that ends there first lets the rest of a long request come: closing
        would reset it, and its client might not read the response."""
        if (
            self.closing
            and self.active_request is None
            and self.request_flow is None
            and self.response_flow is None
        ):
            self.finish()
        else:
            self.read()

    def finish(self) -> None:
        """Nothing more is answered here: closes in order.

        Guards against a close that resets: on bytes that are unread, or that come later, it would throw away
        what the client's kernel has not taken of the response. Then only the sending ends at first (a
        lingering close, RFC 9112, section 9.6).
        """
        if self.transport.is_closing():
            return
        if self.lingering or not (unsent_bytes(self.transport) or unread_in_kernel(self.transport)):
            self.transport.close()
        else:
            self.lingering = True
            self.parsed_requests.clear()
            self.used(len(self.incoming))
            self.transport.write_eof()

    def break_off(self) -> None:
        """Ends the connection so that its client sees that a response is not complete."""
        reset(self.transport)

    def exhausted(self, wait: int) -> None:
        """Rejects the request in hand, which did not run: a retry is harmless, after `wait` tenths of a ms if
        that is not 0."""
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait / 10_000))] if wait else [])

    def errored(self) -> None:
        """The request in hand failed, and may have run."""
        self.answer(502)

    def reject_and_close(self, status: int) -> None:
        """Answers what can't be used, which ends its connection too: the next one costs its client a new
        one.
        """
        self.closing = True
        self.answer(status)

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        length: int | None = None,
    ) -> None:
        """Writes a complete response. `length`: of the body that a response to HEAD does not bring."""
        self.active_request = None
        if self.request_flow is not None:
            # It is answered before it is complete: the rest is read, as its client may send it first.
            self.request_flow.discard()
            self.closing = True
        self.front.used(self)
        if self.transport.is_closing():
            return
        self.note_progress(self.bytes_written, self.front.loop.time())
        length = len(body) if length is None else length
        framing = b"" if status in (204, 304) else b"Content-Length: %d" % length
        if self.request_method == b"HEAD":
            body = b""
            framing = framing if length else b""
        if self.write(self.response_head(status, headers, framing), body):
            if self.request_flow is not None:
                self.response_sent()
            else:
                self.flushed()

    def response_head(self, status: int, headers: Iterable[tuple[bytes, bytes]], framing: bytes) -> bytes:
        """The bytes before the body. `framing`: the header that states how the body ends, or b""."""
        self.waiting_since = self.front.loop.time()
        # Guards requests that came early: what has been sent here was taken, though it is unread.
        if (self.front.draining() or self.front.crowded()) and not (
            self.parsed_requests or self.request_begun or self.incoming or unread_in_kernel(self.transport)
        ):
            self.closing = True
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"OK"))]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self.closing:
            lines.append(b"Connection: close\r\n")
        elif self.http_1_0:
            lines.append(b"Connection: keep-alive\r\n")
        lines.append(framing + b"\r\n\r\n" if framing else b"\r\n")
        return b"".join(lines)

    def write(self, *pieces: bytes) -> bool:
        """As any connection's; counts what is written."""
        self.bytes_written += sum(map(len, pieces))
        return super().write(*pieces)
