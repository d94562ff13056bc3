"""Where a tunnel is asked to lead, without I/O: one spelling for each name, so that no other slips past a
route."""

import ipaddress
import re

from msgspec import Struct

LABEL = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?$")


class DestinationError(ValueError):
    """Not a name, address or port."""


class Destination(Struct, frozen=True):
    """`host`: a lower-case name without a trailing dot, or an address in its shortest form."""

    host: str
    port: int
    address: bool = False

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def destination(host: str, port: int) -> Destination:
    """DestinationError for what is neither a name nor an address.

    Guards against other spellings of the same place: case, a trailing dot, zeros in an address, an IPv4
    address in IPv6 dress. Numbers that are no address in full (`127.1`, `0x7f.1`) are refused: resolvers
    differ on them.
    """
    if not 0 < port < 65536:
        raise DestinationError(f"port {port}")
    text = host.strip("[]") if host.startswith("[") else host
    try:
        found = ipaddress.ip_address(text)
    except ValueError:
        pass
    else:
        mapped = getattr(found, "ipv4_mapped", None)
        if getattr(found, "scope_id", None):
            raise DestinationError("an address with a scope")
        return Destination(str(mapped or found), port, True)
    name = text.lower().removesuffix(".")
    labels = name.split(".")
    if not name or len(name) > 253 or not all(LABEL.match(label) for label in labels):
        raise DestinationError(f"name {host[:80]!r}")
    if labels[-1].isdigit() or labels[-1].startswith("0x"):
        raise DestinationError(f"{host[:80]!r} is neither a name nor a whole address")
    return Destination(name, port)


def authority(text: str) -> Destination:
    """`host:port` as CONNECT has it; the port must be there."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or len(port) > 5:
        raise DestinationError(f"{text[:80]!r} is not host:port")
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        raise DestinationError(f"{text[:80]!r}: an IPv6 address stands in brackets")
    return destination(host, int(port))
