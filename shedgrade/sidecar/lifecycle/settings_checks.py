"""Checks of the settings: a finding names the key, what was found, and what is allowed.

By hand, as a sidecar with everything off imports no more than it serves with.
"""

from collections.abc import Iterator
from math import isfinite
from typing import Any, NamedTuple

MISSING = object()
IDEMPOTENCY = ("repeatable", "by_key", "once")
WEIGHT_KINDS = ("off", "nominal", "rough", "live")
REPORTS = ("off", "on_probe", "inline")
MAX_SHOWN = 60  # characters of what was found

REQUIRED_TABLES = ("limits", "rules", "prices")
METHOD_DEADLINES = ("soft_deadline", "hard_deadline")
METHOD_AMOUNTS = ("payoff", "overdue_payoff", "repeat_window")
LIMIT_SWITCHES = ("parallel_tries", "cancelling", "retry_after")
LIMIT_TIMES = ("dial_timeout", "idle_close")
RULE_NUMBERS = ("ask_every", "cold", "cold_from", "fall_multiple", "stop_sending_within")


class Finding(NamedTuple):
    """One key that is not as it should be."""

    key: str
    found: object
    expected: str

    def line(self) -> str:
        """In one line, with what was found shortened."""
        text = "nothing" if self.found is MISSING else repr(self.found)
        text = text if len(text) <= MAX_SHOWN else f"{text[: MAX_SHOWN - 3]}..."
        return f"{self.key}: found {text}; expected {self.expected}"


def shape_problem(settings: object) -> str | None:
    """What is wrong with the settings that say of what shape a deployment is, in one line, or None. A key
    that is missing has its default, the shape that sidecars were made for."""
    if not isinstance(settings, dict):
        return Finding("settings", settings, "a table").line()
    return first_line(shape_findings(settings))


def completeness_problem(settings: dict[str, Any]) -> str | None:
    """What the settings lack to serve with, or what in them is of no use, in one line, or None."""
    return first_line(completeness_findings(settings))


def first_line(findings: Iterator[Finding]) -> str | None:
    """The first finding, if any."""
    found = next(findings, None)
    return f"settings.{found.line()}" if found is not None else None


# --- what every sidecar needs; times are in ms


def completeness_findings(settings: dict[str, Any]) -> Iterator[Finding]:
    """What every sidecar needs."""
    for key in REQUIRED_TABLES:
        if not isinstance(settings.get(key), dict):
            yield Finding(key, settings.get(key, MISSING), "a table")
            return
    if not isinstance(settings.get("methods"), list) or not settings["methods"]:
        yield Finding("methods", settings.get("methods", MISSING), "a list of tables, one at least")
        return
    names: set[str] = set()
    for number, method in enumerate(settings["methods"]):
        yield from method_findings(f"methods[{number}]", method, names)
    yield from limit_findings(settings["limits"])
    for key in RULE_NUMBERS:
        yield from check_number(f"rules.{key}", settings["rules"].get(key, MISSING), 0, whole=False)
    yield from check_number("tick", settings.get("tick", MISSING), 0, whole=False)
    zones = settings.get("zones", MISSING)
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        yield Finding("zones", zones, "a list of names, one at least")
        return
    yield from check_number("az", settings.get("az", MISSING), 0, len(zones) - 1)


def method_findings(key: str, method: object, names: set[str]) -> Iterator[Finding]:
    """One method; `names`: those of the methods before it, to which its own is added."""
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
        yield Finding(f"{key}.group", method.get("group", MISSING), "a text")
    for field in METHOD_DEADLINES:
        yield from check_positive(f"{key}.{field}", method.get(field, MISSING))
    for field in METHOD_AMOUNTS:
        yield from check_number(f"{key}.{field}", method.get(field, MISSING), 0, whole=False)


