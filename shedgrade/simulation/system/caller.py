"""Callers of the control plane's HTTP interface as the platform's pages describe them.

Source: PROTOCOL, "The operator's API". A caller picks a member from a list that lags, follows 307 twice, goes
on to another member after a failure, a 5xx, 408 or 429, or a second of silence, pauses for a growing time,
and sends a call that got no clear answer again as it was. Answers may be lost on their way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httptools

from shedgrade.simulation.system.history import Attempt, Call

SILENCE = 1.0  # s without an answer after which a caller goes on
PER_MEGABYTE = 2.0  # s more for each megabyte of a body
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0
REDIRECTS = 2
AGAIN = frozenset((408, 429))
FINAL = frozenset((400, 409, 412, 413, 422))
OTHER_TRIES = 3  # of any other 4xx


Member = tuple[str, str]  # a core member's name and IP


@dataclass(frozen=True, slots=True)
class Request:
    """`target`: the path; `version`: for If-Match, None: none is sent."""

    method: str
    target: str
    body: bytes = b""
    base: int | None = None

    def encoded(self, host: str) -> bytes:
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {host}",
            f"Content-Length: {len(self.body)}",
        ]
        if self.base is not None:
            lines.append(f"If-Match: {self.base}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    body: bytes
    location: str = ""


class ResponseReader(asyncio.Protocol):
    """Reads one answer into `answer`, a future."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.answer = loop.create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.pieces: list[bytes] = []
        self.location = ""
        self.on_data: Callable[[], None] = lambda: None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.on_data()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as wrong:
            self.fail(ConnectionError(f"no HTTP: {wrong}"))

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"location":
            self.location = value.decode()

    def on_body(self, body: bytes) -> None:
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        if not self.answer.done():
            self.answer.set_result(
                Response(self.parser.get_status_code(), b"".join(self.pieces), self.location)
            )

    def connection_lost(self, error: Exception | None) -> None:
        self.fail(error or ConnectionError("closed"))

    def fail(self, failure: Exception) -> None:
        if not self.answer.done():
            self.answer.set_exception(failure)


class Caller:
    """Carries out calls for one operator. `members()`: (name, ip) of the members in its list, and `port`."""

    def __init__(
        self,
        loop,
        name: str,
        members: Callable[[], list[Member]],
        port: int,
        random: Random,
        answers_lost: float = 0.0,
        silence_s: float = SILENCE,
    ) -> None:
        """`answers_lost`: the share of answers that never come."""
        self.loop, self.name, self.members, self.port = loop, name, members, port
        self.random, self.answers_lost, self.silence_s = random, answers_lost, silence_s

    async def call(
        self, call: Call, request: Request, until: float, first: Member | None = None
    ) -> Response | None:
        """Sends it until there is a clear answer, at the loop's time `until` at the latest."""
        pause, last, others = FIRST_PAUSE, None, 0
        while self.loop.time() < until:
            members = self.members()
            choices = [member for member in members if member != last] or members
            member, first = first or self.random.choice(choices), None
            response = await self.follow(call, request, member)
            if response is not None and not self.unclear(response.status):
                if response.status in FINAL or not 400 <= response.status < 500:
                    return response
                others += 1
                if others >= OTHER_TRIES:
                    return response
            last = member
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(1.6 * pause, LONGEST_PAUSE)
        return None

    @staticmethod
    def unclear(status: int) -> bool:
        return status >= 500 or status in AGAIN

    async def follow(self, call: Call, request: Request, member: Member) -> Response | None:
        name, ip = member
        port = self.port
        target = request
        for _ in range(1 + REDIRECTS):
            response = await self.attempt(call, target, name, ip, port)
            if response is None or response.status != 307:
                return response
            host, _, path = response.location.removeprefix("http://").partition("/")
            ip, _, number = host.partition(":")
            port = int(number or 80)
            name = next((known for known, address in self.members() if address == ip), ip)
            target = Request(request.method, "/" + path, request.body, request.base)
        return None

    async def attempt(self, call: Call, request: Request, name: str, ip: str, port: int) -> Response | None:
        """One try. None: failed, silent, or its answer was lost."""
        time = self.loop.virtual_time
        attempt = Attempt(name, time.now)
        call.attempts.append(attempt)
        silence = self.silence_s + PER_MEGABYTE * len(request.body) / 1e6
        transport = None
        try:
            async with asyncio.timeout(silence) as patience:
                transport, reader = await self.loop.create_connection(
                    lambda: ResponseReader(self.loop), ip, port
                )
                reader.on_data = lambda: patience.reschedule(self.loop.time() + self.silence_s)
                transport.write(request.encoded(ip))
                response = await reader.answer
                if self.random.random() < self.answers_lost:
                    attempt.failure = "answer lost"
                    if self.random.random() < 0.5:
                        await self.loop.create_future()  # it never comes
                    return None  # the connection ended instead
            attempt.status = response.status
            return response
        except OSError as failure:  # a TimeoutError too
            attempt.failure = attempt.failure or type(failure).__name__
            return None
        finally:
            attempt.ended = time.now
            if transport is not None:
                transport.close()
