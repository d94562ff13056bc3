"""Networks and ports of a test process: no other process is given the same ones."""

import socket
import subprocess
import sys
from pathlib import Path

import addresses

CLAIM = "import addresses, sys; print(addresses.NETWORK, flush=True); sys.stdin.read()"


def test_processes_at_once_have_networks_of_their_own():
    others = [
        subprocess.Popen(
            [sys.executable, "-c", CLAIM],
            cwd=Path(__file__).parent,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(3)
    ]
    try:
        networks = [other.stdout.readline().strip() for other in others]
        assert all(networks) and len({*networks, addresses.NETWORK, addresses.claim_network()}) == 5
    finally:
        for other in others:
            other.communicate()


def test_a_network_that_is_claimed_is_passed_over(monkeypatch):
    monkeypatch.setattr(addresses.os, "getpid", lambda: 4321)
    assert addresses.claim_network() != addresses.claim_network()


def test_ports_are_distinct_free_and_below_those_of_outgoing_connections():
    given = {addresses.free_address() for _ in range(100)}
    assert len(given) == 100 and {host for host, _ in given} == {addresses.HOST}
    first_outgoing = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert first_outgoing > addresses.LAST_PORT
    with socket.create_server(given.pop()), socket.create_server(given.pop()):
        pass


def test_a_port_that_something_still_uses_is_passed_over(monkeypatch):
    datagrams = socket.socket(type=socket.SOCK_DGRAM)
    with socket.create_server(addresses.free_address()) as left, datagrams as heard:
        heard.bind(addresses.free_address())
        taken = [left.getsockname()[1], heard.getsockname()[1]]
        free = addresses.free_port()
        monkeypatch.setattr(addresses, "_ports", iter([*taken, free]))
        assert addresses.free_port() == free
