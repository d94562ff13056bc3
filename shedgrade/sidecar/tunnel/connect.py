"""HTTP CONNECT (RFC 9110, 9.3.6; RFC 9112), server and client side, without I/O; the interface is that of
`socks`.

Heads are parsed strictly: a head that two parsers could read differently is refused.
"""

import base64
import binascii
import re
from collections.abc import Callable

from shedgrade.sidecar.tunnel.destinations import Destination, DestinationError, authority

MAX_HEAD_BYTES = 16 * 1024  # a CONNECT request needs far fewer
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
END_OF_HEAD = b"\r\n\r\n"
STATUSES = {
    400: b"Bad Request",
    403: b"Forbidden",
    405: b"Method Not Allowed",
    407: b"Proxy Authentication Required",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    508: b"Loop Detected",
}
# Statuses by which a proxy says that the upstream can't be reached, so that no request was executed there.
UNREACHABLE_STATUSES = (502, 503, 504)


class HeadError(ValueError):
    """An invalid head; the argument is the HTTP status to answer with."""


def parse_fields(lines: list[bytes]) -> list[tuple[bytes, bytes]]:
    """Parses header fields; names are lower-cased. HeadError for folded lines, whitespace before the colon
    and control characters."""
    found = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name):
            raise HeadError(400)
        value = value.strip(b" \t")
        if any((byte < 32 and byte != 9) or byte == 127 for byte in value):
            raise HeadError(400)
        found.append((name.lower(), value))
    return found


class HeadReader:
    """Buffers bytes up to the end of a head; `rest` holds the bytes after it."""

    def __init__(self) -> None:
        self.buffer, self.out, self.rest = bytearray(), bytearray(), b""

    def read_head(self, data: bytes) -> list[bytes] | None:
        """Adds data. Returns the head's lines once it is complete, else None. HeadError if it is too long or
        has a bare CR or LF."""
        start = max(0, len(self.buffer) - 3)
        self.buffer += data
        end = self.buffer.find(END_OF_HEAD, start)
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise HeadError(431)
            return None
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        self.rest = bytes(self.buffer[end + 4 :])
        self.buffer = bytearray()
        if any(b"\n" in line or b"\r" in line for line in lines):
            raise HeadError(400)
        return lines

    def take_out(self) -> bytes:
        """Returns the bytes to send and forgets them."""
        out, self.out = bytes(self.out), bytearray()
        return out


def response(status: int, *more: bytes) -> bytes:
    """A response without a body that closes the connection. `more`: further header lines."""
    first = b"HTTP/1.1 %d %s" % (status, STATUSES[status])
    return b"\r\n".join([first, *more, b"Content-Length: 0", b"Connection: close"]) + END_OF_HEAD


