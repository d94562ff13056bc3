"""The log of the control plane and the data plane: a ring buffer in memory, written to stderr on a warning.

structlog passes the events; this module stores and formats them. An event is formatted when it is written, so
one that is never written costs almost nothing. An event of level warning or above writes all buffered events
that are not written yet, as JSON, one object a line: at most once in WRITE_INTERVAL_S, and at most
MAX_WRITE_BYTES each time.
"""

import sys
import time
from collections import deque
from collections.abc import Callable
from traceback import format_exception
from typing import Any, NoReturn, TextIO

import orjson

# structlog imports rich if it is installed, which is most of structlog's import time and memory, and formats
# tracebacks with it, which this log doesn't use. None in sys.modules makes the import of rich fail.
_hides_rich = "rich" not in sys.modules
if _hides_rich:
    sys.modules["rich"] = None  # type: ignore[assignment]
try:
    import structlog
finally:
    if _hides_rich:
        del sys.modules["rich"]

DEFAULT_SIZE = 512  # events in the buffer
WRITE_INTERVAL_S = 5.0  # between two writes
MAX_WRITE_BYTES = 64 * 1024  # in one write
OMISSION_LINE_BYTES = 400  # of MAX_WRITE_BYTES, reserved for the line that counts the omitted events
MAX_TEXT_CHARS = 2000  # of one event's text, and of the repr of a field that isn't a plain type
MAX_TRACE_CHARS = 4000  # of a traceback; its end is kept, which tells most
MAX_KEPT_CHARS = 200  # of a str or bytes value that is stored unformatted
PLAIN_TYPES = (int, float, bool, type(None))
URGENT_LEVELS = frozenset(("warning", "error", "critical"))

Values = tuple[object, ...]
Fields = dict[str, Any]  # by field name, values that JSON can represent


class LogEvent:
    """One event; it is formatted when it is written.

    Attributes:
        at: Unix time in seconds.
        text, values: as for `str.format`.
        fields: further keys of the line; they don't replace the fixed ones.
    """

    __slots__ = ("at", "level", "text", "values", "fields")

    def __init__(self, at: float, level: str, text: str, values: Values, fields: Fields) -> None:
        self.at = at
        self.level = level
        self.text = text
        self.values = values
        self.fields = fields

    def line(self, process: str) -> bytes:
        """Returns the event as one line of JSON. `process`: the name of this process."""
        line: Fields = {
            "at": round(self.at, 3),
            "level": self.level,
            "text": format_text(self.text, self.values)[:MAX_TEXT_CHARS],
            "process": process,
        }
        line = {**line, **{key: value for key, value in self.fields.items() if key not in line}}
        try:
            return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:
            # JSON can't represent a lone surrogate or an integer beyond 64 bits.
            return orjson.dumps(
                {key: ascii(value) for key, value in line.items()}, option=orjson.OPT_APPEND_NEWLINE
            )


class BoundLogger(structlog.BoundLoggerBase):
    """Accepts events in loguru's form: `info("event", name=value)`, or `info("{} of {}", 1, 2)`."""

    def debug(self, text: str, /, *values: object, **fields: object) -> None:
        """Logs an event that only a developer needs."""
        self._proxy_to_logger("debug", text, values=values, fields=fields)

    def info(self, text: str, /, *values: object, **fields: object) -> None:
        """Logs a normal event; it is written only together with a later warning or error."""
        self._proxy_to_logger("info", text, values=values, fields=fields)

    def warning(self, text: str, /, *values: object, **fields: object) -> None:
        """Logs an event that an operator should know of."""
        self._proxy_to_logger("warning", text, values=values, fields=fields)

    def error(self, text: str, /, *values: object, **fields: object) -> None:
        """Logs a fault of the program, or of something that it can't run without."""
        self._proxy_to_logger("error", text, values=values, fields=fields)

    def exception(self, text: str, /, *values: object, **fields: object) -> None:
        """Logs as `error` does, with the traceback of the exception that is being handled; no other method
        adds one."""
        failure = sys.exc_info()[1]
        if failure is not None:
            fields["trace"] = "".join(format_exception(failure))[-MAX_TRACE_CHARS:]
        self._proxy_to_logger("error", text, values=values, fields=fields)


