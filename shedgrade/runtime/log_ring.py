"""The log of the new programs: a ring in memory that is written to stderr when something goes wrong.

structlog carries the events; what they are made into happens here. An event is rendered when it is written,
so what nobody reads costs next to nothing. A warning or worse writes what the ring holds and has not written,
as JSON, one object a line: at most once in EVERY seconds and MOST bytes each time.
"""

import sys
import time
from collections import deque
from collections.abc import Callable
from traceback import format_exception

import orjson

# structlog looks for rich, which is most of its import time and memory, and draws traces that nobody asked
# for. None in its place says that it is not installed.
_hidden = "rich" not in sys.modules
if _hidden:
    sys.modules["rich"] = None
try:
    import structlog
finally:
    if _hidden:
        del sys.modules["rich"]

SIZE = 512  # events that are kept
EVERY = 5.0  # s between two writes
MOST = 64 * 1024  # bytes of one write
NOTE = 400  # of them for the line that says how many events are left out
LONGEST = 2000  # characters of one event's text
TRACE = 4000  # characters of a trace: its end tells most
PLAIN = (int, float, bool, type(None))
URGENT = frozenset(("warning", "error", "critical"))


class Event:
    """One event; its text is made when it is read."""

    __slots__ = ("at", "level", "text", "values", "more")

    def __init__(self, at: float, level: str, text: str, values: tuple, more: dict) -> None:
        self.at, self.level, self.text, self.values, self.more = at, level, text, values, more

    def line(self, name: str) -> bytes:
        line = {
            "at": round(self.at, 3),
            "level": self.level,
            "text": filled(self.text, self.values)[:LONGEST],
            "process": name,
            **self.more,
        }
        try:
            return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:
            # Guards against what JSON can't hold: half a surrogate pair, a number beyond 64 bits.
            return orjson.dumps(
                {key: ascii(value) for key, value in line.items()}, option=orjson.OPT_APPEND_NEWLINE
            )


class BoundLogger(structlog.BoundLoggerBase):
    """Takes events as loguru does: `info("{} of {}", 1, 2)`; names beside it become fields."""

    def debug(self, text: str, *values: object, **more: object) -> None:
        self._proxy_to_logger("debug", text, values=values, **more)

    def info(self, text: str, *values: object, **more: object) -> None:
        self._proxy_to_logger("info", text, values=values, **more)

    def warning(self, text: str, *values: object, **more: object) -> None:
        self._proxy_to_logger("warning", text, values=values, **more)

    def error(self, text: str, *values: object, **more: object) -> None:
        self._proxy_to_logger("error", text, values=values, **more)

    def exception(self, text: str, *values: object, **more: object) -> None:
        """As `error`, with the trace of the exception that is being handled. It is shown only here."""
        failure = sys.exc_info()[1]
        if failure is not None:
            more["trace"] = "".join(format_exception(failure))[-TRACE:]
        self._proxy_to_logger("error", text, values=values, **more)


class LogRingBuffer:
    """The events of one process, and a sink for `shedgrade.runtime.log.hand`: `debug` to `exception`,
    `bind`.
    """

    def __init__(
        self,
        name: str = "",
        stream=None,
        *,
        size: int = SIZE,
        clock: Callable[[], float] = time.time,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        """`name`: of the process, in each line. `stream`: text, stderr if none is given. `clock` dates
        events, `steady` spaces writes; both in seconds."""
        self.name, self.stream, self.clock, self.steady = name, stream, clock, steady
        self.events: deque[Event] = deque(maxlen=size)
        self.unwritten = 0  # of the newest events
        self.left_out = 0  # fell out of the ring, or did not fit into the last write
        self.urgent = False  # something went wrong that is not written yet
        self.next_at = -float("inf")
        self.writes = 0
        logger = structlog.wrap_logger(
            self,
            processors=[self.keep],
            wrapper_class=BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        ).bind()
        self.debug, self.info, self.warning = logger.debug, logger.info, logger.warning
        self.error, self.exception, self.bind = logger.error, logger.exception, logger.bind

    def keep(self, _, level: str, event: dict) -> dict:
        """structlog's last processor: the event goes into the ring and no further."""
        text, values = event.pop("event"), event.pop("values", ())
        if not all(
            isinstance(value, PLAIN) or (type(value) in (str, bytes) and len(value) <= 200)
            for value in values
        ):
            # Guards against a ring that keeps alive, or shows as changed since, whatever was logged.
            text, values = filled(text, values)[:LONGEST], ()
        if self.unwritten == self.events.maxlen:
            self.left_out += 1
        else:
            self.unwritten += 1
        more = {
            key: value if isinstance(value, (str, *PLAIN)) else repr(value)[:LONGEST]
            for key, value in event.items()
        }
        self.events.append(Event(self.clock(), level, text, values, more))
        self.urgent = self.urgent or level in URGENT
        if self.urgent and self.steady() >= self.next_at:
            self.write()
        raise structlog.DropEvent

    def flush(self) -> None:
        """Writes what went wrong and was held back; called at the end of the process."""
        if self.urgent:
            self.write()

    def write(self) -> None:
        """Writes what is unwritten now; the newest of it if it is too much for one write."""
        self.next_at, self.urgent = self.steady() + EVERY, False
        lines, room = [], MOST - NOTE
        for event in reversed(self.events):
            if self.unwritten == 0:
                break
            line = event.line(self.name)
            if len(line) > room:
                self.left_out += self.unwritten
                break
            lines.append(line)
            room -= len(line)
            self.unwritten -= 1
        self.unwritten = 0
        if self.left_out:
            note = Event(self.clock(), "info", "{} earlier events are left out", (self.left_out,), {})
            lines.append(note.line(self.name))
            self.left_out = 0
        stream = self.stream or sys.stderr
        self.writes += 1
        try:
            stream.write(b"".join(reversed(lines)).decode())
            stream.flush()
        except (OSError, ValueError):
            # Guards against an end of the process by its log: nobody may read stderr any more.
            pass


def filled(text: str, values: tuple) -> str:
    if not values:
        return text
    try:
        return text.format(*values)
    except Exception as wrong:
        # Guards against a call that fails for its log line: a wrong format, or a value whose own text fails.
        return f"{text} ({len(values)} values, {type(wrong).__name__})"
