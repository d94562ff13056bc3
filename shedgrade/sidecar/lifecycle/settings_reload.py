"""Settings at a reload: merges the file with the running settings, and checks that no key is missing."""

from typing import Any

# Settings by which upstreams and sidecars are identified and counted; they need a restart.
RESTART_ONLY_KEYS = ("az", "zones", "shapes", "membership_mode", "weight_kind", "report")


def merge_settings(current: dict[str, Any], loaded: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Returns the settings in force after the reload, and the keys that need a restart to follow the file."""
    merged = {**loaded, **{key: current[key] for key in RESTART_ONLY_KEYS if key in current}}
    merged = {key: value for key, value in merged.items() if key in current or key not in RESTART_ONLY_KEYS}
    limits = {**loaded["limits"]}
    if "multiplex" in current["limits"]:
        limits["multiplex"] = current["limits"]["multiplex"]
    else:
        limits.pop("multiplex", None)
    merged["limits"] = limits
    restart_needed = [f"settings.{key}" for key in RESTART_ONLY_KEYS if loaded.get(key) != current.get(key)]
    if limits != loaded["limits"]:
        restart_needed.append("settings.limits.multiplex")
    return merged, restart_needed


def missing_key(previous: object, current: object, path: str = "") -> str | None:
    """Returns the path of the first key of `previous` that `current` lacks; None if it has all keys."""
    if isinstance(previous, dict) and isinstance(current, dict):
        for key, value in previous.items():
            if key not in current:
                return f"{path}{key}"
            missing = missing_key(value, current[key], f"{path}{key}.")
            if missing is not None:
                return missing
    return None
