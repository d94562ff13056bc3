"""A client's connection to a sidecar: parses answers strictly, records bytes that belong to no request."""

import asyncio
import contextlib
import re

import httptools

from shedgrade.lab.system import history
from shedgrade.lab.system.history import Try

KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


class ClientConnection(asyncio.Protocol):
    """Carries one try at a time; `stray` collects descriptions of bytes that arrive while none waits."""

    def __init__(self, clock, stray: list[str]) -> None:
        self.clock, self.stray = clock, stray
        self.parser = httptools.HttpResponseParser(self)
        self.transport = None
        self.current_try: Try | None = None
        self.activity = asyncio.Event()
        self.disconnected = self.complete = self.must_close = False
        self.idle_until = float("inf")
        self.partial_event = b""
        self.answer_begun = False  # whether an answer has begun and is not complete
        self.headers: dict[str, str] = {}

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, failure: Exception | None) -> None:
        if self.current_try is not None and not self.complete and self.current_try.status and failure is None:
            with contextlib.suppress(httptools.HttpParserError):
                self.parser.feed_data(b"")  # the end of an answer without a length
        self.disconnected = True
        self.activity.set()

    def data_received(self, data: bytes) -> None:
        self.activity.set()
        if self.current_try is None or self.complete:
            self.record_stray(data)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.current_try.unexpected_bytes = True
            self.stray.append(f"no answer came to {self.current_try.attempt}: {error}")
            self.transport.abort()

    def record_stray(self, data: bytes) -> None:
        self.must_close = True
        if self.current_try is not None:
            self.current_try.unexpected_bytes = True
        self.stray.append(f"{data[:60]!r} came where no request waits")

    # --- an answer

    def on_message_begin(self) -> None:
        if self.complete:
            self.record_stray(b"a further answer")
        self.headers, self.answer_begun = {}, True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        current_try, headers = self.current_try, self.headers
        status = self.parser.get_status_code()
        if self.complete or status < 200:
            return
        current_try.status = status
        current_try.echoed_attempt, current_try.seal = (
            headers.get("attempt-id", ""),
            headers.get("server-seal", ""),
        )
        current_try.encoding = headers.get("content-encoding", "")
        try:
            current_try.retry_after = float(headers["retry-after"])
        except (KeyError, ValueError):
            current_try.retry_after = None
        keep_alive = KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        if keep_alive:
            self.idle_until = self.clock() + int(keep_alive[1])
        self.must_close = not self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        current_try = self.current_try
        if self.complete:
            return
        if current_try.kind.streams and current_try.status == 200:
            self.parse_events(current_try, self.partial_event + body)
        else:
            current_try.body += body
            current_try.first_at = current_try.first_at or self.clock()

    def parse_events(self, current_try: Try, text: bytes) -> None:
        consumed, now = 0, self.clock()
        for end in EVENT_END.finditer(text):
            lines = text[consumed : end.start()].splitlines()
            fields = dict(line.split(b": ", 1) for line in lines if b": " in line)
            consumed = end.end()
            number = fields.get(b"id", b"")
            current_try.events.append(
                (
                    int(number) if number.isdigit() else -1,
                    fields.get(b"data", b"").split(b" ")[0].decode("latin-1"),
                    now,
                )
            )
            current_try.first_at = current_try.first_at or now
        self.partial_event = text[consumed:]

    def on_message_complete(self) -> None:
        if self.current_try.status < 200:
            return
        self.answer_begun, self.complete = False, True
        self.current_try.whole = True
        self.current_try.first_at = self.current_try.first_at or self.clock()

    # --- calls of the client

    async def exchange(self, new_try: Try, request: bytes, deadline: float, silence: float) -> None:
        """Sends a request, waits for its answer and fills in `new_try`.

        Gives up at the time `deadline`, or after `silence` seconds without data.
        """
        self.current_try, self.partial_event, self.complete = new_try, b"", False
        if self.disconnected or self.transport.is_closing():
            new_try.failure = history.CLOSED
            return
        self.transport.write(request)
        while not self.complete and not self.disconnected:
            self.activity.clear()
            time_left = deadline - self.clock()
            try:
                async with asyncio.timeout(max(0.0, min(time_left, silence))):
                    await self.activity.wait()
            except TimeoutError:
                new_try.failure = history.GIVEN_UP if time_left <= silence else history.SILENT
                self.transport.abort()
                return
        if not self.complete:
            new_try.failure = history.CLOSED

    def usable(self, now: float) -> bool:
        """Returns whether another request may be sent; not if the idle time-out ends within 0.5 s."""
        return (
            self.complete
            and not (self.disconnected or self.must_close or self.transport.is_closing())
            and (now < self.idle_until - 0.5)
        )

    def close(self) -> None:
        if self.transport is not None and not self.disconnected:
            self.transport.close()
