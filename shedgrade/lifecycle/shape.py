"""The settings that say of what shape a deployment is, checked: an error names key, what was found, what is
allowed. Where a key is missing, the default is the shape that sidecars were made for."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Whole = Annotated[int, Meta(ge=0)]
Part = Annotated[float, Meta(ge=0, le=1)]


class Limits(Struct):
    """`multiplex`: RPCs that a connection carries at once. Over 1, sidecars keep to a part of each zone."""

    multiplex: Annotated[int, Meta(ge=1)] = 1


class Customer(Struct):
    """A tenant; `allowance_per_s`: its RPCs a second, over all sidecars, that are worth their payoff."""

    allowance_per_s: Annotated[float, Meta(ge=0)]
    name: str = ""


class Report(Struct):
    """How upstreams tell their load; nothing is decided by it (docs/assumptions.md)."""

    via: Literal["off", "on_probe", "inline"] = "off"
    fields: list[str] = field(default_factory=list)


class Shape(Struct):
    """`balancers`: sidecars in all; `my_number`: this one's, below that. `weight_kind`: what the list's
    weights are; `live`: a size that load lowers. `excess_payoff`: what is left of payoff beyond a tenant's
    allowance."""

    balancers: Annotated[int, Meta(ge=1)] = 1
    my_number: Whole = 0
    weight_kind: Literal["off", "nominal", "rough", "live"] = "nominal"
    customers: list[Customer] = field(default_factory=list)
    excess_payoff: Part = 1.0
    limits: Limits = field(default_factory=Limits)
    report: Report = field(default_factory=Report)


def problem(settings: object) -> str | None:
    """What is wrong with the settings' shape, in one line: key, what was found, what is allowed."""
    try:
        shape = msgspec.convert(settings, Shape)
    except msgspec.ValidationError as wrong:
        allowed, _, where = str(wrong).partition(" - at `")
        key = where.rstrip("`").removeprefix("$").removeprefix(".")
        found = at(settings, key)
        return f"settings{'.' * bool(key)}{key}: found {short(found)}; {allowed[:1].lower()}{allowed[1:]}"
    if shape.limits.multiplex > 1 and shape.my_number >= shape.balancers:
        return (f"settings.my_number: found {shape.my_number}; expected a number below settings.balancers, "
                f"{shape.balancers}")
    return None


def at(tree: object, key: str) -> object:
    """What stands under a key such as `customers[0].name`."""
    for step in key.replace("[", ".").replace("]", "").split("."):
        if not step:
            continue
        try:
            tree = tree[int(step)] if isinstance(tree, list) else tree[step]
        except (IndexError, KeyError, TypeError, ValueError):
            return None
    return tree


def short(found: object) -> str:
    text = repr(found)
    return text if len(text) <= 60 else f"{text[:57]}..."
