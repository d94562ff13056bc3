"""One connection to an upstream: a transmission goes out, and its answer comes back."""

import select
from typing import TYPE_CHECKING

import httptools

from shedgrade import load_balancing
from shedgrade.buffers.flow import PRESSED, SMALL, Flow, nothing
from shedgrade.http.connection import (
    BLANKS,
    LONGEST_BODY,
    LONGEST_HEAD,
    Connection,
    MessageError,
    declared,
    passed_on,
)
from shedgrade.in_flight import Answer, Transmission

if TYPE_CHECKING:
    from shedgrade.http.caller import Caller


class UpstreamConnection(Connection):
    """One connection to an upstream; carries one transmission at a time."""

    def __init__(self, caller: "Caller", upstream: int, address: tuple[str, int]) -> None:
        super().__init__(caller.budget)
        self.caller, self.upstream, self.address = caller, upstream, address
        self.parser = httptools.HttpResponseParser(self)
        self.transmission: Transmission | None = None
        self.whole = False  # the request's last byte has left this process
        self.lost = False
        self.proven = False  # an answer has come on it: what the first request pays is paid
        self.orphan_until = 0  # its transmission was given up; until when the answer, for nobody, may come
        self.sending: Flow | None = None  # what is still to come of a long request
        self.coming: Flow | None = None  # where a long answer goes
        self.ended_sending = self.failed = False
        self.feeding = self.resuming = False
        self.counted = 0  # bytes of an answer that is kept here, in the budget
        self.answered_at = 0  # when the head of an answer was here
        self.heard_at = 0  # when bytes last came, or could not as nobody took them
        self.clear()

    def clear(self) -> None:
        self.count(-self.counted)
        self.headers, self.body, self.length, self.status, self.said = [], [], 0, 0, None
        self.head_left = LONGEST_HEAD  # bytes that may still come before the head of the answer ends
        self.raw = 0  # bytes that came behind that head
        self.complete = self.lasting = self.framed = self.bodiless = False
        self.answer: Answer | None = None  # the head of a long one

    def count(self, more: int) -> None:
        self.counted += more
        self.caller.budget.bytes += more

    def begin(self, transmission: Transmission, now: int) -> None:
        self.transmission, transmission.link = transmission, self
        transmission.first_on_connection = not self.proven
        self.clear()
        request, self.bodiless = (
            transmission.active_request.request,
            transmission.active_request.request.verb == b"HEAD",
        )
        # What is still coming has its whole time from its last byte on.
        wait = (
            transmission.active_request.timeout_ms
            if transmission.active_request.is_body_incomplete
            else (transmission.expires_at - now) // 10
        )
        lines = [b"%s %s HTTP/1.1\r\n" % (request.verb, request.target)]
        lines += [b"%s: %s\r\n" % pair for pair in request.headers]
        lines += self.caller.protocol.lines(transmission, max(1, wait))
        if request.flow is not None:
            lines.append(
                b"Transfer-Encoding: chunked\r\n"
                if request.length is None
                else b"Content-Length: %d\r\n" % request.length
            )
            self.whole, self.sending = False, request.flow
            self.sending.news = self.pump
            if not self.sending.rewind():
                self.cut()
            elif self.write(b"".join(lines), b"\r\n"):
                self.pump()
            return
        if request.body or request.verb not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        self.whole = self.write(b"".join(lines), b"\r\n", request.body)

    def may_have_run(self) -> bool:
        """The upstream may have all of the request: its last byte has left this process."""
        return self.whole

    def flushed(self) -> None:
        if self.sending is not None:
            self.pump()
        else:
            self.whole = True

    def pump(self) -> None:
        """Writes what has come of a long request, as far as the kernel takes it."""
        flow = self.sending
        chunked = self.transmission is not None and self.transmission.active_request.request.length is None
        while flow is not None and flow is self.sending and not self.flushing:
            if flow.broken or flow.discarding or self.transmission is None:
                self.cut()
                return
            piece = flow.take()
            if piece:
                self.write(*((b"%x\r\n" % len(piece), piece, b"\r\n") if chunked else (piece,)))
            elif flow.ended:
                self.sending, flow.news = None, nothing
                self.whole = self.write(b"0\r\n\r\n") if chunked else True
            else:
                return

    def alive(self) -> bool:
        """Nothing has come in meanwhile, not even the end: what is sent now goes to an open connection."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def connection_lost(self, failure: Exception | None) -> None:
        self.lost, self.failed = True, failure is not None
        self.caller.closed(self)
        self.take_rest()
        # Only bytes that never left prove that it never ran; once the last may have left, a reset doesn't.
        self.end(load_balancing.DROPPED if self.may_have_run() else load_balancing.BROKEN)
        self.clear()
        self.give_back()
        self.parser = None  # holds on to this connection, which would wait for the collector

    def eof_received(self) -> bool:
        """Its end of sending: what is here already comes first, if its client has not taken it all."""
        if self.coming is not None and self.incoming:
            self.ended_sending = True
            return True
        self.take_rest()
        return False

    def take_rest(self) -> None:
        """No more will come: what waits here is read whatever room there is, and may end an answer that says
        no length of its own."""
        if self.transmission is None or self.parser is None:
            return
        if self.incoming and not self.complete:
            self.feed(True)
        ended = self.status and not self.framed and not self.failed
        if self.transmission is not None and not self.complete and ended:
            self.complete, self.lasting = True, False
            self.finish()

    def moved(self) -> int:
        """When something last moved of a long answer, or waited for its client."""
        if self.reading_paused or (self.coming is not None and self.coming.full()):
            self.heard_at = self.caller.clock.now()
        return self.heard_at

    def end(self, outcome: int, answer: Answer | None = None) -> None:
        transmission, self.transmission = self.transmission, None
        self.let_go(outcome == load_balancing.COMPLETED)
        if transmission is not None:
            self.caller.dispatcher.attempt_finished(transmission, outcome, answer)

    def let_go(self, whole: bool) -> None:
        """What went through here has ended, or ends short."""
        if self.sending is not None:
            self.sending.news, self.sending = nothing, None
        if self.coming is not None:
            flow, self.coming = self.coming, None
            flow.room = nothing
            (flow.end if whole else flow.break_off)()

    def abort(self) -> None:
        """Closes at once; an outcome that is still to come reaches nobody."""
        self.transmission = None
        self.let_go(False)
        self.cut()

    # --- reading

    def read(self) -> None:
        self.heard_at = self.caller.clock.now()
        self.feed(False)
        if self.ended_sending and not self.incoming and not self.complete:
            self.take_rest()
            self.cut()

    def feed(self, all_of_it: bool) -> None:
        """Reads on while whoever takes a long answer has room for more."""
        if self.feeding:
            return
        self.feeding = True
        while self.incoming and (all_of_it or self.coming is None or not self.coming.full()):
            part = self.incoming.parts()[0]
            try:
                if (self.transmission is None and not self.orphan_until) or self.complete:
                    raise MessageError("bytes that nobody asked for")
                if self.status:
                    self.raw += len(part)
                else:
                    self.head_left -= len(part)
                self.parser.feed_data(part)
                # Guards against a head, or trailers, without end: the parser would gather them until memory
                # is gone.
                if self.head_left < 0 and not self.status:
                    raise MessageError("head too long")
                if self.raw > LONGEST_HEAD + 64 * self.length:
                    raise MessageError("more framing than body")
                self.lengthen()
            except (httptools.HttpParserError, MessageError):
                # A broken answer is an error after which the RPC may have run. What comes behind a whole
                # one leaves the answer as it is, but the connection is of no further use.
                if not self.complete:
                    self.end(load_balancing.FAILED)
                    self.cut()
                    self.incoming.consume(len(self.incoming))
                    break
                self.cut()
                self.incoming.consume(len(self.incoming))
                break
            self.used(len(part))
        self.feeding = False
        if self.complete:
            self.finish()

    def lengthen(self) -> None:
        """An answer that is longer than is kept, or than there is room for, goes on to its client."""
        if self.complete or self.coming is not None or not self.length or not self.status:
            return
        if max(self.length, self.said or 0) > SMALL or (
            self.length > PRESSED and self.caller.budget.pressed()
        ):
            self.pass_on()

    def in_time(self) -> bool:
        """Its time is up. True if it is long, or may be, and has begun: that was in time, and it goes on."""
        if self.coming is not None:
            return True  # it has just gone on, and the turn that is to hear of it is this one
        if (
            self.transmission is None
            or self.complete
            or (self.status // 100 != 2 or self.sending is not None or not self.whole)
        ):
            return False
        if self.said is not None and self.said <= SMALL:
            return False
        self.pass_on()
        return True

    def pass_on(self) -> None:
        if self.status // 100 != 2 or self.transmission is None or self.sending is not None:
            raise MessageError("long, and for nobody")
        budget, body, self.body = self.caller.budget, self.body, []
        self.count(-self.counted)
        self.coming = Flow(budget, body)
        self.coming.let_go()
        self.coming.room = self.resume
        self.answer = Answer(passed_on(self.headers), b"", self.status, self.coming, self.said)
        self.caller.dispatcher.response_started(self.transmission, self.answer, self.answered_at)

    def resume(self) -> None:
        """There is room again where a long answer goes. Not from within the taking, which may go on."""
        if not self.resuming and self.incoming:
            self.resuming = True
            self.caller.loop.call_soon(self.go_on)

    def go_on(self) -> None:
        self.resuming = False
        if self.parser is not None and self.incoming:
            self.read()

    def on_message_begin(self) -> None:
        # Guards against a second copy behind an answer: its body would be added to the first one's.
        if self.complete:
            raise MessageError("two answers")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.status:  # what trails a body is not the head's
            return
        value = value.strip(BLANKS)
        self.headers.append((name, value))
        self.length += len(name) + len(value)
        if self.length > LONGEST_HEAD:
            raise MessageError("head too long")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:  # announces the answer, which follows
            if status == 101:
                raise MessageError("nothing else is spoken here")
            self.headers = []
            return
        self.status, self.length, self.said = status, 0, declared(self.headers)
        self.answered_at = self.caller.clock.now()
        self.framed = self.said is not None or any(
            name.lower() == b"transfer-encoding" for name, _ in self.headers
        )
        if self.bodiless:
            # An answer to HEAD says the length of a body that does not follow; the parser would wait for it.
            self.complete, self.lasting = True, False
        elif self.said is not None and self.said > LONGEST_BODY:
            raise MessageError("body too long")

    def on_body(self, body: bytes) -> None:
        if self.bodiless:
            return
        self.length += len(body)
        if self.length > LONGEST_BODY:
            raise MessageError("body too long")
        if self.coming is not None:
            self.coming.put(body)
        else:
            self.body.append(body)
            self.count(len(body))

    def on_message_complete(self) -> None:
        if self.status:
            self.complete, self.lasting = True, self.parser.should_keep_alive()

    def finish(self) -> None:
        """A whole answer is here."""
        keep = self.whole and self.lasting and not (self.transport.is_closing() or self.ended_sending)
        if (self.status // 100 == 2 or self.status == 304) and self.sending is None:
            outcome, answer = (
                load_balancing.COMPLETED,
                self.answer
                or Answer(
                    passed_on(self.headers),
                    b"".join(self.body),
                    self.status,
                    length=self.said if self.bodiless else None,
                ),
            )
        else:
            away = self.caller.protocol.turned_away(self.status, self.headers)
            outcome, answer = load_balancing.REJECTED if away else load_balancing.FAILED, None
        self.caller.heard[self.upstream] = self.caller.clock.now()
        if self.caller.counted_by is not None:
            for name, value in self.headers:
                if name.lower() == self.caller.counts_in:
                    self.caller.counted_by(self.upstream, value)
        self.proven, self.orphan_until = True, 0
        self.caller.orphans.discard(self)
        self.count(-self.counted)
        if keep:
            self.caller.keep(self)
        else:
            self.cut()
        self.end(outcome, answer)
