"""Validators of single values. Each returns the value as the program uses it, or raises InvalidValueError."""

from collections.abc import Callable
from typing import TypeVar

from shedgrade.process_settings.errors import InvalidValueError

MAX_NUMBER = 1e15  # arithmetic on smaller numbers is exact

T = TypeVar("T")
Validator = Callable[[object], T]


def any_value(value: object) -> object:
    """Accepts any value."""
    return value


def non_empty_string(value: object) -> str:
    """A non-empty string."""
    if not isinstance(value, str) or not value:
        raise InvalidValueError(f"{value!r:.100} is not a non-empty string")
    return value


def boolean(value: object) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise InvalidValueError(f"{value!r:.100} is neither true nor false")
    return value


def number(value: object) -> int | float:
    """A finite number of at most MAX_NUMBER, positive or negative; its type is kept."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) <= MAX_NUMBER:
        raise InvalidValueError(f"{value!r:.100} is not a number")
    return value


def timing_bound(value: object) -> bool | int | float:
    """A known timing bound: true, false, or a number of at least 0."""
    return value if isinstance(value, bool) else at_least(0)(value)


def greater_than(minimum: float) -> Validator[float]:
    """A number greater than the minimum."""

    def validate_greater_than(value: object) -> float:
        if number(value) <= minimum:
            raise InvalidValueError(f"{value!r} is not above {minimum}")
        return float(number(value))

    return validate_greater_than


def at_least(minimum: float) -> Validator[int | float]:
    """A number not less than the minimum."""

    def validate_at_least(value: object) -> int | float:
        checked = number(value)
        if checked < minimum:
            raise InvalidValueError(f"{value!r} is below {minimum}")
        return checked

    return validate_at_least


def integer(minimum: int) -> Validator[int]:
    """A whole number not less than the minimum."""

    def validate_integer(value: object) -> int:
        checked = number(value)
        if checked != int(checked):
            raise InvalidValueError(f"{value!r} is not a whole number")
        return int(at_least(minimum)(checked))

    return validate_integer


def is_decimal(part: str) -> bool:
    """Whether the text consists of ASCII digits only."""
    return part.isdecimal() and part.isascii()


def ipv4_address(value: object) -> str:
    """A numeric IPv4 address; host names aren't resolved."""
    checked = non_empty_string(value)
    parts = checked.split(".")
    if len(parts) != 4 or not all(is_decimal(part) and int(part) < 256 for part in parts):
        raise InvalidValueError(f"{value!r:.100} is not an IPv4 address")
    return checked


def address(value: object) -> tuple[str, int]:
    """A numeric IPv4 address and a port, from "host:port"."""
    before, colon, port = non_empty_string(value).rpartition(":")
    if not colon or not (is_decimal(port) and 0 < int(port) < 65536):
        raise InvalidValueError(f"{value!r:.100} is not a host:port address")
    return ipv4_address(before), int(port)


def address_text(value: object) -> str:
    """The same as `address`, as text."""
    return "{}:{}".format(*address(value))


def port_range(value: object) -> tuple[int, int]:
    """The first and the last port of a range of at least two: one for TCP and one for UDP."""
    if not isinstance(value, list) or len(value) != 2:
        raise InvalidValueError(f"{value!r:.100} is not a pair of ports")
    first, last = (integer(1)(port) for port in value)
    if last > 65535 or last <= first:
        raise InvalidValueError(f"{first} to {last} is not a range of at least two ports")
    return first, last


def sequence_of(validate_item: Validator[T]) -> Validator[tuple[T, ...]]:
    """A list whose items `validate_item` accepts."""

    def validate_sequence(value: object) -> tuple[T, ...]:
        if not isinstance(value, list):
            raise InvalidValueError(f"{value!r:.100} is not a list")
        return tuple(at_path(validate_item, item, f"[{index}]") for index, item in enumerate(value))

    return validate_sequence


def mapping_of(validate_item: Validator[T]) -> Validator[dict[str, T]]:
    """A mapping with strings as keys, whose values `validate_item` accepts."""

    def validate_mapping(value: object) -> dict[str, T]:
        if not isinstance(value, dict):
            raise InvalidValueError(f"{value!r:.100} is not a mapping")
        return {
            at_path(non_empty_string, name, ""): at_path(validate_item, item, f".{name}")
            for name, item in value.items()
        }

    return validate_mapping


def at_path(validate_item: Validator[T], value: object, path: str) -> T:
    """Validates a part of a value. The error for it has the path of the part."""
    try:
        return validate_item(value)
    except InvalidValueError as error:
        raise InvalidValueError(error.text, path) from None
