"""Settings at a reload: what of them holds at once, and whether the file is complete."""

from typing import Any

# What upstreams and sidecars are called and counted by.
FIXED_AT_START = ("az", "zones", "shapes", "membership_mode", "weight_kind", "report")


def merge_settings(held: dict[str, Any], fresh: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """The settings that hold after a reload, and the keys in which they differ from the file, as they are
    for a start."""
    merged = {**fresh, **{key: held[key] for key in FIXED_AT_START if key in held}}
    merged = {key: value for key, value in merged.items() if key in held or key not in FIXED_AT_START}
    limits = {**fresh["limits"]}
    if "multiplex" in held["limits"]:
        limits["multiplex"] = held["limits"]["multiplex"]
    else:
        limits.pop("multiplex", None)
    merged["limits"] = limits
    restart_needed = [f"settings.{key}" for key in FIXED_AT_START if fresh.get(key) != held.get(key)]
    if limits != fresh["limits"]:
        restart_needed.append("settings.limits.multiplex")
    return merged, restart_needed


def missing_key(before: object, now: object, path: str = "") -> str | None:
    """The first key that was there before and is not any more: such a file is not complete."""
    if isinstance(before, dict) and isinstance(now, dict):
        for key, held in before.items():
            if key not in now:
                return f"{path}{key}"
            found = missing_key(held, now[key], f"{path}{key}.")
            if found is not None:
                return found
    return None
