"""Capture as a part of the sidecar: a recorder in the decisions' place, dumps on SIGUSR1 and on faults."""

import signal
from pathlib import Path

from loguru import logger

from shedgrade.sidecar.capture.files import Writer, dump
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.rows import Ring
from shedgrade.sidecar.lifecycle.feature import Feature

AGAIN = 60.0  # s between two dumps because of faults: the first tells the most


class CapturePart(Feature):
    """Made before the sidecar, as it makes what stands in the decisions' place (`decisions`)."""

    def __init__(self, config) -> None:
        self.config, self.folder = config, Path(config.folder)
        self.recorder: Recorder | None = None
        self.writer: Writer | None = None
        self.sidecar = self.sink = None
        self.fault_at = -AGAIN
        self.dumping = False

    def decisions(self, settings: dict, seed: int, now: int) -> Recorder:
        """As a Balancer is made. Only the platform's own pool is captured."""
        self.recorder = Recorder(
            settings,
            seed,
            now,
            Ring(int(self.config.memory_mb * 2**20)),
            round(self.config.checkpoint_s * 10_000),
            self.config.most_rows,
            self.config.ids,
        )
        return self.recorder

    def join(self, sidecar) -> None:
        self.sidecar = sidecar
        ids = sidecar.pool.reader.indices.ids
        self.recorder.spelled = lambda index: ids[index]
        sidecar.pool.turn.watchers = (*sidecar.pool.turn.watchers, self.recorder)
        sidecar.features.append(self)

    # --- the sidecar's life

    def start(self) -> None:
        self.sidecar.loop.add_signal_handler(signal.SIGUSR1, self.write, "asked for")
        self.sink = logger.add(self.heard, level="ERROR", format="{message} {extra}")
        if self.config.continuous:
            self.writer = Writer(self.folder, self.config.keep_mb * 2**20, logger.warning)
            for start, data in self.recorder.ring.records:
                self.writer.put(data, start)
            self.recorder.write = self.writer.put
        logger.info(
            "capture is on: {:g} MB, ids {}{}",
            self.config.memory_mb,
            self.config.ids,
            ", written as it goes" * self.config.continuous,
        )

    def heard(self, message) -> None:
        """A fault of our own was logged: what led to it is written down, once in a while."""
        now = self.sidecar.loop.time()
        if now >= self.fault_at + AGAIN:
            self.fault_at = now
            self.recorder.fault(str(message).strip()[:500])
            self.sidecar.loop.call_soon(self.write, "a fault")

    def write(self, why: str) -> None:
        """The ring as a file; the loop goes on meanwhile."""
        if self.dumping:
            return
        self.dumping = True
        self.recorder.flush()
        task = self.sidecar.loop.run_in_executor(None, dump, self.folder, self.recorder.ring.data())
        task.add_done_callback(lambda done: self.written(done, why))

    def written(self, done, why: str) -> None:
        self.dumping = False
        if done.cancelled():
            return
        failure = done.exception()
        if failure is not None:
            logger.warning("capture cannot be written: {}", getattr(failure, "strerror", failure))
        else:
            logger.info("capture written, {}: {}", why, done.result())

    def tick(self) -> None:
        if self.writer is not None and self.writer.full():
            self.recorder.wanted = True  # the next file begins with a checkpoint

    def close(self) -> None:
        if self.sink is not None:
            logger.remove(self.sink)
        if self.writer is not None:
            self.recorder.flush()
            self.writer.close()
        logger.info("capture: {} RPCs, {} records dropped", self.recorder.numbers, self.recorder.ring.dropped)
