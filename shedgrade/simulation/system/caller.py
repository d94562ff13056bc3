"""Callers of the control plane's HTTP interface, which behave as the platform's pages describe.

Source: PROTOCOL, "The operator's API". A caller picks a core member from a list that may be out of date and
follows up to two 307 redirects. After a failure, a 5xx, 408 or 429, or a second without data, it waits for an
exponential backoff and sends the same request to another member, until it gets a definite response. Responses
may be lost on their way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple

import httptools

from shedgrade.simulation.system.history import Attempt, Operation
from shedgrade.simulation.system.process_loop import ProcessLoop

ATTEMPT_TIMEOUT_S = 1.0  # time without received data after which an attempt fails
EXTRA_TIMEOUT_PER_MEGABYTE_S = 2.0  # added to the timeout for each megabyte of the request body
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 1.0
BACKOFF_FACTOR = 1.6
MAX_REDIRECTS = 2
TEMPORARY_REDIRECT = 307
RETRYABLE_STATUSES = frozenset((408, 429))  # all 5xx are retryable too
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
MAX_OTHER_REJECTIONS = 3  # responses with any other 4xx after which the call ends


class MemberAddress(NamedTuple):
    """A core member in an operator's list."""

    name: str
    ip: str


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        target: path and query.
        body: request body.
        base: configuration version sent in If-Match; None omits the header.
    """

    method: str
    target: str
    body: bytes = b""
    base: int | None = None

    def encoded(self, host: str) -> bytes:
        """Returns the request encoded as HTTP/1.1, with `host` in its Host header."""
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
    """A complete HTTP response. `location`: value of the Location header, or ""."""

    status: int
    body: bytes
    location: str = ""

    @property
    def is_retryable(self) -> bool:
        """Whether the response leaves open if the request was carried out, or asks for a retry."""
        return self.status >= 500 or self.status in RETRYABLE_STATUSES

    @property
    def is_final(self) -> bool:
        """Whether a retry would get the same response."""
        return self.status in FINAL_STATUSES or not 400 <= self.status < 500


class ResponseReader(asyncio.Protocol):
    """Reads one response into the future `answer`. `on_data` is called whenever data is received."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.answer: asyncio.Future[Response] = loop.create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.location = ""
        self.on_data: Callable[[], None] = lambda: None

    def data_received(self, data: bytes) -> None:
        """Parses received data; data that isn't HTTP fails the response with a ConnectionError."""
        self.on_data()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as failure:
            self.fail(ConnectionError(f"invalid HTTP response: {failure}"))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: keeps the Location header."""
        if name.lower() == b"location":
            self.location = value.decode()

    def on_body(self, body: bytes) -> None:
        """Parser callback: keeps a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        if not self.answer.done():
            self.answer.set_result(
                Response(self.parser.get_status_code(), b"".join(self.body), self.location)
            )

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the response if the connection ended before it was complete."""
        self.fail(error or ConnectionError("closed"))

    def fail(self, failure: Exception) -> None:
        """Sets `failure` as the outcome, unless there is an outcome already."""
        if not self.answer.done():
            self.answer.set_exception(failure)


class Caller:
    """Sends the requests of one operator.

    Attributes:
        loop: event loop that the caller runs on.
        name: name of the operator.
        members: returns the core members in the operator's list.
        port: port of the members' HTTP interface.
        random: source of the random choices.
        response_loss: probability that a response is lost.
        timeout_s: time without received data after which an attempt fails, seconds.
    """

    def __init__(
        self,
        loop: ProcessLoop,
        name: str,
        members: Callable[[], list[MemberAddress]],
        port: int,
        random: Random,
        response_loss: float = 0.0,
        timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        self.loop = loop
        self.name = name
        self.members = members
        self.port = port
        self.random = random
        self.response_loss = response_loss
        self.timeout_s = timeout_s

    async def call(
        self, operation: Operation, request: Request, until: float, first: MemberAddress | None = None
    ) -> Response | None:
        """Sends a request, with retries, until it gets a definite response.

        Returns None if there is none by the loop's time `until`, in seconds. `first` is the member of the
        first attempt; without it the member is chosen at random.
        """
        backoff = FIRST_BACKOFF_S
        last_member: MemberAddress | None = None
        rejections = 0
        while self.loop.time() < until:
            members = self.members()
            choices = [member for member in members if member != last_member] or members
            member, first = first or self.random.choice(choices), None
            response = await self.follow(operation, request, member)
            if response is not None and not response.is_retryable:
                if response.is_final:
                    return response
                rejections += 1
                if rejections >= MAX_OTHER_REJECTIONS:
                    return response
            last_member = member
            await asyncio.sleep(backoff * self.random.uniform(0.5, 1.0))
            backoff = min(BACKOFF_FACTOR * backoff, LONGEST_BACKOFF_S)
        return None

    async def follow(self, operation: Operation, request: Request, member: MemberAddress) -> Response | None:
        """Sends a request to a member and follows its redirects.

        Returns None if an attempt failed, or after more than MAX_REDIRECTS redirects.
        """
        name, ip = member
        port = self.port
        for _ in range(1 + MAX_REDIRECTS):
            response = await self.attempt(operation, request, name, ip, port)
            if response is None or response.status != TEMPORARY_REDIRECT:
                return response
            host, _, path = response.location.removeprefix("http://").partition("/")
            ip, _, number = host.partition(":")
            port = int(number or 80)
            name = next((known.name for known in self.members() if known.ip == ip), ip)
            request = replace(request, target="/" + path)
        return None

    async def attempt(
        self, operation: Operation, request: Request, name: str, ip: str, port: int
    ) -> Response | None:
        """Sends a request to one member once, and records the attempt in the operation.

        Returns None if it failed or timed out, or if the response was lost.
        """
        time = self.loop.virtual_time
        attempt = Attempt(name, time.now)
        operation.attempts.append(attempt)
        timeout = self.timeout_s + EXTRA_TIMEOUT_PER_MEGABYTE_S * len(request.body) / 1e6
        transport: asyncio.Transport | None = None
        try:
            async with asyncio.timeout(timeout) as deadline:
                transport, reader = await self.loop.create_connection(
                    lambda: ResponseReader(self.loop), ip, port
                )
                reader.on_data = lambda: deadline.reschedule(self.loop.time() + self.timeout_s)
                transport.write(request.encoded(ip))
                response: Response = await reader.answer
                if self.random.random() < self.response_loss:
                    attempt.failure = "answer lost"
                    if self.random.random() < 0.5:
                        await self.loop.create_future()  # never done, so the attempt times out
                    return None  # as if the connection had ended before the response
            attempt.status = response.status
            return response
        except OSError as failure:  # includes TimeoutError
            attempt.failure = attempt.failure or type(failure).__name__
            return None
        finally:
            attempt.completed_at = time.now
            if transport is not None:
                transport.close()
