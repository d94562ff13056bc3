"""The link between the two processes of a hot restart, and how they find each other.

The older process listens at a Unix socket in `$TMPDIR`; the newer one connects there before it listens for
clients. Messages are lines of JSON; the clients' listening socket comes with the first one (SCM_RIGHTS).
What is not sound is not used: one warning, and the process goes on as if it were alone. The keys of the
messages are fixed, as the other process may be of another build.
"""

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic
from typing import Any, NamedTuple

import orjson
from loguru import logger

VERSION = 1
ANSWER_TIMEOUT_S = 0.5  # within which the older process answers, or the newer one starts without it
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # tens of thousands of upstreams
READ_BYTES = 256 * 1024  # at once
MAX_DESCRIPTORS = 4  # that may come with one read
BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group of a Unix socket's other end

Message = dict[str, Any]  # one line of JSON


class HotRestartError(Exception):
    """Why there is nothing to take over, in a few words."""


@dataclass(frozen=True)
class HandoverState:
    """What an older process hands over.

    `disabled`: ids of upstreams that operators took out. `standing_by`: an operator's drain is in force.
    `descriptors`: the most that the older process still opens. `endpoint_list`: as discovery sends it, None
    if there was none. `learned`: by the balancer, as it stands on disk, None if there is nothing.
    """

    disabled: list[str]
    standing_by: bool
    descriptors: int
    endpoint_list: dict[str, Any] | None
    learned: dict[str, Any] | None

    @classmethod
    def from_message(cls, message: Message) -> "HandoverState":
        """HotRestartError if a key is missing or has the wrong form."""
        try:
            disabled, standing_by = message["outs"], message["standing_by"]
            descriptors = message["holds"]
            state = cls(disabled, standing_by, descriptors, message["list"], message["learnt"])
        except KeyError as missing:
            raise HotRestartError(f"{missing} is missing") from missing
        if not (type(disabled) is list and all(type(name) is str for name in disabled)):
            raise HotRestartError("outs is no list of ids")
        if type(standing_by) is not bool:
            raise HotRestartError("standing_by is not true or false")
        if type(descriptors) is not int or descriptors < 0:
            raise HotRestartError("holds is no count")
        return state

    def to_message(self) -> Message:
        """The message with its kind and version."""
        return {
            "v": VERSION,
            "what": "state",
            "outs": self.disabled,
            "standing_by": self.standing_by,
            "holds": self.descriptors,
            "list": self.endpoint_list,
            "learnt": self.learned,
        }


def handover_path(listen: tuple[str, int]) -> str | None:
    """Where the two processes of a sidecar meet; None where they share no folder."""
    folder = os.environ.get("TMPDIR")
    return os.path.join(folder, f"shedgrade-{listen[0]}-{listen[1]}.sock") if folder else None


