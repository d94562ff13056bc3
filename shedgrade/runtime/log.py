"""The logger of the shared modules. A program sets the sink of its lines; `serve` sets none.

A line is a short constant event and its fields: `logger.warning("endpoint list poll failed", attempt=3)`.
Text with `{}` and positional values, as in `str.format`, is still accepted.
"""

from collections.abc import Callable
from typing import Any, Protocol

METHODS = ("debug", "info", "warning", "error", "exception")

LogMethod = Callable[..., None]


class Sink(Protocol):
    """What takes lines: METHODS, each called as `info(event, *values, **fields)`. `exception` is `error` with
    the exception that is being handled."""

    debug: LogMethod
    info: LogMethod
    warning: LogMethod
    error: LogMethod
    exception: LogMethod


class Logger:
    """Passes lines on to the sink that was set; with none, to loguru, which is imported on first use.

    Its methods are the sink's own bound methods, so a sink that looks at its caller's frame sees the caller.
    """

    def set_sink(self, sink: Any | None) -> None:
        """`sink`: a Sink. None: loguru again, from the next use on. AttributeError if a method is missing;
        the old sink stays then."""
        methods = {} if sink is None else {name: getattr(sink, name) for name in METHODS}
        self.__dict__.clear()
        self.__dict__.update(methods)

    def __getattr__(self, name: str) -> LogMethod:
        """Called only while no sink was set."""
        if name not in METHODS:
            raise AttributeError(name)
        from loguru import logger as loguru

        self.set_sink(loguru)
        return self.__dict__[name]


logger = Logger()
set_sink = logger.set_sink
