"""What the kernel tells of a connection's socket, and how it is closed there, beside the event loop's
transport.
"""

import asyncio
import fcntl
import select
import socket
import struct
import termios

NO_BYTES = b"\0\0\0\0"
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


def unread_in_kernel(transport: asyncio.Transport) -> bool:
    """Whether bytes, or an end of file, wait in the kernel; True of a transport that is closing."""
    if transport.is_closing():
        return True
    descriptor = transport.get_extra_info("socket").fileno()
    return fcntl.ioctl(descriptor, termios.FIONREAD, NO_BYTES) != NO_BYTES


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Bytes written that the peer's kernel has not acknowledged."""
    descriptor = transport.get_extra_info("socket").fileno()
    in_kernel = int.from_bytes(fcntl.ioctl(descriptor, termios.TIOCOUTQ, NO_BYTES), "little")
    return in_kernel + transport.get_write_buffer_size()


def hangup_poll(transport: asyncio.Transport) -> select.poll:
    """A poll that is ready once the peer has ended its sending, or reset, be it unread in the kernel."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return poll


def reset(transport: asyncio.Transport) -> None:
    """Closes at once with a reset, so that the peer sees that what it was sent is not complete."""
    handle = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    except OSError:  # it is down already
        pass
    finally:
        handle.detach()
    transport.abort()


def shut_down(transport: asyncio.Transport) -> None:
    """Closes at once, in both directions.

    Guards against two transmissions out side by side, and against bytes that still leave after a stop: uvloop
    closes only in its next pass, after what this one writes elsewhere.
    """
    if transport.is_closing():
        return
    handle = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:  # it is down already
        pass
    finally:
        handle.detach()
    transport.abort()
