"""The settings that say of what shape a deployment is, checked: an error names key, what was found, what is
allowed. A key that is missing has its default, the shape that sidecars were made for.

By hand, as a sidecar with everything off imports no more than it serves with.
"""

from collections.abc import Iterator
from math import isfinite

WEIGHTS = ("off", "nominal", "rough", "live")
REPORTS = ("off", "on_probe", "inline")


def problem(settings: object) -> str | None:
    """What is wrong with the settings' shape, in one line, or None."""
    if not isinstance(settings, dict):
        return f"settings: found {short(settings)}; expected a table"
    found = next(problems(settings), None)
    return found and f"settings.{found[0]}: found {short(found[1])}; expected {found[2]}"


def problems(settings: dict) -> Iterator[tuple[str, object, str]]:
    """Yields (key, what was found, what is allowed).

    `limits.multiplex`: RPCs that a connection carries at once; over 1, sidecars keep to a part of each zone.
    `balancers`: sidecars in all; `my_number`: this one's, below that. `weight_kind`: what the list's weights
    are; `live`: a size that load lowers. `customers[].allowance_per_s`: a tenant's RPCs a second, over all
    sidecars, that are worth their payoff; `excess_payoff`: what is left of it beyond them.
    """
    limits, report = settings.get("limits", {}), settings.get("report", {})
    customers = settings.get("customers", [])
    for key, table in (("limits", limits), ("report", report)):
        if not isinstance(table, dict):
            yield key, table, "a table"
            return
    yield from number("limits.multiplex", limits.get("multiplex", 1), 1)
    yield from number("balancers", settings.get("balancers", 1), 1)
    yield from number("my_number", settings.get("my_number", 0), 0)
    yield from number("excess_payoff", settings.get("excess_payoff", 1.0), 0, 1, whole=False)
    for key, kind, kinds in (("weight_kind", settings.get("weight_kind", "nominal"), WEIGHTS),
                             ("report.via", report.get("via", "off"), REPORTS)):
        if kind not in kinds:
            yield key, kind, f"one of {', '.join(kinds)}"
    if not isinstance(customers, list):
        yield "customers", customers, "a list of tables"
        return
    for place, customer in enumerate(customers):
        if not isinstance(customer, dict) or "allowance_per_s" not in customer:
            yield f"customers[{place}]", customer, "a table with allowance_per_s"
        else:
            key = f"customers[{place}].allowance_per_s"
            yield from number(key, customer["allowance_per_s"], 0, whole=False)
    if limits.get("multiplex", 1) != 1 and settings.get("my_number", 0) >= settings.get("balancers", 1):
        yield "my_number", settings.get("my_number", 0), (
            f"a number below settings.balancers, {settings.get('balancers', 1)}")


def number(key: str, found: object, least: float, most: float | None = None, whole: bool = True) -> Iterator:
    sound = isinstance(found, int if whole else (int, float)) and not isinstance(found, bool)
    if not (sound and isfinite(found) and found >= least and (most is None or found <= most)):
        kind = "a whole number" if whole else "a number"
        yield key, found, f"{kind} from {least}" + ("" if most is None else f" to {most}")


def short(found: object) -> str:
    text = repr(found)
    return text if len(text) <= 60 else f"{text[:57]}..."
