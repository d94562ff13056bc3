"""Feature of the sidecar that records calls to the balancer.

The records are written to a file on SIGUSR1, after internal errors, and, if configured, continuously.
"""

import signal
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from shedgrade.sidecar.capture.files import Writer, dump
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.rows import Ring
from shedgrade.sidecar.lifecycle.feature import Feature

if TYPE_CHECKING:
    from loguru import Record

# Interval between two dumps after internal errors; the first of a series tells the most.
DUMP_INTERVAL_S = 60.0


def format_event(record: "Record") -> str:
    """Formats a log record with its fields as one line, for the fault record of a capture."""
    fields = "".join(f" {key}={value}" for key, value in record["extra"].items())
    # A reference in place of the text: values may hold braces.
    record["extra"]["event"] = record["message"] + fields
    return "{extra[event]}\n"


class CapturePart(Feature):
    """Capture as a feature. It is created before the sidecar, whose balancer `decisions` creates."""

    def __init__(self, config) -> None:
        self.config = config
        self.folder = Path(config.folder)
        self.recorder: Recorder | None = None
        self.writer: Writer | None = None
        self.sidecar = self.sink = None
        self.error_dump_at = -DUMP_INTERVAL_S
        self.is_dumping = False

    def decisions(self, settings: dict, seed: int, now: int) -> Recorder:
        """Creates the recorder in place of a Balancer. Only the platform's own pool is captured."""
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
        """Registers as a feature of the sidecar, and the recorder as an observer of dispatch passes."""
        self.sidecar = sidecar
        ids = sidecar.pool.reader.indices.ids
        self.recorder.upstream_id = lambda index: ids[index]
        sidecar.pool.dispatcher.observers = (*sidecar.pool.dispatcher.observers, self.recorder)
        sidecar.features.append(self)

    # --- lifecycle of the sidecar

    def start(self) -> None:
        """Installs the signal handler and the log sink for internal errors; starts the writer."""
        self.sidecar.loop.add_signal_handler(signal.SIGUSR1, self.write_dump, "asked for")
        self.sink = logger.add(self.on_logged_error, level="ERROR", format=format_event)
        if self.config.continuous:
            self.writer = Writer(self.folder, self.config.keep_mb * 2**20, self.write_failed)
            for start, data in self.recorder.ring.records:
                self.writer.put(data, start)
            self.recorder.write = self.writer.put
        logger.info(
            "capture started",
            memory_mb=self.config.memory_mb,
            ids=self.config.ids,
            continuous=self.config.continuous,
        )

    def write_failed(self, error: str) -> None:
        """Logs that captures can't be written to the disk; the sidecar continues to serve."""
        logger.warning("capture write failed", error=error)

    def on_logged_error(self, message) -> None:
        """Receives a logged internal error, and dumps the capture, at most once in `DUMP_INTERVAL_S`."""
        now = self.sidecar.loop.time()
        if now >= self.error_dump_at + DUMP_INTERVAL_S:
            self.error_dump_at = now
            self.recorder.record_fault(str(message).strip()[:500])
            self.sidecar.loop.call_soon(self.write_dump, "a fault")

    def write_dump(self, reason: str) -> None:
        """Writes the records of the ring to a file, in a worker thread. `reason`: why, for the log."""
        if self.is_dumping:
            return
        self.is_dumping = True
        self.recorder.flush()
        task = self.sidecar.loop.run_in_executor(None, dump, self.folder, self.recorder.ring.data())
        task.add_done_callback(lambda done: self.on_dump_done(done, reason))

    def on_dump_done(self, done, reason: str) -> None:
        """Logs how the dump ended."""
        self.is_dumping = False
        if done.cancelled():
            return
        failure = done.exception()
        if failure is not None:
            logger.warning("capture write failed", error=getattr(failure, "strerror", failure))
        else:
            logger.info("capture written", reason=reason, path=str(done.result()))

    def tick(self) -> None:
        """Requests a checkpoint when the next file is due."""
        if self.writer is not None and self.writer.is_full():
            self.recorder.checkpoint_wanted = True  # a file begins with a checkpoint

    def close(self) -> None:
        """Writes the remaining records, and logs the totals."""
        if self.sink is not None:
            logger.remove(self.sink)
        if self.writer is not None:
            self.recorder.flush()
            self.writer.close()
        logger.info("capture ended", rpcs=self.recorder.rpc_count, records_dropped=self.recorder.ring.dropped)
