"""Parsing and dispatch of the calls of the admin address, without I/O."""

from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools

Reply = Callable[[bool, str], None]  # called once with: whether the call succeeded, a short explanation


class CommandHandler(Protocol):
    """Executes the calls. `reply` is called once the call has taken effect or has been rejected."""

    def ready(self) -> bool:
        """Returns whether this process accepts clients and has an endpoint list."""

    def disable(self, upstream_id: str, reply: Reply) -> None:
        """Stops sending requests to this upstream."""

    def enable(self, upstream_id: str, reply: Reply) -> None:
        """Sends requests to this upstream again."""

    def drain(self) -> tuple[bool, str]:
        """Moves clients away from this sidecar until `resume`. Returns whether it succeeded, and a text."""

    def resume(self) -> tuple[bool, str]:
        """Ends the drain. Returns whether it succeeded, and a text."""


class CallError(Exception):
    """The request is not a valid call.

    Attributes:
        status: HTTP status of the response.
        allowed: the method that the path supports, if only the method is wrong.
    """

    def __init__(self, status: int, allowed: bytes | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.allowed = allowed


def dispatch(method: bytes, target: bytes, commands: CommandHandler, reply: Reply) -> None:
    """Executes one call. Raises CallError if the method and the target are not those of a call."""
    match split_path(target):
        case ["", "-", "ready"]:
            require_method(method, b"GET")
            ready = commands.ready()
            reply(ready, "takes clients" if ready else "takes no clients")
        case ["", "-", "upstreams", upstream_id, "disable"] if upstream_id:
            require_method(method, b"POST")
            commands.disable(upstream_id, reply)
        case ["", "-", "upstreams", upstream_id, "enable"] if upstream_id:
            require_method(method, b"POST")
            commands.enable(upstream_id, reply)
        case ["", "-", "drain"]:
            require_method(method, b"POST")
            reply(*commands.drain())
        case ["", "-", "resume"]:
            require_method(method, b"POST")
            reply(*commands.resume())
        case _:
            raise CallError(404)


def split_path(target: bytes) -> list[str]:
    """Returns the percent-decoded segments of the target's path. Raises CallError if it can't be decoded."""
    try:
        path = httptools.parse_url(target).path or b""
        return [unquote_to_bytes(segment).decode() for segment in path.split(b"/")]
    except (httptools.HttpParserInvalidURLError, UnicodeDecodeError) as error:
        raise CallError(400) from error


def require_method(method: bytes, allowed: bytes) -> None:
    """Raises CallError if `method` is not the allowed one."""
    if method != allowed:
        raise CallError(405, allowed)
