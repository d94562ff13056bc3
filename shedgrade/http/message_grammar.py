"""What HTTP/1.1 says of requests and responses, whoever speaks it (RFC 9110, RFC 9112)."""

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
# Headers that belong to one connection, or that each side writes anew (RFC 9110, section 7.6.1).
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
# Headers by which a request is known: they are forwarded whatever `Connection` names.
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
OPTIONAL_WHITESPACE = b" \t"  # may stand round a header's value, and belongs to nobody


class ResponseError(Exception):
    """An upstream's response that can't be accepted."""


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """What is forwarded to the other side: all but what belongs to a connection, by its name or as
    `Connection` says.

    Guards against a `Connection` that names what a request is known by: that is forwarded all the same.
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
    """The length of the body that a head states; None if it states none."""
    return next((int(value) for name, value in headers if name.lower() == b"content-length"), None)


def origin_form(target: bytes) -> bytes:
    """The path and query of a target in absolute form, which proxies are sent (RFC 9112, section 3.2)."""
    if target.startswith(b"/") or b"://" not in target:
        return target
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        return target
    return (url.path or b"/") + (b"?" + url.query if url.query is not None else b"")
