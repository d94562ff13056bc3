"""Where log lines go, and in which form."""

import json
import sys

from loguru import logger

FORMS = ("text", "json")


def as_json(record: dict) -> str:
    """One flat object a line. It comes back to loguru as a format, so braces and angle brackets are kept."""
    failure = record["exception"]
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "text": record["message"],
        "module": record["name"],
        **({"exception": repr(failure.value)} if failure else {}),
    }
    record["extra"]["line"] = json.dumps(line, ensure_ascii=False)
    return "{extra[line]}\n"


def log_to_stderr(level: str, form: str) -> None:
    """ValueError for a level that loguru doesn't know or a form that isn't one of FORMS."""
    if form not in FORMS:
        raise ValueError(f"log format {form!r} is none of {', '.join(FORMS)}")
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=as_json if form == "json" else "{time:HH:mm:ss.SSS} {level} {message}",
    )
