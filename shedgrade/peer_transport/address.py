"""Addresses as they are written: "ip:port"."""


def parse_address(address: str) -> tuple[str, int]:
    """The host and the port of "ip:port". ValueError if it is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {address!r}")
    return host, int(port)


def format_address(pair: tuple[str, int]) -> str:
    """The "ip:port" of a pair as IPv4 sockets give it."""
    return f"{pair[0]}:{pair[1]}"
