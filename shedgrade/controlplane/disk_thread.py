"""The disk of one core member: what it holds at the start, and a thread that writes off the event loop.

Guards against a disk that stalls for seconds: only its own thread waits for it.
"""

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Mapping
from time import sleep

import msgspec

from shedgrade.runtime.log import logger
from shedgrade.storage import LoadResult, Store

LOAD_RETRY_DELAY_S = 0.2  # before a disk that can't be read is tried again


def load_store(store: Store, wait: Callable[[float], None] = sleep) -> LoadResult:
    """What the disk holds; blocks until it can be read. Guards against a disk in trouble at a start: nothing
    is served before it is read, and a process that ends is started again into the same trouble."""
    logged = False
    while True:
        try:
            return store.load()
        except OSError as failure:
            if not logged:
                logger.warning("disk read failed", error=failure.strerror or str(failure))
            logged = True
            wait(LOAD_RETRY_DELAY_S)


class Write(msgspec.Struct, frozen=True):
    """Changes to be made durable, as a whole or not at all; None removes a key."""

    token: int
    changes: Mapping[str, bytes | None]


class DiskThread:
    """Writes one after another. `on_written(token, succeeded)` is called on the loop once each is durable, or
    refused.

    Attributes: `lock` guards `queue` and `closing`, never a write; `queued` counts what is queued and not yet
    taken, with one more for the close.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, store: Store, on_written: Callable[[int, bool], None]
    ) -> None:
        self.loop = loop
        self.store = store
        self.on_written = on_written
        self.lock = threading.Lock()
        self.queued = threading.Semaphore(0)
        self.queue: deque[Write] = deque()
        self.closing = False
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        """Queues a write."""
        with self.lock:
            self.queue.append(Write(token, changes))
        self.queued.release()

    def run(self) -> None:
        """The thread's loop."""
        while True:
            self.queued.acquire()
            with self.lock:
                if self.closing:
                    return
                write = self.queue.popleft()
            succeeded = self.store_changes(write.changes)
            try:
                self.loop.call_soon_threadsafe(self.on_written, write.token, succeeded)
            except RuntimeError:  # the loop has ended
                return

    def store_changes(self, changes: Mapping[str, bytes | None]) -> bool:
        """Whether the disk took them."""
        try:
            self.store.write(changes)
        except OSError as failure:
            logger.warning("disk write failed", error=failure.strerror or str(failure))
            return False
        return True

    def close(self) -> None:
        """Ends the thread after the write that is under way; what is queued is not written."""
        with self.lock:
            self.closing = True
        self.queued.release()
