"""SOCKS5 (RFC 1928) with user and password (RFC 1929), server and client side, without I/O.

Each side takes bytes as they arrive (`receive`) and returns the bytes to send (`take_out`). The result does
not depend on how the stream is split; bytes after the handshake are kept in `rest`.
"""

import ipaddress
from collections.abc import Callable

from shedgrade.sidecar.tunnel.destinations import Destination, DestinationError, destination

VERSION, AUTH_VERSION = 5, 1
NO_AUTHENTICATION, USERNAME_PASSWORD, NO_ACCEPTABLE_METHOD = 0x00, 0x02, 0xFF
CONNECT = 1
IPV4, DOMAIN_NAME, IPV6 = 1, 3, 4
(
    SUCCEEDED,
    GENERAL_FAILURE,
    NOT_ALLOWED,
    NETWORK_UNREACHABLE,
    HOST_UNREACHABLE,
    CONNECTION_REFUSED,
    TTL_EXPIRED,
    COMMAND_NOT_SUPPORTED,
    ADDRESS_TYPE_NOT_SUPPORTED,
) = range(9)
# The bound address of a reply (reserved byte, IPv4, 0.0.0.0:0): clients have no use for the real one.
UNSPECIFIED_ADDRESS = b"\x00\x01\x00\x00\x00\x00\x00\x00"
# Replies that say that the upstream was not reached, so that no request was executed there.
UNREACHABLE_REPLIES = {
    NETWORK_UNREACHABLE: "network unreachable",
    HOST_UNREACHABLE: "host unreachable",
    CONNECTION_REFUSED: "connection refused",
    TTL_EXPIRED: "TTL expired",
}
FAILURE_REPLIES = {
    GENERAL_FAILURE: "general failure",
    NOT_ALLOWED: "not allowed",
    COMMAND_NOT_SUPPORTED: "command not supported",
    ADDRESS_TYPE_NOT_SUPPORTED: "address type not supported",
}


def encode_destination(target: Destination) -> bytes:
    """Encodes a destination: address type, address and port."""
    if target.address:
        address = ipaddress.ip_address(target.host)
        return bytes([IPV4 if address.version == 4 else IPV6]) + address.packed + target.port.to_bytes(2)
    name = target.host.encode("ascii")
    return bytes([DOMAIN_NAME, len(name)]) + name + target.port.to_bytes(2)


class Accepting:
    """The server side of a handshake. `destination` is set once it is known, `failed` if the handshake
    failed."""

    def __init__(self, check_credentials: Callable[[str, str], bool] | None = None) -> None:
        """`check_credentials`: checks user and password; without it no login is required."""
        self.check_credentials, self.buffer, self.out = check_credentials, bytearray(), bytearray()
        self.destination: Destination | None = None
        self.failed, self.user, self.rest = "", "", b""
        self.step = self.read_greeting

    def receive(self, data: bytes) -> None:
        """Takes bytes from the client; sets `destination`, or `failed` after queuing the refusal."""
        if self.failed:
            return
        if self.destination is not None:
            self.rest += data
            return
        self.buffer += data
        while not self.failed and self.destination is None and self.step():
            pass

    def take_out(self) -> bytes:
        """Returns the bytes to send and forgets them."""
        out, self.out = bytes(self.out), bytearray()
        return out

    def consume(self, count: int) -> bytes:
        """Removes `count` bytes from the front of the buffer and returns them."""
        part = bytes(self.buffer[:count])
        del self.buffer[:count]
        return part

    def fail(self, reason: str, reply: bytes = b"") -> bool:
        """Ends the handshake with a reply. Returns False, as each step does to stop reading."""
        self.failed = reason
        self.out += reply
        return False

    # Each step returns whether it consumed its message, so that the next step may run.

    def read_greeting(self) -> bool:
        if self.buffer and self.buffer[0] != VERSION:
            return self.fail(f"version {self.buffer[0]}")
        if len(self.buffer) < 2 or len(self.buffer) < 2 + self.buffer[1]:
            return False
        methods = self.consume(2 + self.buffer[1])[2:]
        wanted = NO_AUTHENTICATION if self.check_credentials is None else USERNAME_PASSWORD
        if wanted not in methods:
            return self.fail("no acceptable authentication method", bytes([VERSION, NO_ACCEPTABLE_METHOD]))
        self.out += bytes([VERSION, wanted])
        self.step = self.read_request if self.check_credentials is None else self.read_login
        return True

    def read_login(self) -> bool:
        if self.buffer and self.buffer[0] != AUTH_VERSION:
            return self.fail(f"login version {self.buffer[0]}", bytes([AUTH_VERSION, 1]))
        if len(self.buffer) < 2 or len(self.buffer) < 3 + self.buffer[1]:
            return False
        user_length = self.buffer[1]
        if len(self.buffer) < 3 + user_length + self.buffer[2 + user_length]:
            return False
        part = self.consume(3 + user_length + self.buffer[2 + user_length])
        self.user = part[2 : 2 + user_length].decode("utf-8", "replace")
        if not self.check_credentials(self.user, part[3 + user_length :].decode("utf-8", "replace")):
            return self.fail("login refused", bytes([AUTH_VERSION, 1]))
        self.out += bytes([AUTH_VERSION, 0])
        self.step = self.read_request
        return True

    def read_request(self) -> bool:
        buffer = self.buffer
        if buffer and buffer[0] != VERSION:
            return self.fail(f"version {buffer[0]}", self.reply(GENERAL_FAILURE))
        if len(buffer) < 4:
            return False
        if buffer[1] != CONNECT:
            return self.fail(f"command {buffer[1]}", self.reply(COMMAND_NOT_SUPPORTED))
        if buffer[3] not in (IPV4, DOMAIN_NAME, IPV6):
            return self.fail(f"address type {buffer[3]}", self.reply(ADDRESS_TYPE_NOT_SUPPORTED))
        if buffer[3] == DOMAIN_NAME and len(buffer) < 5:
            return False
        size = {IPV4: 4, IPV6: 16}.get(buffer[3]) or 1 + buffer[4]
        if len(buffer) < 4 + size + 2:
            return False
        part = self.consume(4 + size + 2)
        port = int.from_bytes(part[-2:])
        try:
            host = (
                part[5:-2].decode("ascii")
                if part[3] == DOMAIN_NAME
                else str(ipaddress.ip_address(part[4:-2]))
            )
            self.destination = destination(host, port)
        except (DestinationError, UnicodeDecodeError) as error:
            return self.fail(f"destination: {error}", self.reply(GENERAL_FAILURE))
        self.rest = self.consume(len(self.buffer))
        return False

    @staticmethod
    def reply(code: int) -> bytes:
        """A reply to the request, with an unspecified bound address."""
        return bytes([VERSION, code]) + UNSPECIFIED_ADDRESS

    def granted(self) -> bytes:
        """The reply that opens the tunnel."""
        return self.reply(SUCCEEDED)

    def refused(self, reason: str, wait: int = 0) -> bytes:
        """The refusal. `reason`: route, exhausted, errored or unreachable."""
        return self.reply(
            {"route": NOT_ALLOWED, "unreachable": HOST_UNREACHABLE}.get(reason, GENERAL_FAILURE)
        )


