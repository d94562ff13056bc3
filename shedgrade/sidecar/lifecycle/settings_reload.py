"""Settings at a reload: merges the file with the running settings, and checks that no key is missing."""

from typing import Any

# Settings by which upstreams and sidecars are identified and counted; they need a restart.
FIXED_AT_START = ("az", "zones", "shapes", "membership_mode", "weight_kind", "report")


def merge_settings(held: dict[str, Any], fresh: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Returns the settings in force after the reload, and the keys that need a restart to follow the file."""
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
    """Returns the path of the first key that was there before and is missing now: the file is incomplete."""
    if isinstance(before, dict) and isinstance(now, dict):
        for key, held in before.items():
            if key not in now:
                return f"{path}{key}"
            found = missing_key(held, now[key], f"{path}{key}.")
            if found is not None:
                return found
    return None
