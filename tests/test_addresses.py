"""Networks and ports of a test process: no other process is given the same ones."""

import socket
import subprocess
import sys
from pathlib import Path

import addresses

CLAIM = "import addresses, sys; print(addresses.NETWORK, flush=True); sys.stdin.read()"


def test_concurrent_processes_have_distinct_networks():
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


def test_a_claimed_network_is_skipped(monkeypatch):
    monkeypatch.setattr(addresses.os, "getpid", lambda: 4321)
    assert addresses.claim_network() != addresses.claim_network()


def test_ports_are_distinct_free_and_below_those_of_outgoing_connections():
    addresses_found = {addresses.free_address() for _ in range(100)}
    assert len(addresses_found) == 100 and {host for host, _ in addresses_found} == {addresses.HOST}
    first_outgoing = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert first_outgoing > addresses.LAST_PORT
    with socket.create_server(addresses_found.pop()), socket.create_server(addresses_found.pop()):
        pass


def test_a_port_in_use_is_skipped(monkeypatch):
    datagrams = socket.socket(type=socket.SOCK_DGRAM)
    with socket.create_server(addresses.free_address()) as tcp_socket, datagrams as udp_socket:
        udp_socket.bind(addresses.free_address())
        taken = [tcp_socket.getsockname()[1], udp_socket.getsockname()[1]]
        free = addresses.free_port()
        monkeypatch.setattr(addresses, "_ports", iter([*taken, free]))
        assert addresses.free_port() == free