class Dialling:
    """The client side of a handshake. `done` is set once the tunnel is open; otherwise `failed` is the
    reason, and `unreachable` says that it lies with the destination, not with the proxy."""

    def __init__(self, target: Destination, login: tuple[str, str] | None = None) -> None:
        self.target, self.login, self.buffer = target, login, bytearray()
        self.out = bytearray([VERSION, 1, USERNAME_PASSWORD if login else NO_AUTHENTICATION])
        self.done = self.unreachable = False
        self.failed, self.rest = "", b""
        self.step = self.read_method

    def receive(self, data: bytes) -> None:
        """Takes bytes from the proxy; sets `done` or `failed`."""
        if self.failed:
            return
        if self.done:
            self.rest += data
            return
        self.buffer += data
        while not self.failed and not self.done and self.step():
            pass

    take_out = Accepting.take_out
    consume = Accepting.consume

    def fail(self, reason: str, unreachable: bool = False) -> bool:
        """Ends the handshake. Returns False, as each step does to stop reading."""
        self.failed, self.unreachable = reason, unreachable
        return False

    def read_method(self) -> bool:
        if len(self.buffer) < 2:
            return False
        version, method = self.consume(2)
        if version != VERSION or method != (USERNAME_PASSWORD if self.login else NO_AUTHENTICATION):
            return self.fail(f"the proxy chose method {method} in version {version}")
        if self.login:
            user, password = (part.encode() for part in self.login)
            self.out += bytes([AUTH_VERSION, len(user)]) + user + bytes([len(password)]) + password
            self.step = self.read_login_reply
        else:
            self.send_request()
        return True

    def read_login_reply(self) -> bool:
        if len(self.buffer) < 2:
            return False
        if self.consume(2)[1] != 0:
            return self.fail("the proxy refused the login")
        self.send_request()
        return True

    def send_request(self) -> None:
        self.out += bytes([VERSION, CONNECT, 0]) + encode_destination(self.target)
        self.step = self.read_reply

    def read_reply(self) -> bool:
        buffer = self.buffer
        if buffer and buffer[0] != VERSION:
            return self.fail(f"the proxy answers in version {buffer[0]}")
        if len(buffer) < 4:
            return False
        if buffer[1] != SUCCEEDED:
            reason = UNREACHABLE_REPLIES.get(buffer[1]) or FAILURE_REPLIES.get(buffer[1], f"code {buffer[1]}")
            return self.fail(f"the proxy: {reason}", buffer[1] in UNREACHABLE_REPLIES)
        if buffer[3] == DOMAIN_NAME and len(buffer) < 5:
            return False
        size = {IPV4: 4, IPV6: 16}.get(buffer[3]) or (1 + buffer[4] if buffer[3] == DOMAIN_NAME else 0)
        if not size:
            return self.fail(f"the proxy answers with address type {buffer[3]}")
        if len(buffer) < 4 + size + 2:
            return False
        self.consume(4 + size + 2)
        self.rest, self.done = self.consume(len(self.buffer)), True
        return False
