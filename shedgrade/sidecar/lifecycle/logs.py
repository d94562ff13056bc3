"""The sidecar's log: loguru's sink on standard error, as text or JSON.

A line is an event and its fields, `logger.warning("accepting failed", error=failure)`. The text format
appends ` key=value` for each field; the JSON format adds each field to the fixed keys of its object.
"""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

LOG_FORMATS = ("text", "json")
TEXT_LINE = "{time:HH:mm:ss.SSS} {level} {message}"
PLAIN_TYPES = (str, int, float, bool, type(None))


def format_as_text(record: "Record") -> str:
    """Returns the format of a text line. Fields follow the message; a traceback follows the line."""
    fields = "".join(f" {key}={value}" for key, value in record["extra"].items())
    # Passed by reference: braces in a value must not be read as a format.
    record["extra"]["fields"] = fields
    return TEXT_LINE + "{extra[fields]}\n{exception}"


def format_as_json(record: "Record") -> str:
    """Returns the format of a line with one flat JSON object, passed by reference because of its braces.

    A field with the name of a fixed key does not replace it.
    """
    failure = record["exception"]
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": record["message"],
        "module": record["name"],
        **({"exception": repr(failure.value)} if failure else {}),
    }
    fields = {
        key: value if isinstance(value, PLAIN_TYPES) else str(value)
        for key, value in record["extra"].items()
        if key not in line
    }
    record["extra"]["line"] = json.dumps({**line, **fields}, ensure_ascii=False)
    return "{extra[line]}\n"


def log_to_stderr(level: str, log_format: str) -> None:
    """Sets up the log. Raises ValueError for an unknown level or a format that is not one of LOG_FORMATS."""
    if log_format not in LOG_FORMATS:
        raise ValueError(f"log format {log_format!r} is not one of {', '.join(LOG_FORMATS)}")
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=format_as_json if log_format == "json" else format_as_text,
    )
