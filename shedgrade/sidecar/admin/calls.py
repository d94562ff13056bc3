"""The calls of the operators' address, without I/O."""

from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools

Reply = Callable[[bool, str], None]  # (whether it was done, why in a few words), called once


class Orders(Protocol):
    """Who carries the calls out. Each is answered once, when it has been done."""

    def ready(self) -> bool:
        """This process accepts clients, with a list in hand."""

    def disable(self, name: str, reply: Reply) -> None:
        """Nothing more goes to this upstream."""

    def enable(self, name: str, reply: Reply) -> None:
        """This upstream is back."""

    def drain(self) -> tuple[bool, str]:
        """The sidecar gives its clients up until it resumes."""

    def resume(self) -> tuple[bool, str]:
        """The end of the drain."""


class CallError(Exception):
    """What was asked for is no call. `status`: the HTTP status that says so; `allowed`: the method that the
    call has instead, if it is only that."""

    def __init__(self, status: int, allowed: bytes | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.allowed = allowed


def dispatch(method: bytes, target: bytes, orders: Orders, reply: Reply) -> None:
    """Hands one call over. CallError if there is no such call."""
    match split_path(target):
        case ["", "-", "ready"]:
            require_method(method, b"GET")
            ready = orders.ready()
            reply(ready, "takes clients" if ready else "takes no clients")
        case ["", "-", "upstreams", name, "disable"] if name:
            require_method(method, b"POST")
            orders.disable(name, reply)
        case ["", "-", "upstreams", name, "enable"] if name:
            require_method(method, b"POST")
            orders.enable(name, reply)
        case ["", "-", "drain"]:
            require_method(method, b"POST")
            reply(*orders.drain())
        case ["", "-", "resume"]:
            require_method(method, b"POST")
            reply(*orders.resume())
        case _:
            raise CallError(404)


def split_path(target: bytes) -> list[str]:
    """The segments of the target's path, percent-decoded. CallError if it can't be read."""
    try:
        path = httptools.parse_url(target).path or b""
        return [unquote_to_bytes(segment).decode() for segment in path.split(b"/")]
    except (httptools.HttpParserInvalidURLError, UnicodeDecodeError) as error:
        raise CallError(400) from error


def require_method(method: bytes, allowed: bytes) -> None:
    """CallError if it is another one."""
    if method != allowed:
        raise CallError(405, allowed)
