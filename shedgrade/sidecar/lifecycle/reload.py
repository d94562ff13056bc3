"""A reload: the configuration's file is read anew, checked as at a start, and put in force at once.

Discovery, limits and settings move; names, addresses and what upstreams are counted by are for a start.
Nothing in flight is touched, and the list stays until the new address of discovery has told its own.
"""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade.sidecar.lifecycle.config import Config, load_config
from shedgrade.sidecar.lifecycle.phases import Phase
from shedgrade.sidecar.lifecycle.settings_reload import merge_settings, missing_key
from shedgrade.upstream_pool.errors import ConfigError

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.features import Features
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

FIXED_AT_START = ("name", "listen", "admin")  # fields of `Config` that a reload does not change


@dataclass(frozen=True)
class CheckedReload:
    """A file that would start a sidecar, and what of it can be put in force now."""

    config: Config
    settings: dict[str, Any]
    features: "Features | None"
    restart_needed: list[str]  # keys that differ and are for a start


def reload(sidecar: "Sidecar") -> None:
    """Guards against a file that would not start a sidecar, or lacks what it had: it changes nothing."""
    if sidecar.phase is Phase.CLOSED or sidecar.pool.watch is None:
        return
    try:
        checked = check(sidecar)
    except ConfigError as error:
        logger.warning("reload rejected, old configuration stays", error=" ".join(str(error).split()))
        return
    apply(sidecar, checked)


def check(sidecar: "Sidecar") -> CheckedReload:
    """Reads the file and looks at it as a start would. ConfigError for what can't be."""
    before = sidecar.config
    fresh = load_config(before.path)
    missing = missing_key(before.contents, fresh.contents)
    if missing is not None:
        raise ConfigError(f"{fresh.path}: {missing}: found nothing; expected what was there before")
    settings, fixed = merge_settings(before.settings, fresh.settings)
    type(sidecar)(replace(fresh, settings=settings), sidecar.loop)
    methods = {method["name"] for method in settings["methods"]}
    features = sidecar.load_features(methods) if sidecar.load_features is not None else None
    changed = [name for name in FIXED_AT_START if getattr(fresh, name) != getattr(before, name)]
    return CheckedReload(fresh, settings, features, changed + fixed)


def apply(sidecar: "Sidecar", checked: CheckedReload) -> None:
    """Puts what was checked in force."""
    fresh, settings = checked.config, checked.settings
    if settings != sidecar.config.settings:
        log_settings(sidecar.config.settings, settings)
        sidecar.pool.retuned(settings)
    sidecar.config = replace(
        sidecar.config,
        discovery=fresh.discovery,
        sockets=fresh.sockets,
        memory_mb=fresh.memory_mb,
        settings=settings,
        contents=fresh.contents,
    )
    sidecar.budget.limit(fresh.sockets, fresh.memory_mb)
    sidecar.pool.move(fresh.discovery)
    for feature in sidecar.features:
        feature.reload(checked.features)
    host, port = fresh.discovery
    logger.info(
        "configuration reloaded",
        discovery=f"{host}:{port}",
        restart_needed=", ".join(checked.restart_needed),
    )


def log_settings(before: dict[str, Any], after: dict[str, Any]) -> None:
    """One line on what changed of the methods."""
    methods = {method["name"] for method in after["methods"]}
    removed = {method["name"] for method in before["methods"]} - methods
    logger.info(
        "settings reloaded",
        methods=len(methods),
        max_transmissions=after["limits"]["most_transmissions"],
        removed=", ".join(sorted(removed)),
    )
