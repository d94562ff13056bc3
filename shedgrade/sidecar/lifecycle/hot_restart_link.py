"""The link between the two processes of a hot restart, and how the newer one finds the older one.

The older process listens on a Unix socket in `$TMPDIR`; the newer one connects to it before it listens for
clients. Messages are lines of JSON; the clients' listening socket comes with the first one (SCM_RIGHTS).
Invalid input is discarded with one warning, and the process continues as if there were no other. The keys of
the messages are fixed, as the other process may be of another build.
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
ANSWER_TIMEOUT_S = 0.5  # for the older process to answer; after that the newer one starts without its state
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # enough for tens of thousands of upstreams
READ_BYTES = 256 * 1024  # per read
MAX_DESCRIPTORS = 4  # per read
BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid and gid of the other end of a Unix socket

Message = dict[str, Any]  # one line of JSON


class HotRestartError(Exception):
    """Why nothing can be taken over, or why a message is rejected."""


@dataclass(frozen=True)
class HandoverState:
    """The state that an older process hands over.

    Attributes:
        disabled: ids of the upstreams that operators disabled.
        standing_by: whether an operator has drained the sidecar (`Phase.STANDING_BY`).
        descriptors: the most file descriptors that the older process will have open from now on.
        endpoint_list: the endpoint list in the format of discovery; None if the older process has none.
        learned: what the balancer has learned, in the format of `learned_state_file`; None if nothing.
    """

    disabled: list[str]
    standing_by: bool
    descriptors: int
    endpoint_list: dict[str, Any] | None
    learned: dict[str, Any] | None

    @classmethod
    def from_message(cls, message: Message) -> "HandoverState":
        """Parses the message. Raises HotRestartError if a key is missing or has the wrong type."""
        try:
            disabled, standing_by = message["outs"], message["standing_by"]
            descriptors = message["holds"]
            state = cls(disabled, standing_by, descriptors, message["list"], message["learnt"])
        except KeyError as error:
            raise HotRestartError(f"the state of the older process lacks the key {error}") from error
        if not (type(disabled) is list and all(type(name) is str for name in disabled)):
            raise HotRestartError("the key 'outs' is not a list of upstream ids")
        if type(standing_by) is not bool:
            raise HotRestartError("the key 'standing_by' is not a boolean")
        if type(descriptors) is not int or descriptors < 0:
            raise HotRestartError("the key 'holds' is not a number of descriptors")
        return state

    def to_message(self) -> Message:
        """Returns the state as a message, with the message's type and version."""
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
    """Returns the path of the Unix socket for the handover; None if TMPDIR is not set."""
    directory = os.environ.get("TMPDIR")
    return os.path.join(directory, f"shedgrade-{listen[0]}-{listen[1]}.sock") if directory else None


