"""A connection to a service that returns lists of upstreams: the sidecar's discovery or the operators'
platform.

The module imports nothing of load balancing, so that a core process does not load it.
"""

import asyncio

import httptools

from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import ResponseError

MAX_LIST_BYTES = 8 * 1024 * 1024  # enough for tens of thousands of upstreams


class ListError(Exception):
    """A response that is not a valid list of upstreams."""


class DiscoveryConnection(Connection):
    """A connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.response: asyncio.Future | None = None
        self.last_received_at: float | None = None  # loop time when bytes of this response last came

    def call(self, target: bytes, host: bytes, answered: asyncio.Future) -> None:
        """Sends a GET; sets the result of `answered` to (status, body), or its exception."""
        self.response, self.body, self.length, self.last_received_at = answered, [], 0, None
        self.parser = httptools.HttpResponseParser(self)
        self.write(b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n" % (target, host))

    def read(self) -> None:
        """Parses received bytes."""
        self.last_received_at = asyncio.get_running_loop().time()
        for part in self.incoming.parts():
            try:
                if self.response is None:
                    raise ResponseError("received bytes without a pending call")
                self.parser.feed_data(part)
            except (httptools.HttpParserError, ResponseError) as failure:
                self.fail(ListError(f"invalid response: {failure}"))
                self.transport.abort()
                break
        self.incoming.consume(len(self.incoming))

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a part of the body. Raises ResponseError if the list is too long."""
        self.body.append(body)
        self.length += len(body)
        if self.length > MAX_LIST_BYTES:
            raise ResponseError("list is too long")

    def on_message_complete(self) -> None:
        """Called by the parser: the response is complete."""
        answered, self.response = self.response, None
        if not self.parser.should_keep_alive():
            self.transport.close()
        if answered is not None and not answered.done():
            answered.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def fail(self, failure: Exception) -> None:
        """Fails the pending call."""
        answered, self.response = self.response, None
        if answered is not None and not answered.done():
            answered.set_exception(failure)

    def connection_lost(self, failure: Exception | None) -> None:
        """Called by the event loop."""
        self.fail(ConnectionError("connection lost"))