class ShortPath:
    """A name for a path, however long it is: the name of a Unix socket ends after 107 bytes."""

    def __init__(self, path: str) -> None:
        self.folder = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
        self.name = f"/proc/self/fd/{self.folder}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        """The name, valid until the exit."""
        return self.name

    def __exit__(self, *_: object) -> None:
        """Closes the folder."""
        os.close(self.folder)


class HandoverLink:
    """One connection between the two processes: whole messages in, whole messages out.

    Attributes:
        on_message: told each message, with the descriptors that came with it.
        on_close: told once that the link has ended.
        received, unsent: bytes of messages that are not whole yet, or not yet taken by the kernel.
        descriptors: those that came and were handed to nobody yet.
        awaits_writable: the loop watches for the socket to become writable.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, connection: socket.socket) -> None:
        self.loop = loop
        self.socket = connection
        self.on_message: Callable[[Message, list[int]], None] = lambda message, descriptors: None
        self.on_close: Callable[[], None] = lambda: None
        self.received = bytearray()
        self.unsent = bytearray()
        self.descriptors: list[int] = []
        self.awaits_writable = False

    # --- receiving

    def follow(self, on_message: Callable[[Message, list[int]], None], on_close: Callable[[], None]) -> None:
        """From now on the loop reads, and both are called."""
        self.on_message = on_message
        self.on_close = on_close
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self.read)
        self.dispatch()  # what came right behind the first message

    def read(self) -> None:
        """The socket is readable."""
        try:
            data, descriptors, _, _ = socket.recv_fds(self.socket, READ_BYTES, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            data, descriptors = b"", []
        self.descriptors += descriptors
        self.received += data
        if not data or len(self.received) > MAX_MESSAGE_BYTES:
            self.close()
        else:
            self.dispatch()

    def dispatch(self) -> None:
        """Hands over the messages that are whole; the link is closed at the first that is of no use."""
        try:
            for message in self.messages():
                descriptors, self.descriptors = self.descriptors, []
                self.on_message(message, descriptors)
        except (HotRestartError, KeyError, TypeError, ValueError) as error:
            logger.warning("hot restart message rejected, link closed", error=repr(error))
            self.close()

    def messages(self) -> Iterator[Message]:
        """Takes whole messages out of what was received. HotRestartError or ValueError for what is none."""
        while (end := self.received.find(b"\n")) >= 0:
            message = orjson.loads(bytes(self.received[:end]))
            del self.received[: end + 1]
            if type(message) is not dict:
                raise HotRestartError("no object")
            yield message

    def wait_for_first(self) -> tuple[Message, list[int]]:
        """Waits for one message, while nothing else is to be done here. HotRestartError if none comes."""
        end = monotonic() + ANSWER_TIMEOUT_S
        while True:
            for message in self.messages():
                descriptors, self.descriptors = self.descriptors, []
                return message, descriptors
            self.socket.settimeout(max(0.001, end - monotonic()))
            try:
                data, descriptors, _, _ = socket.recv_fds(self.socket, READ_BYTES, MAX_DESCRIPTORS)
            except OSError as failure:
                raise HotRestartError("no answer") from failure
            self.descriptors += descriptors
            self.received += data
            if not data or len(self.received) > MAX_MESSAGE_BYTES:
                raise HotRestartError("the message ends early")

    # --- sending

    def send(self, message: Message, descriptor: int | None = None) -> None:
        """Sends a message as soon as the kernel takes it; the descriptor goes with its first byte."""
        if self.socket.fileno() < 0:
            return
        data = orjson.dumps(message) + b"\n"
        if descriptor is not None and not self.unsent:
            try:
                sent = socket.send_fds(self.socket, [data], [descriptor])
            except OSError:
                self.close()
                return
            data = data[sent:]
        self.unsent += data
        self.write()

    def write(self) -> None:
        """Writes what the kernel takes; the rest once the socket is writable."""
        try:
            while self.unsent:
                del self.unsent[: self.socket.send(self.unsent)]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if bool(self.unsent) != self.awaits_writable:
            self.awaits_writable = bool(self.unsent)
            if self.awaits_writable:
                self.loop.add_writer(self.socket, self.write)
            else:
                self.loop.remove_writer(self.socket)

    def close(self) -> None:
        """Ends the link, once."""
        if self.socket.fileno() < 0:
            return
        self.loop.remove_reader(self.socket)
        self.loop.remove_writer(self.socket)
        self.socket.close()
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors = []
        self.on_close()


class Handover(NamedTuple):
    """What the newer process got of the older one."""

    link: HandoverLink
    state: HandoverState
    listening_socket: socket.socket


def connect_to_older(loop: asyncio.AbstractEventLoop, path: str) -> Handover | None:
    """The link to the older process, its state and its listening socket; None if there is none.

    HotRestartError if there is one whose answer is of no use.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(ANSWER_TIMEOUT_S)
    try:
        with ShortPath(path) as name:
            connection.connect(name)
    except TimeoutError as late:
        connection.close()
        raise HotRestartError("it does not answer") from late
    except OSError:  # nobody was there, or nobody is any more
        connection.close()
        return None
    link = HandoverLink(loop, connection)
    descriptors: list[int] = []
    try:
        connection.sendall(orjson.dumps({"v": VERSION, "what": "hello"}) + b"\n")
        message, descriptors = link.wait_for_first()
        if message.get("v") != VERSION or message.get("what") != "state":
            raise HotRestartError("it is of another build")
        if len(descriptors) != 1:
            raise HotRestartError("no listening socket came with it")
        state = HandoverState.from_message(message)
        return Handover(link, state, socket.socket(fileno=descriptors.pop()))
    except (OSError, ValueError, HotRestartError) as error:
        link.close()
        for descriptor in descriptors:
            os.close(descriptor)
        raise HotRestartError(str(error)) from error


class HandoverListener:
    """Where the next process finds this one. It takes the place of whoever listened there before, at once
    and whole."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, on_link: Callable[[HandoverLink], None]
    ) -> None:
        """OSError if the folder can't be written."""
        self.loop = loop
        self.path = path
        self.on_link = on_link
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with ShortPath(f"{path}.{os.getpid()}") as temporary:
                if os.path.exists(temporary):
                    os.unlink(temporary)
                self.socket.bind(temporary)
                os.chmod(temporary, 0o600)
                self.socket.listen(BACKLOG)
                os.rename(temporary, os.path.join(os.path.dirname(temporary), os.path.basename(path)))
                self.inode = os.stat(path).st_ino
        except OSError:
            self.socket.close()
            raise
        self.socket.setblocking(False)
        loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        """Takes one connection, of this very user only."""
        try:
            connection, _ = self.socket.accept()
        except OSError:
            return
        credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, user, _ = PEER_CREDENTIALS.unpack(credentials)
        if user != os.getuid():
            connection.close()
            return
        self.on_link(HandoverLink(self.loop, connection))

    def close(self) -> None:
        """Listens no more; the path goes unless another process has taken it."""
        self.loop.remove_reader(self.socket)
        self.socket.close()
        try:
            if os.stat(self.path).st_ino == self.inode:
                os.unlink(self.path)
        except OSError:
            pass
