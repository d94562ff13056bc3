"""The destination of a tunnel, without I/O: names and addresses are normalised, so that no other spelling
evades a route."""

import ipaddress
import re

from msgspec import Struct

LABEL = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?$")


class DestinationError(ValueError):
    """Text that is not a valid name, address or port."""


class Destination(Struct, frozen=True):
    """The destination of a tunnel.

    Attributes:
        host: a lower-case name without a trailing dot, or an address in its shortest form.
        port: the TCP port.
        address: whether `host` is an IP address.
    """

    host: str
    port: int
    address: bool = False

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def destination(host: str, port: int) -> Destination:
    """Normalises a destination. DestinationError if the host is neither a name nor an address.

    Guards against other spellings of the same destination: case, a trailing dot, zeros in an address, an
    IPv4-mapped IPv6 address. Incomplete numeric addresses (`127.1`, `0x7f.1`) are refused, because resolvers
    interpret them differently.
    """
    if not 0 < port < 65536:
        raise DestinationError(f"port {port} is out of range")
    text = host.strip("[]") if host.startswith("[") else host
    try:
        found = ipaddress.ip_address(text)
    except ValueError:
        pass
    else:
        mapped = getattr(found, "ipv4_mapped", None)
        if getattr(found, "scope_id", None):
            raise DestinationError("an address must not have a scope")
        return Destination(str(mapped or found), port, True)
    name = text.lower().removesuffix(".")
    labels = name.split(".")
    if not name or len(name) > 253 or not all(LABEL.match(label) for label in labels):
        raise DestinationError(f"{host[:80]!r} is not a valid name")
    if labels[-1].isdigit() or labels[-1].startswith("0x"):
        raise DestinationError(f"{host[:80]!r} is neither a name nor a complete address")
    return Destination(name, port)


def authority(text: str) -> Destination:
    """Parses the `host:port` of a CONNECT request; the port is required."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or len(port) > 5:
        raise DestinationError(f"{text[:80]!r} is not host:port")
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        raise DestinationError(f"{text[:80]!r}: an IPv6 address must be in brackets")
    return destination(host, int(port))
