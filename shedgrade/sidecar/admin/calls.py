"""What may be called at the second address, without I/O."""

from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools


class Orders(Protocol):
    """Who does what is called. Each call is answered by `told(yes, words)`, once, when it has been done."""

    def ready(self) -> bool:
        """This process takes clients, with a list in hand."""

    def out(self, name: str, told: Callable[[bool, str], None]) -> None:
        """Nothing more to this upstream."""

    def back(self, name: str, told: Callable[[bool, str], None]) -> None:
        """This upstream is put back."""

    def drain(self) -> tuple[bool, str]:
        """The sidecar gives its clients up until it resumes."""

    def resume(self) -> tuple[bool, str]:
        """The end of the drain."""


class NoCallError(Exception):
    """What was asked for is no call; carries the HTTP status that says so, and the verb that is allowed."""


def call(verb: bytes, target: bytes, orders: Orders, told: Callable[[bool, str], None]) -> None:
    """Hands one call over. NoCallError if there is no such call."""
    try:
        path = httptools.parse_url(target).path or b""
        steps = [unquote_to_bytes(step).decode() for step in path.split(b"/")]
    except (httptools.HttpParserInvalidURLError, UnicodeDecodeError) as wrong:
        raise NoCallError(400) from wrong
    match steps:
        case ["", "-", "ready"]:
            allow(verb, b"GET")
            yes = orders.ready()
            told(yes, "takes clients" if yes else "takes no clients")
        case ["", "-", "upstreams", name, "disable" | "enable" as what] if name:
            allow(verb, b"POST")
            (orders.out if what == "disable" else orders.back)(name, told)
        case ["", "-", "drain" | "resume" as what]:
            allow(verb, b"POST")
            told(*(orders.drain() if what == "drain" else orders.resume()))
        case _:
            raise NoCallError(404)


def allow(verb: bytes, allowed: bytes) -> None:
    if verb != allowed:
        raise NoCallError(405, allowed)
