"""A connection to a service that answers with lists of upstreams: the sidecar's discovery, the operators'
platform.

It knows nothing of the decisions that a list is for, so that a core process does not load them.
"""

import asyncio

import httptools

from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import ResponseError

MAX_LIST_BYTES = 8 * 1024 * 1024  # bytes: tens of thousands of upstreams


class ListError(Exception):
    """An answer that is no list of upstreams."""


class DiscoveryConnection(Connection):
    """One connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.response: asyncio.Future | None = None
        self.heard: float | None = None  # when bytes of this answer last came, on the loop's clock

    def call(self, target: bytes, host: bytes, answered: asyncio.Future) -> None:
        """Sends a GET; `answered` gets (status, body), or an exception."""
        self.response, self.body, self.length, self.heard = answered, [], 0, None
        self.parser = httptools.HttpResponseParser(self)
        self.write(b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n" % (target, host))

    def read(self) -> None:
        """Bytes have come."""
        self.heard = asyncio.get_running_loop().time()
        for part in self.incoming.parts():
            try:
                if self.response is None:
                    raise ResponseError("bytes that nobody asked for")
                self.parser.feed_data(part)
            except (httptools.HttpParserError, ResponseError) as failure:
                self.fail(ListError(f"broken answer: {failure}"))
                self.transport.abort()
                break
        self.incoming.consume(len(self.incoming))

    def on_body(self, body: bytes) -> None:
        """A part of the body has come. ResponseError if the list is too long."""
        self.body.append(body)
        self.length += len(body)
        if self.length > MAX_LIST_BYTES:
            raise ResponseError("list too long")

    def on_message_complete(self) -> None:
        """The response is complete."""
        answered, self.response = self.response, None
        if not self.parser.should_keep_alive():
            self.transport.close()
        if answered is not None and not answered.done():
            answered.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def fail(self, failure: Exception) -> None:
        """The call that is pending has failed."""
        answered, self.response = self.response, None
        if answered is not None and not answered.done():
            answered.set_exception(failure)

    def connection_lost(self, failure: Exception | None) -> None:
        """The connection is closed."""
        self.fail(ConnectionError("connection lost"))
