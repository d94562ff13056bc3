"""Logging of exceptions, among them those that nothing caught in the event loop."""

import asyncio
from pathlib import Path
from traceback import extract_tb, format_exception
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


def log_exception(event: str, failure: BaseException | None) -> None:
    """Logs an error in one line: the exception that caused it, and where that was raised."""
    frames = extract_tb(failure.__traceback__) if failure is not None else None
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno} {frames[-1].name}" if frames else ""
    logger.error(event, error=repr(failure), raised_at=place)
