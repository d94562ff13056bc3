"""Socket operations that the transport does not offer: the kernel's view of a connection, and closing it."""

import asyncio
import fcntl
import select
import socket
import struct
import termios

NO_BYTES = b"\0\0\0\0"
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


def unread_in_kernel(transport: asyncio.Transport) -> bool:
    """Whether bytes or an end of file are unread in the kernel; True if the transport is closing."""
    if transport.is_closing():
        return True
    descriptor = transport.get_extra_info("socket").fileno()
    return fcntl.ioctl(descriptor, termios.FIONREAD, NO_BYTES) != NO_BYTES


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of written bytes that the peer's kernel has not acknowledged."""
    descriptor = transport.get_extra_info("socket").fileno()
    in_kernel = int.from_bytes(fcntl.ioctl(descriptor, termios.TIOCOUTQ, NO_BYTES), "little")
    return in_kernel + transport.get_write_buffer_size()


def hangup_poll(transport: asyncio.Transport) -> select.poll:
    """Returns a poll object that reports a FIN or reset of the peer, even if it is unread in the kernel."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return poll


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection at once with a reset, so that the peer sees that its data is incomplete."""
    handle = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    except OSError:  # the socket is closed already
        pass
    finally:
        handle.detach()
    transport.abort()


def shut_down(transport: asyncio.Transport) -> None:
    """Closes a connection at once, in both directions.

    Guards against two concurrent transmissions of a request, and against bytes that are still sent after a
    stop: uvloop closes the socket only in its next pass, after writes that this pass makes elsewhere.
    """
    if transport.is_closing():
        return
    handle = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:  # the socket is closed already
        pass
    finally:
        handle.detach()
    transport.abort()
