"""Faults of our own that nobody caught: they go to the log, and the process goes on."""

import asyncio
from traceback import format_exception
from typing import Any

from shedgrade.runtime.log import logger


def log_uncaught(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """The handler of an event loop's exceptions; `context` as asyncio's `call_exception_handler` gives it."""
    failure = context.get("exception")
    trace = "".join(format_exception(failure)) if failure is not None else ""
    logger.error(
        "uncaught exception in event loop",
        message=context.get("message"),
        error=repr(failure),
        trace=trace,
    )
