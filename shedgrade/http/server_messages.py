"""Requests and replies of the control HTTP server, as used by its handlers."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from shedgrade.findings import Finding

JSON = b"application/json"

Headers = tuple[tuple[bytes, bytes], ...]  # names and values


def never() -> bool:
    """The default of `Request.client_disconnected`, for a request without a connection."""
    return False


@dataclass(slots=True)
class Request:
    """A complete request.

    Attributes:
        method: method, such as b"GET".
        path: path without the query, as it was sent.
        query: decoded parameters of the query; the last value of each name.
        headers: values by lower-case name; values of the same name are joined by commas.
        body: body, or b"".
        session: what `HttpServer.open_session` returned for the connection; None without that.
        client_disconnected: returns whether the client has closed the connection, or its sending direction,
            as far as the kernel knows.
    """

    method: bytes
    path: bytes
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    session: object = None
    client_disconnected: Callable[[], bool] = never


@dataclass(frozen=True, slots=True)
class Reply:
    """A response. `headers`: headers other than those for framing and content type."""

    status: int
    body: bytes = b""
    headers: Headers = ()
    content_type: bytes = JSON


Respond = Callable[[Reply], None]  # answers a request; calls after the first are ignored
Handler = Callable[[Request, Respond], None]  # called once for each complete request; responds now or later


def failure(status: int, *findings: Finding, headers: Headers = ()) -> Reply:
    """Returns a reply whose body is `{"findings": [{"place", "text"}]}`."""
    return Reply(status, msgspec.json.encode({"findings": findings}), headers)


def rejection(status: int, text: str) -> Reply:
    """Returns the reply to an invalid request, whose connection closes after it."""
    return failure(status, Finding("request", text))
