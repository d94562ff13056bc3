"""The disk of one core member, off the loop: one thread writes what the member wants durable, in order.

Guards against a disk that stalls for seconds: only its own thread waits for it.
"""

import threading
from collections import deque
from collections.abc import Callable, Mapping

from shedgrade.runtime.log import logger
from shedgrade.storage import Store


class DiskThread:
    """Writes one after another. `done(token, ok)` is called on the loop once each is durable, or refused."""

    def __init__(self, loop, store: Store, done: Callable[[int, bool], None]) -> None:
        self.loop, self.store, self.done = loop, store, done
        self.lock = threading.Lock()  # short: around the queue only, never around a write
        self.news = threading.Semaphore(0)
        self.queue: deque[tuple[int, Mapping[str, bytes | None]]] = deque()
        self.closing = False
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def write(self, token: int, changes: Mapping[str, bytes | None]) -> None:
        with self.lock:
            self.queue.append((token, changes))
        self.news.release()

    def run(self) -> None:
        while True:
            self.news.acquire()
            with self.lock:
                if self.closing:
                    return
                token, changes = self.queue.popleft()
            try:
                self.store.write(changes)
                ok = True
            except OSError as failure:
                logger.warning("the disk refuses: {}", failure.strerror or failure)
                ok = False
            try:
                self.loop.call_soon_threadsafe(self.done, token, ok)
            except RuntimeError:  # the loop has ended
                return

    def close(self) -> None:
        with self.lock:
            self.closing = True
        self.news.release()
