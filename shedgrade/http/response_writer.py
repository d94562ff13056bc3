"""The response half of an inbound connection: complete responses, flows, and the end of the connection."""

from collections.abc import Iterable

from shedgrade.buffers.flow import Flow, no_op
from shedgrade.http.message_grammar import REASON_PHRASES
from shedgrade.http.request_parser import InboundFront, RequestParser
from shedgrade.http.socket_state import reset, unread_in_kernel, unsent_bytes
from shedgrade.in_flight import ActiveRequest, Answer
from shedgrade.runtime.log import logger


class ResponseWriter(RequestParser):
    """Writes responses. A long response is one whose body is forwarded while it is received.

    The dispatcher ends the current request by `completed`, `exhausted` or `errored`.

    Attributes:
        active_request: the current request; None between two. Reset when its response begins, unless that is
            a flow.
        response_flow: flow of a long response that is being written; None otherwise.
        responding: a long response has begun, and `completed` has not been called for its end.
        chunked: the long response is sent with chunked transfer coding.
        lingering: all responses are written and sending has ended, but the client's kernel has not
            acknowledged all bytes.
        response_due: a request was taken, and nothing of its response is written.
        request_method: method of the current request; b"" for an invalid one.
        http_1_0: the client speaks HTTP/1.0.
        bytes_written: all bytes that were written.
    """

    def __init__(self, front: InboundFront) -> None:
        self.active_request: ActiveRequest | None = None
        self.response_flow: Flow | None = None
        self.chunked = False
        self.responding = False
        self.lingering = False
        self.response_due = False
        self.request_method = b""
        self.http_1_0 = False
        self.bytes_written = 0
        super().__init__(front)

    def completed(self, answer: Answer | None) -> None:
        """Sends the final response; for a long one, reports its end. None: it broke off."""
        if self.response_flow is None and not self.responding:
            assert answer is not None  # only a response that has begun can break off
            self.answer(answer.status, answer.headers, answer.body, answer.length)
            return
        self.active_request = None
        self.responding = False
        self.front.response_sent_on(self)
        if self.transport.is_closing():
            return
        if answer is None:
            logger.info("response cut, upstream broke off")
            self.break_off()
        elif self.response_flow is None and not self.flushing:
            self.response_sent()

    def response_flow_started(self, answer: Answer) -> None:
        """Starts a long response."""
        self.response_flow = answer.flow
        self.responding = True
        self.response_flow.on_data = self.write_flow
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
        head = self.response_head(answer.status, answer.headers, framing)
        self.response_due = False
        if self.write(head):
            self.write_flow()

    def write_flow(self) -> None:
        """Writes the bytes of a long response that have come, until the kernel takes no more."""
        flow = self.response_flow
        while flow is not None and not self.flushing and not self.transport.is_closing():
            if flow.broken:
                self.break_off()
                return
            piece = flow.take()
            if piece:
                self.write(*((b"%x\r\n" % len(piece), piece, b"\r\n") if self.chunked else (piece,)))
            elif flow.ended:
                flow.on_data = no_op
                self.response_flow = None
                if (not self.chunked or self.write(b"0\r\n\r\n")) and not self.responding:
                    self.response_sent()
                return
            else:
                return

    def flushed(self) -> None:
        """Called when the kernel has all that was written."""
        if self.response_flow is not None:
            self.write_flow()
        else:
            self.response_sent()

    def response_sent(self) -> None:
        """Continues after a response was written.

        A connection that closes after it first reads the rest of a long request: closing earlier would reset
        it, and the client might not read the response.
        """
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
        """Closes the connection after the last response.

        Guards against a reset: on bytes that are unread or come later, closing would drop what the client's
        kernel has not taken of the response. In that case only the sending direction is closed at first (a
        lingering close, RFC 9112, section 9.6).
        """
        if self.transport.is_closing():
            return
        if self.lingering or not (unsent_bytes(self.transport) or unread_in_kernel(self.transport)):
            self.transport.close()
        else:
            self.lingering = True
            self.parsed_requests.clear()
            self.consume(len(self.incoming))
            self.transport.write_eof()

    def break_off(self) -> None:
        """Resets the connection, so that the client sees that a response is incomplete."""
        reset(self.transport)

    def exhausted(self, wait: int) -> None:
        """Rejects the current request, which did not run, so that a retry is harmless.

        `wait`: time before a retry, in tenths of a ms; 0 if unknown.
        """
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait / 10_000))] if wait else [])

    def errored(self) -> None:
        """Answers the current request, which failed and may have run."""
        self.answer(502)

    def answer_failed(self) -> None:
        """Ends the current request after an exception in its answer: with another answer if nothing of the
        first one was written. Otherwise the connection closes, and is reset if a long response has begun."""
        self.closing = True
        if self.response_due:
            self.drop_response_flow()
            self.answer(502)
        elif self.responding or self.response_flow is not None:
            self.break_off()
        else:
            self.transport.close()

    def drop_response_flow(self) -> None:
        """Discards a long response of which nothing was written."""
        self.responding = False
        if self.response_flow is not None:
            self.response_flow.on_data = no_op
            self.response_flow.discard()
            self.response_flow = None

    def reject_and_close(self, status: int) -> None:
        """Answers an unusable request and closes the connection, so that the next one costs the client a new
        connection.
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
        """Writes a complete response. `length`: body length for a response to HEAD, which has no body."""
        self.active_request = None
        if self.request_flow is not None:
            # The request is answered before it is complete. The rest is read, as the client may send it all
            # before it reads the response.
            self.request_flow.discard()
            self.closing = True
        self.front.response_sent_on(self)
        if self.transport.is_closing():
            return
        self.note_progress(self.bytes_written, self.front.loop.time())
        length = len(body) if length is None else length
        framing = b"" if status in (204, 304) else b"Content-Length: %d" % length
        if self.request_method == b"HEAD":
            body = b""
            framing = framing if length else b""
        head = self.response_head(status, headers, framing)
        self.response_due = False
        if self.write(head, body):
            if self.request_flow is not None:
                self.response_sent()
            else:
                self.flushed()

    def response_head(self, status: int, headers: Iterable[tuple[bytes, bytes]], framing: bytes) -> bytes:
        """Returns the bytes before the body. `framing`: the header that states the body's framing, or b""."""
        self.waiting_since = self.front.loop.time()
        # Guards requests that came early: the connection has taken them, even if they are unread.
        if (self.front.draining() or self.front.closes_after_response()) and not (
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
        """Writes as the base class does, and counts the bytes."""
        self.bytes_written += sum(map(len, pieces))
        return super().write(*pieces)
