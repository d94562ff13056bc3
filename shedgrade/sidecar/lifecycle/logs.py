"""Where the sidecar's log lines go, and in which form: loguru's sink on standard error.

A line is an event and its fields, `logger.warning("accepting failed", error=failure)`. The text form appends
` key=value` for each field; the JSON form has each field beside the fixed keys of its object.
"""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

FORMS = ("text", "json")
TEXT_LINE = "{time:HH:mm:ss.SSS} {level} {message}"
PLAIN_TYPES = (str, int, float, bool, type(None))


def format_as_text(record: "Record") -> str:
    """The format of one line of text. Fields follow the message; an exception's trace follows the line."""
    fields = "".join(f" {key}={value}" for key, value in record["extra"].items())
    record["extra"]["fields"] = fields  # by reference: braces in a value must not be read as a format
    return TEXT_LINE + "{extra[fields]}\n{exception}"


def format_as_json(record: "Record") -> str:
    """The format of one flat object a line. It is passed by reference as well, for its braces. A field that
    has the name of a fixed key doesn't replace it."""
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


def log_to_stderr(level: str, form: str) -> None:
    """ValueError for a level that loguru doesn't know or a form that isn't one of FORMS."""
    if form not in FORMS:
        raise ValueError(f"log format {form!r} is none of {', '.join(FORMS)}")
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=format_as_json if form == "json" else format_as_text,
    )
