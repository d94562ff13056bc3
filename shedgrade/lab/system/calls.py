"""Sends short HTTP calls, each on a connection of its own, as operators and resolving clients do."""

import asyncio

import httptools

FAILURES = (OSError, EOFError, httptools.HttpParserError)  # includes TimeoutError, which is an OSError


class Answer:
    """Collects one response. `status` is 0 until its headers are complete."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    *,
    timeout: float = 1.0,
) -> Answer:
    """Sends a request and returns the complete response.

    Raises one of `FAILURES` if none arrives within `timeout` seconds.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body is not None:
                lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
            answer = Answer()
            while not answer.whole:
                data = await reader.read(65536)
                if not data:
                    raise EOFError(f"{address} closed the connection before the response was complete")
                answer.parser.feed_data(data)
            return answer
        finally:
            writer.close()
