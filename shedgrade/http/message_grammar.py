"""The parts of HTTP/1.1 that requests and responses share (RFC 9110, RFC 9112)."""

from collections.abc import Iterable

import httptools

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    202: b"Accepted",
    204: b"No Content",
    206: b"Partial Content",
    304: b"Not Modified",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
# Headers that apply to one connection, or that each side writes itself (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that identify a request: they are forwarded even if `Connection` names them.
ALWAYS_FORWARDED_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-timeout-ms",
        b"x-retried",
        b"x-attrs",
        b"x-tenant-id",
        b"host",
        b"attempt-id",
        b"time-remaining",
    )
)
OPTIONAL_WHITESPACE = b" \t"  # may surround the value of a header, and is not part of it


class ResponseError(Exception):
    """The response of an upstream is invalid."""


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers to forward: all but those that apply to one connection, by name or by `Connection`.

    Guards against a `Connection` header that names headers which identify the request: they are forwarded.
    """
    lowered = [(name, value, name.lower()) for name, value in headers]
    connection_options = {
        token.strip().lower()
        for _, value, lower in lowered
        if lower == b"connection"
        for token in value.split(b",")
    } - ALWAYS_FORWARDED_HEADERS
    return [
        (name, value)
        for name, value, lower in lowered
        if lower not in HOP_BY_HOP_HEADERS and lower not in connection_options
    ]


def content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Returns the body length that a head states, or None."""
    return next((int(value) for name, value in headers if name.lower() == b"content-length"), None)


def origin_form(target: bytes) -> bytes:
    """Returns the path and query of a target in absolute form, as sent to proxies (RFC 9112, section 3.2).

    Returns any other target as it is.
    """
    if target.startswith(b"/") or b"://" not in target:
        return target
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        return target
    return (url.path or b"/") + (b"?" + url.query if url.query is not None else b"")
