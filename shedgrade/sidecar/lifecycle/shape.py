"""The settings that say of what shape a deployment is, checked: an error names key, what was found, what is
allowed. A key that is missing has its default, the shape that sidecars were made for.

By hand, as a sidecar with everything off imports no more than it serves with.
"""

from collections.abc import Iterator
from math import isfinite

MISSING = object()
AT_START = ("az", "zones", "shapes", "membership_mode", "weight_kind", "report")
KINDS = ("repeatable", "by_key", "once")
WEIGHTS = ("off", "nominal", "rough", "live")
REPORTS = ("off", "on_probe", "inline")


def problem(settings: object) -> str | None:
    """What is wrong with the settings' shape, in one line, or None."""
    if not isinstance(settings, dict):
        return f"settings: found {short(settings)}; expected a table"
    found = next(problems(settings), None)
    return found and f"settings.{found[0]}: found {short(found[1])}; expected {found[2]}"


def whole(settings: object) -> str | None:
    """What the settings lack to serve with, or what in them is of no use, in one line, or None."""
    found = next(gaps(settings), None)
    return found and f"settings.{found[0]}: found {short(found[1])}; expected {found[2]}"


def gaps(settings: dict) -> Iterator[tuple[str, object, str]]:
    """Yields (key, what was found, what is allowed) of what every sidecar needs; times are in ms."""
    for key in ("limits", "rules", "prices"):
        if not isinstance(settings.get(key), dict):
            yield key, settings.get(key, MISSING), "a table"
            return
    if not isinstance(settings.get("methods"), list) or not settings["methods"]:
        yield "methods", settings.get("methods", MISSING), "a list of tables, one at least"
        return
    names = set()
    for place, method in enumerate(settings["methods"]):
        key = f"methods[{place}]"
        if not isinstance(method, dict):
            yield key, method, "a table"
            return
        name = method.get("name", MISSING)
        if not isinstance(name, str) or not name or name in names:
            yield f"{key}.name", name, "a name that no other method has"
        names.add(name if isinstance(name, str) else "")
        if method.get("idempotency") not in KINDS:
            yield f"{key}.idempotency", method.get("idempotency", MISSING), f"one of {', '.join(KINDS)}"
        if not isinstance(method.get("group"), str):
            yield f"{key}.group", method.get("group", MISSING), "a text"
        for field in ("soft_deadline", "hard_deadline"):
            yield from positive(f"{key}.{field}", method.get(field, MISSING))
        for field in ("payoff", "overdue_payoff", "repeat_window"):
            yield from number(f"{key}.{field}", method.get(field, MISSING), 0, whole=False)
    limits, rules = settings["limits"], settings["rules"]
    yield from number("limits.most_transmissions", limits.get("most_transmissions", MISSING), 1)
    for key in ("parallel_tries", "cancelling", "retry_after"):
        if not isinstance(limits.get(key), bool):
            yield f"limits.{key}", limits.get(key, MISSING), "true or false"
    yield from number("limits.max_retry_after", limits.get("max_retry_after", MISSING), 0, whole=False)
    for key in ("dial_timeout", "idle_close"):
        yield from positive(f"limits.{key}", limits.get(key, MISSING))
    for key in ("ask_every", "cold", "cold_from", "fall_multiple", "stop_sending_within"):
        yield from number(f"rules.{key}", rules.get(key, MISSING), 0, whole=False)
    yield from number("tick", settings.get("tick", MISSING), 0, whole=False)
    zones = settings.get("zones", MISSING)
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        yield "zones", zones, "a list of names, one at least"
        return
    yield from number("az", settings.get("az", MISSING), 0, len(zones) - 1)


def tuned(held: dict, fresh: dict) -> tuple[dict, list[str]]:
    """The settings that hold after a reload, and the keys in which they differ from the file: what upstreams
    and sidecars are called and counted by is for a start."""
    made = {**fresh, **{key: held[key] for key in AT_START if key in held}}
    limits = {**fresh["limits"]}
    if "multiplex" in held["limits"]:
        limits["multiplex"] = held["limits"]["multiplex"]
    else:
        limits.pop("multiplex", None)
    made["limits"] = limits
    later = [f"settings.{key}" for key in AT_START if fresh.get(key) != held.get(key)]
    made = {key: value for key, value in made.items() if key in held or key not in AT_START}
    return made, later + (["settings.limits.multiplex"] if limits != fresh["limits"] else [])


def lost(before: object, now: object, path: str = "") -> str | None:
    """The first key that was told before and is not there any more: such a file is not complete."""
    if isinstance(before, dict) and isinstance(now, dict):
        for key, held in before.items():
            if key not in now:
                return f"{path}{key}"
            found = lost(held, now[key], f"{path}{key}.")
            if found is not None:
                return found
    return None


def problems(settings: dict) -> Iterator[tuple[str, object, str]]:
    """Yields (key, what was found, what is allowed).

    `limits.multiplex`: RPCs that a connection carries at once; over 1, sidecars keep to a part of each zone.
    `balancers`: sidecars in all; `my_number`: this one's, below that. `weight_kind`: what the list's weights
    are; `live`: a size that load lowers. `customers[].allowance_per_s`: a tenant's RPCs a second, over all
    sidecars, that are worth their payoff; `excess_payoff`: what is left of it beyond them.
    `objective_mix.slow_end`: the weight of the part that counts in full while at most the share
    `miss_allowed` of RPCs misses the soft deadline; `rules.dropped_stay_open`: only draining binds,
    not what the list lacks.
    """
    limits, report = settings.get("limits", {}), settings.get("report", {})
    mix, rules = settings.get("objective_mix", {}), settings.get("rules", {})
    customers = settings.get("customers", [])
    for key, table in (("limits", limits), ("report", report), ("objective_mix", mix), ("rules", rules)):
        if not isinstance(table, dict):
            yield key, table, "a table"
            return
    yield from number("limits.multiplex", limits.get("multiplex", 1), 1)
    yield from number("balancers", settings.get("balancers", 1), 1)
    yield from number("my_number", settings.get("my_number", 0), 0)
    yield from number("excess_payoff", settings.get("excess_payoff", 1.0), 0, 1, whole=False)
    yield from number("objective_mix.slow_end", mix.get("slow_end", 0.0), 0, whole=False)
    yield from number("objective_mix.miss_allowed", mix.get("miss_allowed", 0.0), 0, 1, whole=False)
    if not isinstance(rules.get("dropped_stay_open", False), bool):
        yield "rules.dropped_stay_open", rules["dropped_stay_open"], "true or false"
    for key, kind, kinds in (
        ("weight_kind", settings.get("weight_kind", "nominal"), WEIGHTS),
        ("report.via", report.get("via", "off"), REPORTS),
    ):
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
        yield (
            "my_number",
            settings.get("my_number", 0),
            (f"a number below settings.balancers, {settings.get('balancers', 1)}"),
        )


def positive(key: str, found: object) -> Iterator:
    sound = isinstance(found, (int, float)) and not isinstance(found, bool)
    if not (sound and isfinite(found) and found > 0):
        yield key, found, "a number over 0"


def number(key: str, found: object, least: float, most: float | None = None, whole: bool = True) -> Iterator:
    sound = isinstance(found, int if whole else (int, float)) and not isinstance(found, bool)
    if not (sound and isfinite(found) and found >= least and (most is None or found <= most)):
        kind = "a whole number" if whole else "a number"
        yield key, found, f"{kind} from {least}" + ("" if most is None else f" to {most}")


def short(found: object) -> str:
    text = "nothing" if found is MISSING else repr(found)
    return text if len(text) <= 60 else f"{text[:57]}..."
