"""Requests and replies of the control HTTP server, as its handlers see them."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from shedgrade.findings import Finding

JSON = b"application/json"

Headers = tuple[tuple[bytes, bytes], ...]  # names and values


def never() -> bool:
    """For a request that has no connection."""
    return False


@dataclass(slots=True)
class Request:
    """A complete request.

    `path`: as it was written, without the query; `query`: decoded, the last value of a name; `headers`: names
    in lower case, values of one name joined by commas; `arrived_after`: the time of the server's `earliest`
    clock before which nothing of it had come; `caller_gone()`: whether its client has closed the connection,
    or only its own direction, as far as the kernel knows.
    """

    method: bytes
    path: bytes
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    arrived_after: float | None = None
    caller_gone: Callable[[], bool] = never


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer. `headers`: beside those of the framing and of the content's type."""

    status: int
    body: bytes = b""
    headers: Headers = ()
    content_type: bytes = JSON


Respond = Callable[[Reply], None]  # answers a request; only the first call counts
Handler = Callable[[Request, Respond], None]  # called once for each complete request; responds now or later


def failure(status: int, *findings: Finding, headers: Headers = ()) -> Reply:
    """A reply whose body is `{"findings": [{"place", "text"}]}`."""
    return Reply(status, msgspec.json.encode({"findings": findings}), headers)


def rejection(status: int, text: str) -> Reply:
    """The reply to a request that can't be read; its connection ends with it."""
    return failure(status, Finding("request", text))
