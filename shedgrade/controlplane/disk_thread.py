"""The disk of one core member: loading its content at the start, and a thread that writes off the event loop.

A disk that stalls for seconds holds up only this thread, not the event loop.
"""

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Mapping
from time import sleep

import msgspec

from shedgrade.runtime.log import logger
from shedgrade.storage import LoadResult, Store

LOAD_RETRY_DELAY_S = 0.2  # between two attempts to read a disk that fails


def load_store(store: Store, wait: Callable[[float], None] = sleep) -> LoadResult:
    """Returns the content of the disk; blocks until it can be read. Nothing can be served before, and a
    process that ended on a read error would only be started again to meet the same error."""
    logged = False
    while True:
        try:
            return store.load()
        except OSError as error:
            if not logged:
                logger.warning("disk read failed", error=error.strerror or str(error))
            logged = True
            wait(LOAD_RETRY_DELAY_S)


class Write(msgspec.Struct, frozen=True):
    """Changes that are made durable as a whole or not at all; None removes a key."""

    token: int
    changes: Mapping[str, bytes | None]


class DiskThread:
    """Writes changes to the disk one after another. `on_written(token, succeeded)` is called on the loop for
    each write, once it is durable or has failed.

    Attributes:
        lock: guards `queue` and `is_closing`; not held during a write.
        queued_count: counts the entries of `queue`, plus one after `close`.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, store: Store, on_written: Callable[[int, bool], None]
    ) -> None:
        self.loop = loop
        self.store = store
        self.on_written = on_written
        self.lock = threading.Lock()
        self.queued_count = threading.Semaphore(0)
        self.queue: deque[Write] = deque()
        self.is_closing = False
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        """Queues the changes to be written."""
        with self.lock:
            self.queue.append(Write(token, changes))
        self.queued_count.release()

    def run(self) -> None:
        """Runs in the thread until `close`."""
        while True:
            self.queued_count.acquire()
            with self.lock:
                if self.is_closing:
                    return
                write = self.queue.popleft()
            succeeded = self.store_changes(write.changes)
            try:
                self.loop.call_soon_threadsafe(self.on_written, write.token, succeeded)
            except RuntimeError:  # the loop has ended
                return

    def store_changes(self, changes: Mapping[str, bytes | None]) -> bool:
        """Writes the changes; returns whether the disk accepted them."""
        try:
            self.store.write(changes)
        except OSError as error:
            logger.warning("disk write failed", error=error.strerror or str(error))
            return False
        return True

    def close(self) -> None:
        """Ends the thread after the write under way; queued changes are not written."""
        with self.lock:
            self.is_closing = True
        self.queued_count.release()