def limit_findings(limits: dict[str, Any]) -> Iterator[Finding]:
    """The table `limits`, as far as every sidecar needs it."""
    yield from check_number("limits.most_transmissions", limits.get("most_transmissions", MISSING), 1)
    for key in LIMIT_SWITCHES:
        if not isinstance(limits.get(key), bool):
            yield Finding(f"limits.{key}", limits.get(key, MISSING), "true or false")
    max_retry_after = limits.get("max_retry_after", MISSING)
    yield from check_number("limits.max_retry_after", max_retry_after, 0, whole=False)
    for key in LIMIT_TIMES:
        yield from check_positive(f"limits.{key}", limits.get(key, MISSING))


# --- the shape of a deployment


def shape_findings(settings: dict[str, Any]) -> Iterator[Finding]:
    """What says of what shape a deployment is.

    `limits.multiplex`: requests that a connection carries at once; over 1, sidecars keep to a part of each
    zone. `balancers`: sidecars in all; `my_number`: this one's, below that. `weight_kind`: what the list's
    weights are; `live`: a size that load lowers. `customers[].allowance_per_s`: a tenant's requests a second,
    over all sidecars, that are worth their payoff; `excess_payoff`: what is left of it beyond them.
    `objective_mix.slow_end`: the weight of the part that counts in full while at most the share
    `miss_allowed` of requests misses the soft deadline; `rules.dropped_stay_open`: only draining binds, not
    what the list lacks.
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
    yield from check_number("excess_payoff", settings.get("excess_payoff", 1.0), 0, 1, whole=False)
    yield from check_number("objective_mix.slow_end", mix.get("slow_end", 0.0), 0, whole=False)
    yield from check_number("objective_mix.miss_allowed", mix.get("miss_allowed", 0.0), 0, 1, whole=False)
    if not isinstance(rules.get("dropped_stay_open", False), bool):
        yield Finding("rules.dropped_stay_open", rules["dropped_stay_open"], "true or false")
    yield from check_choice("weight_kind", settings.get("weight_kind", "nominal"), WEIGHT_KINDS)
    yield from check_choice("report.via", report.get("via", "off"), REPORTS)
    customers = settings.get("customers", [])
    if not isinstance(customers, list):
        yield Finding("customers", customers, "a list of tables")
        return
    yield from customer_findings(customers)
    balancers, my_number = settings.get("balancers", 1), settings.get("my_number", 0)
    if limits.get("multiplex", 1) != 1 and my_number >= balancers:
        yield Finding("my_number", my_number, f"a number below settings.balancers, {balancers}")


def customer_findings(customers: list[object]) -> Iterator[Finding]:
    """The table of tenants."""
    for number, customer in enumerate(customers):
        key = f"customers[{number}]"
        if not isinstance(customer, dict) or "allowance_per_s" not in customer:
            yield Finding(key, customer, "a table with allowance_per_s")
        else:
            yield from check_number(f"{key}.allowance_per_s", customer["allowance_per_s"], 0, whole=False)


# --- single values


def check_choice(key: str, found: object, choices: tuple[str, ...]) -> Iterator[Finding]:
    """One of some words."""
    if found not in choices:
        yield Finding(key, found, f"one of {', '.join(choices)}")


def check_positive(key: str, found: object) -> Iterator[Finding]:
    """A finite number over 0."""
    if not (is_number(found, whole=False) and found > 0):  # type: ignore[operator]
        yield Finding(key, found, "a number over 0")


def check_number(
    key: str, found: object, least: float, most: float | None = None, whole: bool = True
) -> Iterator[Finding]:
    """A finite number within bounds, both included."""
    within = is_number(found, whole) and found >= least and (most is None or found <= most)  # type: ignore[operator]
    if not within:
        kind = "a whole number" if whole else "a number"
        yield Finding(key, found, f"{kind} from {least}" + ("" if most is None else f" to {most}"))


def is_number(found: object, whole: bool) -> bool:
    """A finite number; true and false are none."""
    if isinstance(found, bool):
        return False
    return isinstance(found, int) or (not whole and isinstance(found, float) and isfinite(found))
