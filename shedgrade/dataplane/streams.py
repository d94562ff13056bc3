"""A stream that may be taken up at another upstream within one answer."""

import re

from shedgrade.buffers.flow import Flow, nothing
from shedgrade.in_flight import Answer
from shedgrade.runtime.log import logger

END = re.compile(rb"\r?\n\r?\n")
ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
LONGEST = 1024 * 1024  # bytes of one event: more is no event


class ResumableStream:
    """The client of an exchange, for the turn: passes whole events on to the connection that asked, and when
    their upstream breaks off asks for the rest elsewhere, from the last event that went on.

    The answer keeps the head, and with it the seal, of its first upstream. Only whole events go on, so a
    piece never comes twice and none is joined from two runs.
    """

    def __init__(self, connection, budget, resume) -> None:
        """`resume(last_id)`: starts a further leg, or returns False if there is none."""
        self.connection, self.budget, self.resume = connection, budget, resume
        self.out: Flow | None = None
        self.source: Flow | None = None
        self.part = b""  # of an event that is not whole
        self.last_id: bytes | None = None
        self.ended = self.waking = False

    # --- what the turn tells

    def has_left(self) -> bool:
        """Whether the client has disconnected."""
        return self.connection.has_left()

    def close(self) -> None:
        """Closes the client's connection."""
        self.connection.close()

    def flowing(self, answer: Answer) -> None:
        """A response has begun: the first one, or that of a further leg."""
        first = self.out is None
        if first:
            self.out = Flow(self.budget, [])
            self.out.let_go()
            self.out.room = self.wake
        self.source, self.part = answer.flow, b""
        self.source.news = self.pull
        if first:
            self.connection.flowing(Answer(answer.headers, b"", answer.status, self.out))
        self.pull()

    def completed(self, answer: Answer | None) -> None:
        """The response of this leg is complete; None if it broke off: the rest is asked for elsewhere."""
        if self.out is None:
            self.connection.completed(answer)
        elif answer is not None:
            self.pull()
            self.connection.completed(answer)
        else:
            self.detach()
            if self.out.discarding or not self.resume(self.last_id):
                self.broke()

    def exhausted(self, wait: int) -> None:
        """No upstream takes this leg; `wait`: tenths of a ms after which a retry may succeed."""
        self.connection.exhausted(wait) if self.out is None else self.broke()

    def errored(self) -> None:
        """This leg has failed, and may have run."""
        self.connection.errored() if self.out is None else self.broke()

    # --- the events

    def pull(self) -> None:
        """Takes what has come, as far as the connection has room."""
        source = self.source
        while source is not None and source is self.source and not self.out.full():
            piece = source.take()
            if piece:
                self.events(piece)
            elif source.ended:
                self.detach()
                if self.part:
                    self.out.put(self.part)
                self.ended = True
                self.out.end()
            else:
                return

    def wake(self) -> None:
        """There is room again. Not from within the taking: what is taken there is not written yet."""
        if self.source is not None and not self.waking:
            self.waking = True
            self.connection.front.loop.call_soon(self.go_on)

    def go_on(self) -> None:
        """Takes further bytes."""
        self.waking = False
        self.pull()

    def events(self, piece: bytes) -> None:
        """Forwards complete events of a piece of the response."""
        text = self.part + piece
        whole = 0
        for end in END.finditer(text):
            found = ID.search(text, whole, end.start())
            if found:
                self.last_id = found[1].strip()
            whole = end.end()
        self.part = text[whole:]
        if whole:
            self.out.put(text[:whole])
        if len(self.part) > LONGEST:
            self.detach()
            self.broke()

    def detach(self) -> None:
        """Nothing more is taken of this leg's response."""
        if self.source is not None:
            self.source.news = nothing
            self.source = None

    def broke(self) -> None:
        """It is not whole, and its client is to see that."""
        if not self.ended:
            logger.info("stream truncated", last_event_id=self.last_id)
            self.ended = True
            self.out.break_off()
            self.connection.completed(None)
