"""The logger of the shared modules. A program hands in where its lines go; `serve` hands in nothing."""

from collections.abc import Callable

METHODS = ("debug", "info", "warning", "error", "exception")


class Logger:
    """Passes on to the sink that was handed in; with none, to loguru, which is imported on first use.

    Its methods are the sink's own bound methods, so a sink that looks at its caller's frame sees the caller.
    """

    def set_sink(self, sink: object) -> None:
        """`sink` has METHODS, called as `info(text, *values)` with the text as in `str.format`. None: loguru
        again, from the next use on. AttributeError if a method is missing; the old sink stays then."""
        methods = {} if sink is None else {name: getattr(sink, name) for name in METHODS}
        self.__dict__.clear()
        self.__dict__.update(methods)

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Asked only while no sink was handed in."""
        if name not in METHODS:
            raise AttributeError(name)
        from loguru import logger as loguru

        self.set_sink(loguru)
        return self.__dict__[name]


logger = Logger()
set_sink = logger.set_sink
