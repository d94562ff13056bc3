"""Checks of the settings in the configuration file. A finding names the key, the value and what is allowed.

The checks use no validation library, so that a sidecar without optional features imports only what it uses
to serve.
"""

from collections.abc import Iterator
from math import isfinite
from typing import Any, NamedTuple

MISSING = object()
IDEMPOTENCY = ("repeatable", "by_key", "once")
WEIGHT_KINDS = ("off", "nominal", "rough", "live")
REPORT_CHANNELS = ("off", "on_probe", "inline")
MAX_SHOWN_CHARACTERS = 60  # of the value found

REQUIRED_TABLES = ("limits", "rules", "prices")
METHOD_DEADLINES = ("soft_deadline", "hard_deadline")
METHOD_AMOUNTS = ("payoff", "overdue_payoff", "repeat_window")
LIMIT_SWITCHES = ("parallel_tries", "cancelling", "retry_after")
LIMIT_TIMES = ("dial_timeout", "idle_close")
RULE_NUMBERS = ("ask_every", "cold", "cold_from", "fall_multiple", "stop_sending_within")


class Finding(NamedTuple):
    """One key with an invalid value.

    Attributes:
        key: its path in the settings.
        found: its value, or MISSING.
        expected: what is allowed.
    """

    key: str
    found: object
    expected: str

    def to_line(self) -> str:
        """Returns the finding as one line, with a long value shortened."""
        text = "nothing" if self.found is MISSING else repr(self.found)
        text = text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[: MAX_SHOWN_CHARACTERS - 3]}..."
        return f"{self.key}: found {text}; expected {self.expected}"


def deployment_problem(settings: object) -> str | None:
    """Returns one line about the first problem in the settings that describe the deployment, or None.

    A missing key has its default, which fits the first kind of deployment that sidecars were built for.
    """
    if not isinstance(settings, dict):
        return Finding("settings", settings, "a table").to_line()
    return first_line(deployment_findings(settings))


def required_settings_problem(settings: dict[str, Any]) -> str | None:
    """Returns one line about the first key that is missing or invalid for serving, or None."""
    return first_line(required_settings_findings(settings))


def first_line(findings: Iterator[Finding]) -> str | None:
    """Returns the first finding as a line, or None."""
    found = next(findings, None)
    return f"settings.{found.to_line()}" if found is not None else None


# --- settings that every sidecar needs; times are in ms


def required_settings_findings(settings: dict[str, Any]) -> Iterator[Finding]:
    """Yields findings in the settings that every sidecar needs."""
    for key in REQUIRED_TABLES:
        if not isinstance(settings.get(key), dict):
            yield Finding(key, settings.get(key, MISSING), "a table")
            return
    if not isinstance(settings.get("methods"), list) or not settings["methods"]:
        yield Finding("methods", settings.get("methods", MISSING), "a non-empty list of tables")
        return
    names: set[str] = set()
    for index, method in enumerate(settings["methods"]):
        yield from method_findings(f"methods[{index}]", method, names)
    yield from limit_findings(settings["limits"])
    for key in RULE_NUMBERS:
        yield from check_number(f"rules.{key}", settings["rules"].get(key, MISSING), 0, integer=False)
    yield from check_number("tick", settings.get("tick", MISSING), 0, integer=False)
    zones = settings.get("zones", MISSING)
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        yield Finding("zones", zones, "a non-empty list of names")
        return
    yield from check_number("az", settings.get("az", MISSING), 0, len(zones) - 1)


def method_findings(key: str, method: object, names: set[str]) -> Iterator[Finding]:
    """Yields findings in one method. `names`: names of the methods before this one; adds its name."""
    if not isinstance(method, dict):
        yield Finding(key, method, "a table")
        return
    name = method.get("name", MISSING)
    if not isinstance(name, str) or not name or name in names:
        yield Finding(f"{key}.name", name, "a name that no other method has")
    names.add(name if isinstance(name, str) else "")
    if method.get("idempotency") not in IDEMPOTENCY:
        found = method.get("idempotency", MISSING)
        yield Finding(f"{key}.idempotency", found, f"one of {', '.join(IDEMPOTENCY)}")
    if not isinstance(method.get("group"), str):
        yield Finding(f"{key}.group", method.get("group", MISSING), "a string")
    for field in METHOD_DEADLINES:
        yield from check_positive(f"{key}.{field}", method.get(field, MISSING))
    for field in METHOD_AMOUNTS:
        yield from check_number(f"{key}.{field}", method.get(field, MISSING), 0, integer=False)


