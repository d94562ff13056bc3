"""A client's connection to a sidecar: parses answers strictly, records bytes that belong to no request."""

import asyncio
import contextlib
import re

import httptools

from shedgrade.lab.system import history
from shedgrade.lab.system.history import Try

TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
END = re.compile(rb"\r?\n\r?\n")


class ClientLink(asyncio.Protocol):
    """Carries one try at a time; `stray` collects descriptions of bytes that arrive while none waits."""

    def __init__(self, clock, stray: list[str]) -> None:
        self.clock, self.stray = clock, stray
        self.parser = httptools.HttpResponseParser(self)
        self.transport = None
        self.one: Try | None = None
        self.came = asyncio.Event()
        self.lost = self.over = self.last = False
        self.idle_until = float("inf")
        self.part = b""
        self.begun = False  # whether an answer has begun and is not complete
        self.headers: dict[str, str] = {}

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, failure: Exception | None) -> None:
        if self.one is not None and not self.over and self.one.status and failure is None:
            with contextlib.suppress(httptools.HttpParserError):
                self.parser.feed_data(b"")  # the end of an answer without a length
        self.lost = True
        self.came.set()

    def data_received(self, data: bytes) -> None:
        self.came.set()
        if self.one is None or self.over:
            self.strayed(data)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as wrong:
            self.one.unexpected_bytes = True
            self.stray.append(f"no answer came to {self.one.attempt}: {wrong}")
            self.transport.abort()

    def strayed(self, data: bytes) -> None:
        self.last = True
        if self.one is not None:
            self.one.unexpected_bytes = True
        self.stray.append(f"{data[:60]!r} came where no request waits")

    # --- an answer

    def on_message_begin(self) -> None:
        if self.over:
            self.strayed(b"a further answer")
        self.headers, self.begun = {}, True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        one, headers = self.one, self.headers
        status = self.parser.get_status_code()
        if self.over or status < 200:
            return
        one.status = status
        one.echoed_attempt, one.seal = headers.get("attempt-id", ""), headers.get("server-seal", "")
        one.encoding = headers.get("content-encoding", "")
        try:
            one.retry_after = float(headers["retry-after"])
        except (KeyError, ValueError):
            one.retry_after = None
        told = TIMEOUT.search(headers.get("keep-alive", ""))
        if told:
            self.idle_until = self.clock() + int(told[1])
        self.last = not self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        one = self.one
        if self.over:
            return
        if one.kind.streams and one.status == 200:
            self.events(one, self.part + body)
        else:
            one.body += body
            one.first_at = one.first_at or self.clock()

    def events(self, one: Try, text: bytes) -> None:
        whole, now = 0, self.clock()
        for end in END.finditer(text):
            lines = text[whole : end.start()].splitlines()
            fields = dict(line.split(b": ", 1) for line in lines if b": " in line)
            whole = end.end()
            number = fields.get(b"id", b"")
            one.events.append(
                (
                    int(number) if number.isdigit() else -1,
                    fields.get(b"data", b"").split(b" ")[0].decode("latin-1"),
                    now,
                )
            )
            one.first_at = one.first_at or now
        self.part = text[whole:]

    def on_message_complete(self) -> None:
        if self.one.status < 200:
            return
        self.begun, self.over = False, True
        self.one.whole = True
        self.one.first_at = self.one.first_at or self.clock()

    # --- calls of the client

    async def exchange(self, one: Try, request: bytes, until: float, silence: float) -> None:
        """Sends a request, waits for its answer and fills in `one`.

        Gives up at the time `until`, or after `silence` seconds without data.
        """
        self.one, self.part, self.over = one, b"", False
        if self.lost or self.transport.is_closing():
            one.failure = history.CLOSED
            return
        self.transport.write(request)
        while not self.over and not self.lost:
            self.came.clear()
            left = until - self.clock()
            try:
                async with asyncio.timeout(max(0.0, min(left, silence))):
                    await self.came.wait()
            except TimeoutError:
                one.failure = history.GIVEN_UP if left <= silence else history.SILENT
                self.transport.abort()
                return
        if not self.over:
            one.failure = history.CLOSED

    def usable(self, now: float) -> bool:
        """Returns whether another request may be sent; not if the idle time-out ends within 0.5 s."""
        return (
            self.over
            and not (self.lost or self.last or self.transport.is_closing())
            and (now < self.idle_until - 0.5)
        )

    def close(self) -> None:
        if self.transport is not None and not self.lost:
            self.transport.close()