class LogRingBuffer:
    """The events of one process, and a sink for `shedgrade.runtime.log.set_sink`: it has the methods `debug`
    to `exception`, and `bind`.

    Attributes:
        name: name of the process, part of each line.
        stream: where lines are written; None: to what sys.stderr is at the time of a write.
        events: the newest events, oldest first.
        unwritten: how many of the newest events have not been written.
        omitted: events since the last write that were evicted unwritten, or did not fit into a write.
        is_urgent: whether an event of URGENT_LEVELS is unwritten.
        next_write_at: earliest time of the next write, seconds of the monotonic clock. An urgent event before
            it is written with the first event after it, or by `flush`.
        writes: number of writes so far.
    """

    def __init__(
        self,
        name: str = "",
        stream: TextIO | None = None,
        *,
        size: int = DEFAULT_SIZE,
        clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: Unix time of events; `monotonic_clock`: monotonic time of writes. Both in seconds."""
        self.name = name
        self.stream = stream
        self.clock = clock
        self.monotonic_clock = monotonic_clock
        self.events: deque[LogEvent] = deque(maxlen=size)
        self.unwritten = 0
        self.omitted = 0
        self.is_urgent = False
        self.next_write_at = -float("inf")
        self.writes = 0
        logger = structlog.wrap_logger(
            self,
            processors=[self.append],
            wrapper_class=BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        ).bind()
        self.debug = logger.debug
        self.info = logger.info
        self.warning = logger.warning
        self.error = logger.error
        self.exception = logger.exception
        self.bind = logger.bind

    def append(self, _: object, level: str, event: Any) -> NoReturn:
        """Adds an event to the buffer. It is structlog's last processor, so it always raises DropEvent."""
        text, values, own_fields = event.pop("event"), event.pop("values"), event.pop("fields")
        fields = {**event, **own_fields}  # the fields that `bind` added come first
        if not all(map(is_kept_as_is, values)):
            # A value that is stored unformatted would be kept alive, and could change before it is written.
            text, values = format_text(text, values)[:MAX_TEXT_CHARS], ()
        if self.unwritten == self.events.maxlen:
            self.omitted += 1
        else:
            self.unwritten += 1
        plain = {
            key: value if isinstance(value, (str, *PLAIN_TYPES)) else repr(value)[:MAX_TEXT_CHARS]
            for key, value in fields.items()
        }
        self.events.append(LogEvent(self.clock(), level, text, values, plain))
        self.is_urgent = self.is_urgent or level in URGENT_LEVELS
        if self.is_urgent and self.monotonic_clock() >= self.next_write_at:
            self.write()
        raise structlog.DropEvent

    def flush(self) -> None:
        """Writes the buffer if an urgent event in it is unwritten; called when the process ends."""
        if self.is_urgent:
            self.write()

    def write(self) -> None:
        """Writes the unwritten events now; only the newest of them if they exceed MAX_WRITE_BYTES."""
        self.next_write_at = self.monotonic_clock() + WRITE_INTERVAL_S
        self.is_urgent = False
        lines = self.take_lines()
        stream = self.stream or sys.stderr
        self.writes += 1
        try:
            stream.write(b"".join(lines).decode())
            stream.flush()
        except (OSError, ValueError):
            # stderr may be closed or its reader gone; that must not end the process.
            pass

    def take_lines(self) -> list[bytes]:
        """Returns the lines of one write, oldest first, preceded by one with the number of omitted events if
        there are any. All events count as written afterwards."""
        lines = []
        bytes_left = MAX_WRITE_BYTES - OMISSION_LINE_BYTES
        for event in reversed(self.events):
            if self.unwritten == 0:
                break
            line = event.line(self.name)
            if len(line) > bytes_left:
                self.omitted += self.unwritten
                break
            lines.append(line)
            bytes_left -= len(line)
            self.unwritten -= 1
        self.unwritten = 0
        if self.omitted:
            text = "{} earlier events are left out"
            lines.append(LogEvent(self.clock(), "info", text, (self.omitted,), {}).line(self.name))
            self.omitted = 0
        return lines[::-1]


def is_kept_as_is(value: object) -> bool:
    """Returns whether the value is short and can't change before its event is formatted."""
    return isinstance(value, PLAIN_TYPES) or (type(value) in (str, bytes) and len(value) <= MAX_KEPT_CHARS)  # type: ignore[arg-type]


def format_text(text: str, values: Values) -> str:
    """Returns the text with its values inserted as by `str.format`; never raises."""
    if not values:
        return text
    try:
        return text.format(*values)
    except Exception as error:
        # A wrong format, or a value whose __repr__ or __format__ raises, must not make the logging call fail.
        return f"{text} ({len(values)} values, {type(error).__name__})"
