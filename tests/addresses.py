"""Loopback addresses that only this test process uses.

A port that is found by binding to port 0 and closing the socket may be taken before the program under test
binds it, by another process that looks for a port or by an outgoing connection. So each test process claims
loopback networks of its own, with a socket that listens there until the process ends. It hands out their
ports one after another, from below the range that the kernel uses for outgoing connections.
"""

import itertools
import os
import socket

# 127.216.0.0 to 127.254.255.0; the lab and the demo use lower networks.
FIRST_NETWORK, NETWORKS = 216, 39 * 256
CLAIM_HOST, CLAIM_PORT = 253, 9999  # where the owner of a network listens
FIRST_PORT, LAST_PORT = 10_000, 29_999

_claims: list[socket.socket] = []
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))


def claim_network() -> str:
    """Claims a loopback network for this process until it ends; returns its first three octets, 127.A.B.

    Raises RuntimeError if all networks are claimed.
    """
    for attempt in range(NETWORKS):
        number = (os.getpid() + attempt) % NETWORKS
        network = f"127.{FIRST_NETWORK + number // 256}.{number % 256}"
        try:
            _claims.append(socket.create_server((f"{network}.{CLAIM_HOST}", CLAIM_PORT), backlog=1))
        except OSError:
            continue
        return network
    raise RuntimeError("all loopback networks for tests are claimed")


NETWORK = claim_network()
HOST = f"{NETWORK}.252"  # of single sidecars and stand-ins; lower host numbers are machines of a system


def free_address() -> tuple[str, int]:
    """Returns a host and a port that no process uses, neither for TCP nor for UDP."""
    return HOST, free_port()


def free_port() -> int:
    """Returns a free port of `HOST`. No port is handed out again before all others were.

    Raises RuntimeError if no port is free.
    """
    for port in itertools.islice(_ports, LAST_PORT + 1 - FIRST_PORT):
        if _is_free(port):
            return port
    raise RuntimeError(f"no port is free at {HOST}")


def _is_free(port: int) -> bool:
    """Returns whether no socket, such as one of an earlier test, is bound to the port."""
    try:
        with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((HOST, port))
    except OSError:
        return False
    return True


def host_port(address: tuple[str, int]) -> str:
    """Returns the address as `host:port`, the form of the settings."""
    return f"{address[0]}:{address[1]}"
