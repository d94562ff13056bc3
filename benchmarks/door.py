"""Measures requests lost when one of two processes on a port stops listening: `python benchmarks/door.py`.

Clients connect, send a request and read the answer, as fast as they can. The old process accepts connections
every 5 ms, like a busy event loop, and closes its listening socket after 0.5 s. Prints a line for each way of
closing it.
"""

import multiprocessing
import socket
import struct
import sys
import time
from ctypes import addressof, create_string_buffer

CLIENTS, ROUNDS = 6, 8
SO_ATTACH_REUSEPORT_CBPF = 51
WAYS = (
    "closed without draining",
    "queue drained",
    "steered to the new process, queue drained",
    "socket handed over",
)


def open_listener(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(1024)
    listener.setblocking(False)
    return listener


def steer_connections(listener: socket.socket, place: int) -> None:
    """Sends all new connections to socket `place` of the SO_REUSEPORT group, by a one-instruction filter."""
    code = create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, place))
    program = struct.pack("HL", 1, addressof(code))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def answer_pending(listener: socket.socket) -> None:
    while True:
        try:
            one, _ = listener.accept()
        except BlockingIOError:
            return
        one.setblocking(True)
        one.recv(10)
        one.sendall(b"y")
        one.close()


def serve(listener: socket.socket, other: socket.socket, until: float, drains: bool) -> None:
    other.close()  # the socket stays open as long as any process has a copy
    while time.monotonic() < until:
        answer_pending(listener)
        time.sleep(0.005)
    if drains:
        answer_pending(listener)
    listener.close()


def run_client(port: int, sockets: tuple, until: float, lost, asked) -> None:
    for one in sockets:
        one.close()
    while time.monotonic() < until:
        asked.value += 1
        try:
            with socket.create_connection(("127.0.0.1", port), 2) as one:
                one.sendall(b"x")
                if one.recv(1) != b"y":
                    lost.value += 1
        except OSError:
            lost.value += 1


def count_losses(way: str) -> tuple[int, int]:
    start = multiprocessing.get_context("fork").Process
    count, total = 0, 0
    for _ in range(ROUNDS):
        old = open_listener(0)
        port = old.getsockname()[1]
        new = old.dup() if way == "socket handed over" else open_listener(port)
        if way.startswith("steered"):
            steer_connections(new, 1)
        begin = time.monotonic()
        counts = [(multiprocessing.Value("i"), multiprocessing.Value("i")) for _ in range(CLIENTS)]
        children = [
            start(target=serve, args=(old, new, begin + 0.5, way != "closed without draining")),
            start(target=serve, args=(new, old, begin + 1.2, True)),
        ]
        children += [start(target=run_client, args=(port, (old, new), begin + 1.0, *pair)) for pair in counts]
        for child in children:
            child.start()
        old.close()
        new.close()
        for child in children:
            child.join()
        count += sum(lost.value for lost, _ in counts)
        total += sum(asked.value for _, asked in counts)
    return count, total


if __name__ == "__main__":
    for way in WAYS:
        lost, asked = count_losses(way)
        print(f"{way}: {lost} of {asked} requests lost in {ROUNDS} upgrades")
    sys.exit(0)