def limit_findings(limits: dict[str, Any]) -> Iterator[Finding]:
    """Yields findings in those keys of `limits` that every sidecar needs."""
    yield from check_number("limits.most_transmissions", limits.get("most_transmissions", MISSING), 1)
    for key in LIMIT_SWITCHES:
        if not isinstance(limits.get(key), bool):
            yield Finding(f"limits.{key}", limits.get(key, MISSING), "true or false")
    max_retry_after = limits.get("max_retry_after", MISSING)
    yield from check_number("limits.max_retry_after", max_retry_after, 0, integer=False)
    for key in LIMIT_TIMES:
        yield from check_positive(f"limits.{key}", limits.get(key, MISSING))


# --- settings that describe the deployment


def deployment_findings(settings: dict[str, Any]) -> Iterator[Finding]:
    """Yields findings in the settings that describe the deployment.

    `limits.multiplex`: requests that a connection carries at once; above 1, each sidecar uses a subset of the
        upstreams of each zone.
    `balancers`: the number of sidecars; `my_number`: the number of this one, below `balancers`.
    `weight_kind`: the meaning of the list's weights; `live`: a size that shrinks under load.
    `customers[].allowance_per_s`: requests per second of a tenant, over all sidecars, that earn their full
        payoff; `excess_payoff`: the share of the payoff that requests beyond it earn.
    `objective_mix.slow_end`: weight of the part of the objective that counts in full while at most the share
        `miss_allowed` of requests misses the soft deadline.
    `rules.dropped_stay_open`: an upstream that the list drops without draining it stays in use.
    """
    limits, report = settings.get("limits", {}), settings.get("report", {})
    mix, rules = settings.get("objective_mix", {}), settings.get("rules", {})
    for key, table in (("limits", limits), ("report", report), ("objective_mix", mix), ("rules", rules)):
        if not isinstance(table, dict):
            yield Finding(key, table, "a table")
            return
    yield from check_number("limits.multiplex", limits.get("multiplex", 1), 1)
    yield from check_number("balancers", settings.get("balancers", 1), 1)
    yield from check_number("my_number", settings.get("my_number", 0), 0)
    yield from check_number("excess_payoff", settings.get("excess_payoff", 1.0), 0, 1, integer=False)
    yield from check_number("objective_mix.slow_end", mix.get("slow_end", 0.0), 0, integer=False)
    yield from check_number("objective_mix.miss_allowed", mix.get("miss_allowed", 0.0), 0, 1, integer=False)
    if not isinstance(rules.get("dropped_stay_open", False), bool):
        yield Finding("rules.dropped_stay_open", rules["dropped_stay_open"], "true or false")
    yield from check_choice("weight_kind", settings.get("weight_kind", "nominal"), WEIGHT_KINDS)
    yield from check_choice("report.via", report.get("via", "off"), REPORT_CHANNELS)
    customers = settings.get("customers", [])
    if not isinstance(customers, list):
        yield Finding("customers", customers, "a list of tables")
        return
    yield from customer_findings(customers)
    balancers, my_number = settings.get("balancers", 1), settings.get("my_number", 0)
    if limits.get("multiplex", 1) != 1 and my_number >= balancers:
        yield Finding("my_number", my_number, f"a number below settings.balancers, {balancers}")


def customer_findings(customers: list[object]) -> Iterator[Finding]:
    """Yields findings in the table of tenants."""
    for index, customer in enumerate(customers):
        key = f"customers[{index}]"
        if not isinstance(customer, dict) or "allowance_per_s" not in customer:
            yield Finding(key, customer, "a table with allowance_per_s")
        else:
            yield from check_number(f"{key}.allowance_per_s", customer["allowance_per_s"], 0, integer=False)


# --- single values


def check_choice(key: str, found: object, choices: tuple[str, ...]) -> Iterator[Finding]:
    """Yields a finding unless the value is one of `choices`."""
    if found not in choices:
        yield Finding(key, found, f"one of {', '.join(choices)}")


def check_positive(key: str, found: object) -> Iterator[Finding]:
    """Yields a finding unless the value is a finite number above 0."""
    if not (is_number(found, integer=False) and found > 0):  # type: ignore[operator]
        yield Finding(key, found, "a number over 0")


def check_number(
    key: str, found: object, minimum: float, maximum: float | None = None, integer: bool = True
) -> Iterator[Finding]:
    """Yields a finding unless the value is a finite number between the bounds, both included."""
    within = is_number(found, integer) and found >= minimum and (maximum is None or found <= maximum)  # type: ignore[operator]
    if not within:
        kind = "a whole number" if integer else "a number"
        yield Finding(key, found, f"{kind} from {minimum}" + ("" if maximum is None else f" to {maximum}"))


def is_number(found: object, integer: bool) -> bool:
    """Returns whether the value is a finite number; booleans are not numbers."""
    if isinstance(found, bool):
        return False
    return isinstance(found, int) or (not integer and isinstance(found, float) and isfinite(found))
