"""What HTTP/1.1 says of requests and answers, whoever speaks it (RFC 9110, RFC 9112)."""

import httptools

REASONS = {
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


def relative(target: bytes) -> bytes:
    """The path and query of an absolute target: what proxies are sent."""
    if target.startswith(b"/") or b"://" not in target:
        return target
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        return target
    return (url.path or b"/") + (b"?" + url.query if url.query is not None else b"")
