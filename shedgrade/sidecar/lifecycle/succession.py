"""Two processes that are one sidecar while an upgrade lasts: a link between them, and what each tells.

The older one listens at a Unix socket in `$TMPDIR`; the newer one connects there before it listens for
clients. Lines of JSON; the listening socket comes with the first one. What is not sound is not used: one
warning, and the process goes on as if it were alone.
"""

import os
import socket
import struct
from collections.abc import Callable
from time import monotonic

import orjson
from loguru import logger

VERSION = 1
ANSWERS = 0.5  # s within which the old process answers, or the new one starts without it
LONGEST = 8 * 1024 * 1024  # bytes of one line: tens of thousands of upstreams
PIECE = 256 * 1024  # bytes read at once


class SuccessionError(Exception):
    """Why there is nothing to take over, in a few words."""


def rendezvous(listen: tuple[str, int]) -> str | None:
    """Where the two processes of a sidecar meet; None where they share no folder."""
    folder = os.environ.get("TMPDIR")
    return os.path.join(folder, f"shedgrade-{listen[0]}-{listen[1]}.sock") if folder else None


class Place:
    """A path, however long: the name of a Unix socket ends after 107 bytes."""

    def __init__(self, path: str) -> None:
        self.folder = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
        self.name = f"/proc/self/fd/{self.folder}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        return self.name

    def __exit__(self, *_) -> None:
        os.close(self.folder)


class Link:
    """One connection between the two processes: whole lines in, whole lines out."""

    def __init__(self, loop, connection: socket.socket) -> None:
        self.loop, self.socket = loop, connection
        self.heard: Callable[[dict, list[int]], None] = lambda line, handles: None
        self.ended: Callable[[], None] = lambda: None
        self.came, self.going, self.handles = bytearray(), bytearray(), []
        self.writing = False

    def follow(self, heard: Callable[[dict, list[int]], None], ended: Callable[[], None]) -> None:
        self.heard, self.ended = heard, ended
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self.read)
        self.hear()  # what came right behind the first line

    def read(self) -> None:
        try:
            data, handles, _, _ = socket.recv_fds(self.socket, PIECE, 4)
        except BlockingIOError:
            return
        except OSError:
            data, handles = b"", []
        self.handles += handles
        self.came += data
        if not data or len(self.came) > LONGEST:
            self.close()
        else:
            self.hear()

    def hear(self) -> None:
        try:
            for line in self.lines():
                given, self.handles = self.handles, []
                self.heard(line, given)
        except (SuccessionError, KeyError, TypeError, ValueError) as wrong:
            logger.warning("the other process told what is of no use, its link is closed: {!r}", wrong)
            self.close()

    def lines(self):
        while (end := self.came.find(b"\n")) >= 0:
            line = orjson.loads(bytes(self.came[:end]))
            del self.came[: end + 1]
            if type(line) is not dict:
                raise SuccessionError("no object")
            yield line

    def first(self) -> tuple[dict, list[int]]:
        """Waits for one line, while nothing else is to be done here. SuccessionError if none comes."""
        end = monotonic() + ANSWERS
        while True:
            for line in self.lines():
                given, self.handles = self.handles, []
                return line, given
            self.socket.settimeout(max(0.001, end - monotonic()))
            try:
                data, handles, _, _ = socket.recv_fds(self.socket, PIECE, 4)
            except OSError as failure:
                raise SuccessionError("no answer") from failure
            self.handles += handles
            self.came += data
            if not data or len(self.came) > LONGEST:
                raise SuccessionError("torn")

    def send(self, line: dict, handle: int | None = None) -> None:
        if self.socket.fileno() < 0:
            return
        data = orjson.dumps(line) + b"\n"
        if handle is not None and not self.going:
            try:
                sent = socket.send_fds(self.socket, [data], [handle])
            except OSError:
                self.close()
                return
            data = data[sent:]
        self.going += data
        self.write()

    def write(self) -> None:
        try:
            while self.going:
                del self.going[: self.socket.send(self.going)]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if bool(self.going) != self.writing:
            self.writing = bool(self.going)
            if self.writing:
                self.loop.add_writer(self.socket, self.write)
            else:
                self.loop.remove_writer(self.socket)

    def close(self) -> None:
        if self.socket.fileno() < 0:
            return
        self.loop.remove_reader(self.socket)
        self.loop.remove_writer(self.socket)
        self.socket.close()
        for handle in self.handles:
            os.close(handle)
        self.handles = []
        self.ended()


def meet(loop, path: str) -> tuple[Link, dict, socket.socket] | None:
    """The link to the older process, what it tells, and its listening socket; None if there is none.

    SuccessionError if there is one whose answer is of no use.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(ANSWERS)
    try:
        with Place(path) as name:
            connection.connect(name)
    except TimeoutError as late:
        connection.close()
        raise SuccessionError("it does not answer") from late
    except OSError:  # nobody was there, or nobody is any more
        connection.close()
        return None
    link = Link(loop, connection)
    handles: list[int] = []
    try:
        connection.sendall(orjson.dumps({"v": VERSION, "what": "hello"}) + b"\n")
        told, handles = link.first()
        if told.get("v") != VERSION or told.get("what") != "state":
            raise SuccessionError("it is of another build")
        if len(handles) != 1:
            raise SuccessionError("no listening socket came with it")
        return link, told, socket.socket(fileno=handles.pop())
    except (OSError, ValueError, SuccessionError) as wrong:
        link.close()
        for handle in handles:
            os.close(handle)
        raise SuccessionError(str(wrong)) from wrong


class Rendezvous:
    """Where the next process finds this one. It takes the place of whoever listened there before, at once
    and whole."""

    def __init__(self, loop, path: str, came: Callable[[Link], None]) -> None:
        self.loop, self.path, self.came = loop, path, came
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        made = f"{path}.{os.getpid()}"
        try:
            with Place(made) as name:
                if os.path.exists(name):
                    os.unlink(name)
                self.socket.bind(name)
                os.chmod(name, 0o600)
                self.socket.listen(4)
                os.rename(name, os.path.join(os.path.dirname(name), os.path.basename(path)))
                self.mine = os.stat(path).st_ino
        except OSError:
            self.socket.close()
            raise
        self.socket.setblocking(False)
        loop.add_reader(self.socket, self.accept)

    def accept(self) -> None:
        try:
            connection, _ = self.socket.accept()
        except OSError:
            return
        _, user, _ = struct.unpack("3i", connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        if user != os.getuid():
            connection.close()
            return
        self.came(Link(self.loop, connection))

    def close(self) -> None:
        self.loop.remove_reader(self.socket)
        self.socket.close()
        try:
            if os.stat(self.path).st_ino == self.mine:
                os.unlink(self.path)
        except OSError:
            pass
