"""The logger of the shared modules. A program sets the sink that receives its events; `serve` sets none.

A call passes a short constant event and its fields: `logger.warning("endpoint list poll failed", attempt=3)`.
A text with `{}` and positional values, as for `str.format`, is still accepted.
"""

from collections.abc import Callable
from typing import Any, Protocol

LOG_METHODS = ("debug", "info", "warning", "error", "exception")

LogMethod = Callable[..., None]


class Sink(Protocol):
    """A receiver of log events. Each of LOG_METHODS is called as `info(event, *values, **fields)`.

    `exception` is `error` with the exception that is being handled.
    """

    debug: LogMethod
    info: LogMethod
    warning: LogMethod
    error: LogMethod
    exception: LogMethod


class Logger:
    """Passes events on to the sink that was set; without one, to loguru, which is imported on first use.

    Its methods are the bound methods of the sink, so a sink that inspects its caller's frame sees the caller.
    """

    def set_sink(self, sink: Any | None) -> None:
        """Sets a `Sink`; None selects loguru again, from the next call on. Raises AttributeError if a method
        is missing, and keeps the previous sink then."""
        methods = {} if sink is None else {name: getattr(sink, name) for name in LOG_METHODS}
        self.__dict__.clear()
        self.__dict__.update(methods)

    def __getattr__(self, name: str) -> LogMethod:
        """Selects loguru; called only while no sink is set."""
        if name not in LOG_METHODS:
            raise AttributeError(name)
        from loguru import logger as loguru

        self.set_sink(loguru)
        return self.__dict__[name]


logger = Logger()
set_sink = logger.set_sink
