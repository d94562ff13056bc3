"""Logging of exceptions that nothing caught in the event loop; the process keeps running."""

import asyncio
from traceback import format_exception
from typing import Any

from shedgrade.runtime.log import logger


def log_uncaught(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Logs an uncaught exception; the loop's exception handler, `context` as asyncio passes it to one."""
    failure = context.get("exception")
    trace = "".join(format_exception(failure)) if failure is not None else ""
    logger.error(
        "uncaught exception in event loop",
        message=context.get("message"),
        error=repr(failure),
        trace=trace,
    )
