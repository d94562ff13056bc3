"""Logging of exceptions with their traces, among them those that nothing caught in the event loop."""

import asyncio
from traceback import format_exception
from typing import Any

from shedgrade.runtime.log import logger


def log_uncaught(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Logs an uncaught exception; the loop's exception handler, `context` as asyncio passes it to one."""
    log_exception(
        "uncaught exception in event loop", context.get("exception"), message=context.get("message")
    )


def log_exception(event: str, failure: BaseException | None, **fields: object) -> None:
    """Logs an error with the exception that caused it, its trace and further fields."""
    trace = "".join(format_exception(failure)) if failure is not None else ""
    logger.error(event, **fields, error=repr(failure), trace=trace)
