"""Parsing and formatting of addresses "ip:port"."""


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of "ip:port"; raises ValueError if `address` has another form."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address ip:port: {address!r}")
    return host, int(port)


def format_address(host_port: tuple[str, int]) -> str:
    """Returns "ip:port" of an IPv4 socket's address."""
    return f"{host_port[0]}:{host_port[1]}"
