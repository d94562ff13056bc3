"""Faults of our own that nobody caught: they go to the log, and the process goes on."""

from traceback import format_exception

from shedgrade.runtime.log import logger


def log_uncaught(loop, context: dict) -> None:
    """The handler of an event loop's exceptions."""
    failure = context.get("exception")
    trace = "".join(format_exception(failure)) if failure is not None else ""
    logger.error("fault in the loop: {}: {!r} {}", context.get("message"), failure, trace)