class Accepting(HeadReader):
    """The server side of a handshake, with the attributes of `socks.Accepting`."""

    def __init__(
        self, check_credentials: Callable[[str, str], bool] | None = None, via_name: str = ""
    ) -> None:
        """`check_credentials`: checks user and password; without it no login is required. `via_name`: this
        side's name in `Via`; a request that already carries it is in a loop and is refused."""
        super().__init__()
        self.check_credentials, self.via_name = check_credentials, via_name.encode()
        self.destination: Destination | None = None
        self.failed, self.user = "", ""

    def receive(self, data: bytes) -> None:
        """Takes bytes from the client; sets `destination`, or `failed` after queuing an error response."""
        if self.failed:
            return
        if self.destination is not None:
            self.rest += data
            return
        try:
            lines = self.read_head(data)
            if lines is not None:
                self.handle_head(lines)
        except HeadError as error:
            status = error.args[0]
            self.failed, self.rest = f"status {status}", b""
            self.out += response(
                status,
                *{405: (b"Allow: CONNECT",), 407: (b'Proxy-Authenticate: Basic realm="shedgrade"',)}.get(
                    status, ()
                ),
            )

    def handle_head(self, lines: list[bytes]) -> None:
        """Validates the request and sets `destination`. HeadError with the status to answer."""
        parts = lines[0].split(b" ")
        if len(parts) != 3 or parts[2] not in (b"HTTP/1.1", b"HTTP/1.0") or not TOKEN.match(parts[0]):
            raise HeadError(400)
        if parts[0] != b"CONNECT":
            raise HeadError(405)
        headers = parse_fields(lines[1:])
        hosts = [value for name, value in headers if name == b"host"]
        if len(hosts) > 1 or (not hosts and parts[2] == b"HTTP/1.1"):
            raise HeadError(400)
        # A CONNECT has no body; a request that announces one could be framed differently by the next hop.
        if any(
            name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
            for name, value in headers
        ):
            raise HeadError(400)
        if self.via_name and any(
            name == b"via" and self.via_name in value.split() for name, value in headers
        ):
            raise HeadError(508)
        if self.check_credentials is not None:
            self.check_login([value for name, value in headers if name == b"proxy-authorization"])
        try:
            self.destination = authority(parts[1].decode("ascii"))
        except (DestinationError, UnicodeDecodeError) as error:
            raise HeadError(400) from error

    def check_login(self, values: list[bytes]) -> None:
        """Checks the values of Proxy-Authorization and sets `user`. HeadError 407 if they are not
        accepted."""
        if len(values) != 1:
            raise HeadError(407)
        scheme, _, text = values[0].partition(b" ")
        try:
            user, colon, password = base64.b64decode(text.strip(), validate=True).decode().partition(":")
        except (binascii.Error, UnicodeDecodeError) as error:
            raise HeadError(407) from error
        if scheme.lower() != b"basic" or not colon or not self.check_credentials(user, password):
            raise HeadError(407)
        self.user = user

    def granted(self) -> bytes:
        """The response that opens the tunnel."""
        return b"HTTP/1.1 200 Connection established\r\n\r\n"

    def refused(self, reason: str, wait: int = 0) -> bytes:
        """The refusal. `reason`: route, exhausted, errored or unreachable; `wait`: tenths of a millisecond
        after which to retry, or 0."""
        status = {"route": 403, "exhausted": 503, "unreachable": 504}.get(reason, 502)
        return response(status, *((b"Retry-After: %.3f" % (wait / 10_000),) if wait else ()))


class Dialling(HeadReader):
    """The client side of a handshake, with the attributes of `socks.Dialling`."""

    def __init__(self, target: Destination, login: tuple[str, str] | None = None, via_name: str = "") -> None:
        super().__init__()
        self.done = self.unreachable = False
        self.failed = ""
        address = str(target).encode()
        lines = [b"CONNECT %s HTTP/1.1" % address, b"Host: %s" % address]
        if login:
            lines.append(b"Proxy-Authorization: Basic " + base64.b64encode(":".join(login).encode()))
        if via_name:
            lines.append(b"Via: 1.1 " + via_name.encode())
        self.out += b"\r\n".join(lines) + END_OF_HEAD

    def receive(self, data: bytes) -> None:
        """Takes bytes from the proxy; sets `done` or `failed`."""
        if self.failed:
            return
        if self.done:
            self.rest += data
            return
        try:
            lines = self.read_head(data)
            while lines is not None and self.is_interim(lines):
                data, self.rest = self.rest, b""
                lines = self.read_head(data)
            if lines is not None:
                self.handle_head(lines)
        except HeadError:
            self.failed, self.rest = "the proxy's answer is invalid", b""

    @staticmethod
    def status(line: bytes) -> int:
        """The status code of a status line. HeadError if it is not one of HTTP/1."""
        parts = line.split(b" ", 2)
        if (
            len(parts) < 2
            or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0")
            or len(parts[1]) != 3
            or (not parts[1].isdigit())
        ):
            raise HeadError(400)
        return int(parts[1])

    def is_interim(self, lines: list[bytes]) -> bool:
        """Whether this is a 1xx response, which the final one follows."""
        return self.status(lines[0]) < 200

    def handle_head(self, lines: list[bytes]) -> None:
        """Sets `done` for a 2xx response, otherwise `failed` and `unreachable`."""
        status = self.status(lines[0])
        parse_fields(lines[1:])
        # Content-Length and Transfer-Encoding in a 2xx to CONNECT are ignored (RFC 9110).
        if 200 <= status < 300:
            self.done = True
        else:
            self.failed, self.unreachable, self.rest = (
                f"the proxy: status {status}",
                status in UNREACHABLE_STATUSES,
                b"",
            )
