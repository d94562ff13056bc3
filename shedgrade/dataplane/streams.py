"""A stream that may be resumed at another upstream within one answer."""

import re

from shedgrade.buffers.flow import Flow, no_op
from shedgrade.in_flight import Answer
from shedgrade.runtime.log import logger

EVENT_SEPARATOR = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024  # bytes of one event; a longer one truncates the stream


class ResumableStream:
    """The client of an exchange as the dispatcher sees it: forwards complete events to the client connection.
    When an upstream breaks off, resumes the stream at another one, after the last forwarded event. A leg is
    the part of a stream that one upstream serves.

    The answer keeps the head of its first upstream, including the seal. Since only complete events are
    forwarded, no part of one is sent twice and no event is assembled from two runs.

    Attributes:
        output: the flow to the client connection; None until a response has begun.
        source: the flow of the current leg's response; None between two legs.
        partial_event: the received part of an incomplete event.
        last_id: the id of the last complete event; None until one had an id.
        ended: the answer has ended, complete or truncated.
        is_forwarding_scheduled: a call of `continue_forwarding` is scheduled.
    """

    def __init__(self, connection, budget, resume) -> None:
        """`resume(last_id)`: starts a leg at another upstream, after the event `last_id`; returns False if
        that is impossible."""
        self.connection, self.budget, self.resume = connection, budget, resume
        self.output: Flow | None = None
        self.source: Flow | None = None
        self.partial_event = b""
        self.last_id: bytes | None = None
        self.ended = self.is_forwarding_scheduled = False

    # --- called by the dispatcher

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self.connection.has_disconnected()

    def close(self) -> None:
        """Closes the client's connection."""
        self.connection.close()

    def response_flow_started(self, answer: Answer) -> None:
        """The response of the first leg or of a further one has begun."""
        first = self.output is None
        if first:
            self.output = Flow(self.budget, [])
            self.output.drop_replay()
            self.output.on_space = self.schedule_forwarding
        self.source, self.partial_event = answer.flow, b""
        self.source.on_data = self.forward_received
        if first:
            self.connection.response_flow_started(Answer(answer.headers, b"", answer.status, self.output))
        self.forward_received()

    def completed(self, answer: Answer | None) -> None:
        """The response of the current leg has ended. `answer`: None if the response broke off, in which case
        the rest is requested from another upstream."""
        if self.output is None:
            self.connection.completed(answer)
        elif answer is not None:
            self.forward_received()
            self.connection.completed(answer)
        else:
            self.detach()
            if self.output.discarding or not self.resume(self.last_id):
                self.truncate()

    def exhausted(self, wait: int) -> None:
        """No upstream accepts the current leg; `wait`: tenths of a ms after which a retry may succeed."""
        self.connection.exhausted(wait) if self.output is None else self.truncate()

    def errored(self) -> None:
        """The current leg has failed, and its upstream may have processed the request."""
        self.connection.errored() if self.output is None else self.truncate()

    def answer_failed(self) -> None:
        """Ends the answer after an exception in the handling of the current leg."""
        self.detach()
        if self.output is None or self.ended:
            self.connection.answer_failed()
        else:
            self.truncate()

    # --- forwarding of events

    def forward_received(self) -> None:
        """Forwards received bytes while the client connection has room."""
        source = self.source
        while source is not None and source is self.source and not self.output.full():
            piece = source.take()
            if piece:
                self.forward_events(piece)
            elif source.ended:
                self.detach()
                if self.partial_event:
                    self.output.put(self.partial_event)
                self.ended = True
                self.output.end()
            else:
                return

    def schedule_forwarding(self) -> None:
        """Schedules `continue_forwarding` when there is room again. A direct call could run within a take,
        whose bytes are not written yet."""
        if self.source is not None and not self.is_forwarding_scheduled:
            self.is_forwarding_scheduled = True
            self.connection.front.loop.call_soon(self.continue_forwarding)

    def continue_forwarding(self) -> None:
        """Forwards further received bytes, as scheduled."""
        self.is_forwarding_scheduled = False
        self.forward_received()

    def forward_events(self, piece: bytes) -> None:
        """Forwards the complete events of a piece of the response."""
        text = self.partial_event + piece
        complete_end = 0
        for end in EVENT_SEPARATOR.finditer(text):
            found = EVENT_ID.search(text, complete_end, end.start())
            if found:
                self.last_id = found[1].strip()
            complete_end = end.end()
        self.partial_event = text[complete_end:]
        if complete_end:
            self.output.put(text[:complete_end])
        if len(self.partial_event) > MAX_EVENT_BYTES:
            self.detach()
            self.truncate()

    def detach(self) -> None:
        """Stops reading the response of the current leg."""
        if self.source is not None:
            self.source.on_data = no_op
            self.source = None

    def truncate(self) -> None:
        """Ends an incomplete answer in such a way that the client notices."""
        if not self.ended:
            logger.info("stream truncated", last_event_id=self.last_id)
            self.ended = True
            self.output.break_off()
            self.connection.completed(None)
