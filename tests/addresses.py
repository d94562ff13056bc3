"""Loopback addresses of this test process alone.

A port that is drawn by binding to port 0 and closing again may be taken by anybody before the program under
test binds it: by another process that draws, or by any outgoing connection. So each test process claims
networks of its own, by a socket that listens there until the process ends, and hands out ports of them one
after another, below those that the kernel gives to outgoing connections.
"""

import itertools
import os
import socket

FIRST_NETWORK, NETWORKS = 216, 39 * 256  # 127.216.0.0 to 127.254.255.0; lab and demo use lower ones
CLAIM_HOST, CLAIM_PORT = 253, 9999  # where a process that uses a network listens
FIRST_PORT, LAST_PORT = 10_000, 29_999

_claims: list[socket.socket] = []
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))


def claim_network() -> str:
    """The first three numbers of a loopback network, 127.A.B, that is this process's until it ends."""
    for attempt in range(NETWORKS):
        number = (os.getpid() + attempt) % NETWORKS
        network = f"127.{FIRST_NETWORK + number // 256}.{number % 256}"
        try:
            _claims.append(socket.create_server((f"{network}.{CLAIM_HOST}", CLAIM_PORT), backlog=1))
        except OSError:
            continue
        return network
    raise RuntimeError("every loopback network for tests is claimed")


NETWORK = claim_network()
HOST = f"{NETWORK}.252"  # of single sidecars and stand-ins; numbers below are machines of a system


def free_address() -> tuple[str, int]:
    """Host and port that nobody uses, in this process or another, for TCP or UDP."""
    return HOST, free_port()


def free_port() -> int:
    """A port free at `HOST`, and not handed out before. None comes twice before all others did."""
    for port in itertools.islice(_ports, LAST_PORT + 1 - FIRST_PORT):
        if _is_free(port):
            return port
    raise RuntimeError(f"no port is free at {HOST}")


def _is_free(port: int) -> bool:
    """Whether nothing of an earlier test is left there."""
    try:
        with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((HOST, port))
    except OSError:
        return False
    return True


def host_port(address: tuple[str, int]) -> str:
    """`host:port`, as settings write it."""
    return f"{address[0]}:{address[1]}"
