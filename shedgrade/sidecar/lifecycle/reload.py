"""A reload: the configuration file is read again, checked as at a start, and applied at once.

The address of discovery, limits and settings change; the sidecar's name, its addresses and the settings that
identify upstreams need a restart. Requests in flight are not affected, and the endpoint list stays in use
until the new address of discovery has sent its own.
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

RESTART_ONLY_FIELDS = ("name", "listen", "admin")  # fields of `Config` that need a restart


@dataclass(frozen=True)
class CheckedReload:
    """A valid configuration file, and the part of it that can be applied now.

    Attributes:
        config: the file as read.
        settings: the settings in force after the reload.
        features: the features file; None if there is none.
        restart_needed: keys that differ from the running configuration and need a restart.
    """

    config: Config
    settings: dict[str, Any]
    features: "Features | None"
    restart_needed: list[str]


def reload(sidecar: "Sidecar") -> None:
    """Reloads the configuration. A file that is invalid, or lacks keys of the last one, changes nothing."""
    if sidecar.phase is Phase.CLOSED or sidecar.pool.watch is None:
        return
    try:
        checked = check(sidecar)
    except ConfigError as error:
        logger.warning("reload rejected, old configuration stays", error=" ".join(str(error).split()))
        return
    apply(sidecar, checked)


def check(sidecar: "Sidecar") -> CheckedReload:
    """Reads the file and checks it as at a start. Raises ConfigError if it is invalid."""
    current = sidecar.config
    loaded = load_config(current.path)
    missing = missing_key(current.contents, loaded.contents)
    if missing is not None:
        raise ConfigError(
            f"{loaded.path}: {missing}: found nothing; expected the key, as the running configuration has it"
        )
    settings, restart_only = merge_settings(current.settings, loaded.settings)
    type(sidecar)(replace(loaded, settings=settings), sidecar.loop)
    methods = {method["name"] for method in settings["methods"]}
    features = sidecar.load_features(methods) if sidecar.load_features is not None else None
    changed = [name for name in RESTART_ONLY_FIELDS if getattr(loaded, name) != getattr(current, name)]
    return CheckedReload(loaded, settings, features, changed + restart_only)


def apply(sidecar: "Sidecar", checked: CheckedReload) -> None:
    """Applies a checked reload."""
    loaded, settings = checked.config, checked.settings
    if settings != sidecar.config.settings:
        log_settings(sidecar.config.settings, settings)
        sidecar.pool.update_settings(settings)
    sidecar.config = replace(
        sidecar.config,
        discovery=loaded.discovery,
        sockets=loaded.sockets,
        memory_mb=loaded.memory_mb,
        settings=settings,
        contents=loaded.contents,
    )
    sidecar.budget.limit(loaded.sockets, loaded.memory_mb)
    sidecar.pool.move(loaded.discovery)
    for feature in sidecar.features:
        feature.reload(checked.features)
    host, port = loaded.discovery
    logger.info(
        "configuration reloaded",
        discovery=f"{host}:{port}",
        restart_needed=", ".join(checked.restart_needed),
    )


def log_settings(previous: dict[str, Any], new: dict[str, Any]) -> None:
    """Logs the number of methods, the attempt limit and the methods that were removed."""
    methods = {method["name"] for method in new["methods"]}
    removed = {method["name"] for method in previous["methods"]} - methods
    logger.info(
        "settings reloaded",
        methods=len(methods),
        max_transmissions=new["limits"]["most_transmissions"],
        removed=", ".join(sorted(removed)),
    )