class ShortPath:
    """A short alias of a path of any length: the path of a Unix socket may have at most 107 bytes."""

    def __init__(self, path: str) -> None:
        self.directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
        self.alias = f"/proc/self/fd/{self.directory}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        """Returns the alias, which is valid until the exit."""
        return self.alias

    def __exit__(self, *_: object) -> None:
        """Closes the descriptor of the directory."""
        os.close(self.directory)


class HandoverLink:
    """One connection between the two processes, which sends and receives whole messages.

    Attributes:
        on_message: called with each message and the file descriptors that came with it.
        on_close: called once when the link has closed.
        received: bytes of messages that are not complete yet.
        unsent: bytes that the kernel has not taken yet.
        descriptors: received file descriptors that were not passed to `on_message` yet.
        awaits_writable: whether the event loop watches for the socket to become writable.
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

    def start(self, on_message: Callable[[Message, list[int]], None], on_close: Callable[[], None]) -> None:
        """Starts reading in the event loop, and calls the callbacks from now on."""
        self.on_message = on_message
        self.on_close = on_close
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self.read)
        self.dispatch()  # messages that came with the first one

    def read(self) -> None:
        """Called by the event loop when the socket is readable."""
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
        """Passes on complete messages; closes the link at the first invalid one."""
        try:
            for message in self.messages():
                descriptors, self.descriptors = self.descriptors, []
                self.on_message(message, descriptors)
        except (HotRestartError, KeyError, TypeError, ValueError) as error:
            logger.warning("hot restart message rejected, link closed", error=repr(error))
            self.close()

    def messages(self) -> Iterator[Message]:
        """Takes complete messages from the received bytes.

        Raises HotRestartError or ValueError if one is not a JSON object.
        """
        while (line_end := self.received.find(b"\n")) >= 0:
            message = orjson.loads(bytes(self.received[:line_end]))
            del self.received[: line_end + 1]
            if type(message) is not dict:
                raise HotRestartError("the message is not a JSON object")
            yield message

    def receive_first(self) -> tuple[Message, list[int]]:
        """Blocks until one message is received, which is allowed as nothing else runs yet in this process.

        Raises HotRestartError if none comes within ANSWER_TIMEOUT_S.
        """
        deadline = monotonic() + ANSWER_TIMEOUT_S
        while True:
            for message in self.messages():
                descriptors, self.descriptors = self.descriptors, []
                return message, descriptors
            self.socket.settimeout(max(0.001, deadline - monotonic()))
            try:
                data, descriptors, _, _ = socket.recv_fds(self.socket, READ_BYTES, MAX_DESCRIPTORS)
            except OSError as failure:
                raise HotRestartError("no answer from the older process") from failure
            self.descriptors += descriptors
            self.received += data
            if not data or len(self.received) > MAX_MESSAGE_BYTES:
                raise HotRestartError("the message is incomplete or too long")

    # --- sending

    def send(self, message: Message, descriptor: int | None = None) -> None:
        """Sends a message as soon as the kernel takes it, and the descriptor with its first byte."""
        if self.socket.fileno() < 0:
            return
        data = orjson.dumps(message) + b"\n"
        if descriptor is not None and not self.unsent:
            try:
                sent_bytes = socket.send_fds(self.socket, [data], [descriptor])
            except OSError:
                self.close()
                return
            data = data[sent_bytes:]
        self.unsent += data
        self.write()

    def write(self) -> None:
        """Writes as many unsent bytes as the kernel takes, and the rest when the socket is writable."""
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
        """Closes the link, and the descriptors that were not passed on."""
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
    """What a newer process gets from the older one."""

    link: HandoverLink
    state: HandoverState
    listening_socket: socket.socket


def connect_to_older(loop: asyncio.AbstractEventLoop, path: str) -> Handover | None:
    """Connects to the older process and waits for its state and its listening socket.

    Returns None if there is no older process. Raises HotRestartError if its answer is missing or invalid.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(ANSWER_TIMEOUT_S)
    try:
        with ShortPath(path) as alias:
            connection.connect(alias)
    except TimeoutError as error:
        connection.close()
        raise HotRestartError("connecting to the older process timed out") from error
    except OSError:  # there is no older process, or it has just ended
        connection.close()
        return None
    link = HandoverLink(loop, connection)
    descriptors: list[int] = []
    try:
        connection.sendall(orjson.dumps({"v": VERSION, "what": "hello"}) + b"\n")
        message, descriptors = link.receive_first()
        if message.get("v") != VERSION or message.get("what") != "state":
            raise HotRestartError("the protocol version of the older process differs")
        if len(descriptors) != 1:
            raise HotRestartError("no listening socket came with the state")
        state = HandoverState.from_message(message)
        return Handover(link, state, socket.socket(fileno=descriptors.pop()))
    except (OSError, ValueError, HotRestartError) as error:
        link.close()
        for descriptor in descriptors:
            os.close(descriptor)
        raise HotRestartError(str(error)) from error


class HandoverListener:
    """Accepts the link of the next newer process.

    It atomically replaces the socket at its path, if another process listens there.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, on_link: Callable[[HandoverLink], None]
    ) -> None:
        """Raises OSError if the socket can't be created in that directory."""
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
        """Accepts one connection; closes it if the process at its other end runs as another user."""
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
        """Stops listening; removes the path unless another process has taken it over."""
        self.loop.remove_reader(self.socket)
        self.socket.close()
        try:
            if os.stat(self.path).st_ino == self.inode:
                os.unlink(self.path)
        except OSError:
            pass
