"""The log of the two programs: a ring buffer in memory that is written to stderr when something goes wrong.

structlog carries the events; what they are made into happens here. An event is rendered when it is written,
so what nobody reads costs next to nothing. A warning or worse writes what the buffer holds and has not
written, as JSON, one object a line: at most once in WRITE_INTERVAL_S and MAX_WRITE_BYTES each time.
"""

import sys
import time
from collections import deque
from collections.abc import Callable
from traceback import format_exception
from typing import Any, NoReturn, TextIO

import orjson

# structlog looks for rich, which is most of its import time and memory, and draws traces that nobody asked
# for. None in its place says that it is not installed.
_hides_rich = "rich" not in sys.modules
if _hides_rich:
    sys.modules["rich"] = None  # type: ignore[assignment]
try:
    import structlog
finally:
    if _hides_rich:
        del sys.modules["rich"]

DEFAULT_SIZE = 512  # events that are kept
WRITE_INTERVAL_S = 5.0  # between two writes
MAX_WRITE_BYTES = 64 * 1024  # of one write
OMISSION_LINE_BYTES = 400  # of them for the line that says how many events are left out
MAX_TEXT_CHARS = 2000  # of one event's text, and of one field that is not plain
MAX_TRACE_CHARS = 4000  # of a trace: its end tells most
MAX_KEPT_CHARS = 200  # of a value that is kept as it is until its event is rendered
PLAIN_TYPES = (int, float, bool, type(None))
URGENT_LEVELS = frozenset(("warning", "error", "critical"))

Values = tuple[object, ...]
Fields = dict[str, Any]  # names to what JSON can hold


class LogEvent:
    """One event; its line is made when it is written.

    `at`: seconds since 1970; `text`, `values`: as for `str.format`; `fields`: shown beside the fixed keys,
    which they don't replace.
    """

    __slots__ = ("at", "level", "text", "values", "fields")

    def __init__(self, at: float, level: str, text: str, values: Values, fields: Fields) -> None:
        self.at = at
        self.level = level
        self.text = text
        self.values = values
        self.fields = fields

    def line(self, process: str) -> bytes:
        """One line of JSON. `process`: the name of this process."""
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
            # Guards against what JSON can't hold: half a surrogate pair, a number beyond 64 bits.
            return orjson.dumps(
                {key: ascii(value) for key, value in line.items()}, option=orjson.OPT_APPEND_NEWLINE
            )


class BoundLogger(structlog.BoundLoggerBase):
    """Takes events as loguru does: `info("event", name=value)`, or `info("{} of {}", 1, 2)`."""

    def debug(self, text: str, /, *values: object, **fields: object) -> None:
        """What only a developer asks for."""
        self._proxy_to_logger("debug", text, values=values, fields=fields)

    def info(self, text: str, /, *values: object, **fields: object) -> None:
        """What happened, of no harm. Seen before a warning only."""
        self._proxy_to_logger("info", text, values=values, fields=fields)

    def warning(self, text: str, /, *values: object, **fields: object) -> None:
        """What an operator should know of."""
        self._proxy_to_logger("warning", text, values=values, fields=fields)

    def error(self, text: str, /, *values: object, **fields: object) -> None:
        """A fault of the program, or of what it can't go on without."""
        self._proxy_to_logger("error", text, values=values, fields=fields)

    def exception(self, text: str, /, *values: object, **fields: object) -> None:
        """As `error`, with the trace of the exception that is being handled. It is shown only here."""
        failure = sys.exc_info()[1]
        if failure is not None:
            fields["trace"] = "".join(format_exception(failure))[-MAX_TRACE_CHARS:]
        self._proxy_to_logger("error", text, values=values, fields=fields)


class LogRingBuffer:
    """The events of one process, and a sink for `shedgrade.runtime.log.set_sink`: `debug` to `exception`,
    `bind`.

    Attributes:
        name: of the process, in each line.
        stream: where lines go; None: stderr as it is at the time of a write.
        events: the newest ones, oldest first.
        unwritten: how many of the newest events have not been written.
        omitted: events that fell out of the buffer unwritten, or did not fit into a write, since the last
        one. is_urgent: an event of URGENT_LEVELS is unwritten.
        next_write_at: on the steady clock; an urgent event before it waits for the next event after it, or
        for
            `flush`.
        writes: counts them.
    """

    def __init__(
        self,
        name: str = "",
        stream: TextIO | None = None,
        *,
        size: int = DEFAULT_SIZE,
        clock: Callable[[], float] = time.time,
        steady_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock` dates events, `steady_clock` spaces writes; both in seconds."""
        self.name = name
        self.stream = stream
        self.clock = clock
        self.steady_clock = steady_clock
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
        """The last processor of structlog: the event goes into the buffer and no further."""
        text, values, own_fields = event.pop("event"), event.pop("values"), event.pop("fields")
        fields = {**event, **own_fields}  # what `bind` added comes first
        if not all(map(is_kept_as_is, values)):
            # Guards against a buffer that keeps alive, or shows as changed since, whatever was logged.
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
        if self.is_urgent and self.steady_clock() >= self.next_write_at:
            self.write()
        raise structlog.DropEvent

    def flush(self) -> None:
        """Writes what went wrong and was held back; called at the end of the process."""
        if self.is_urgent:
            self.write()

    def write(self) -> None:
        """Writes what is unwritten now; the newest of it if it is too much for one write."""
        self.next_write_at = self.steady_clock() + WRITE_INTERVAL_S
        self.is_urgent = False
        lines = self.take_lines()
        stream = self.stream or sys.stderr
        self.writes += 1
        try:
            stream.write(b"".join(lines).decode())
            stream.flush()
        except (OSError, ValueError):
            # Guards against an end of the process by its log: nobody may read stderr any more.
            pass

    def take_lines(self) -> list[bytes]:
        """The lines of one write, oldest first, after one that says how many are left out; all count as
        written then."""
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
    """Whether the value can't change until its event is rendered, and is short."""
    return isinstance(value, PLAIN_TYPES) or (type(value) in (str, bytes) and len(value) <= MAX_KEPT_CHARS)  # type: ignore[arg-type]


def format_text(text: str, values: Values) -> str:
    """The text with its values, as `str.format` does it; raises nothing."""
    if not values:
        return text
    try:
        return text.format(*values)
    except Exception as error:
        # Guards against a call that fails for its log line: a wrong format, or a value whose own text fails.
        return f"{text} ({len(values)} values, {type(error).__name__})"
