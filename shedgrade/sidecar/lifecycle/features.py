"""The features file: TOML with one table per feature, which is enabled if its table is present.

Imported only when a features file is given.
"""

import tomllib
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from pathlib import Path

import msgspec

from shedgrade.sidecar.capture.config import CaptureConfig
from shedgrade.sidecar.endpoint_snapshot.config import SavedListConfig
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.config_checks import find_problems as find_quota_problems
from shedgrade.sidecar.shadow_policy.config import ShadowPolicyConfig
from shedgrade.sidecar.tunnel.config import PoolTable, ProxyTable, Tunnel, check
from shedgrade.upstream_pool.errors import ConfigError


class Features(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The tables of the features file, one field per table.

    A feature is disabled if its field is None or empty. The class of each field documents the table's keys.
    """

    saved: SavedListConfig | None = None
    capture: CaptureConfig | None = None
    quota: Quota | None = None
    watch: ShadowPolicyConfig | None = None
    tunnel: Tunnel | None = None
    pools: dict[str, PoolTable] = msgspec.field(default_factory=dict)
    proxies: dict[str, ProxyTable] = msgspec.field(default_factory=dict)


def load_features(path: str | Path, methods: AbstractSet[str] = frozenset()) -> Features:
    """Reads and checks the whole file. `methods`: names of the methods in the sidecar's settings.

    Raises ConfigError with one line that names the file, the key, what was found and what is allowed.
    """
    features = parse(path, read(path))
    for key, reason in find_problems(features):
        raise ConfigError(f"{path}: {key}: {reason}")
    try:
        check(features.tunnel, features.pools, features.proxies, set(methods))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    return features


def read(path: str | Path) -> dict[str, object]:
    """Returns the tables of the file. Raises ConfigError if it can't be read or is not TOML."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as failure:
        raise ConfigError(f"{path}: {failure.strerror}") from failure
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from error


def parse(path: str | Path, tables: dict[str, object]) -> Features:
    """Converts the tables. Raises ConfigError for unknown keys and values of the wrong type."""
    try:
        return msgspec.convert(tables, Features)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `")
        key = place.rstrip("`").removeprefix("$.") or "file"
        raise ConfigError(f"{path}: {key}: {reason}") from error


def find_problems(features: Features) -> Iterator[tuple[str, str]]:
    """Yields (key, reason) for each problem that the types alone do not rule out."""
    if features.saved is not None:
        yield from prefixed("saved", features.saved.find_problems())
    if features.capture is not None:
        yield from prefixed("capture", features.capture.find_problems())
    if features.watch is not None:
        yield from prefixed("watch", features.watch.find_problems())
    if features.quota is not None:
        yield from prefixed("quota", find_quota_problems(features.quota))


def prefixed(table: str, found: Iterator[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """Returns the same problems, each key prefixed with the name of its table."""
    return ((f"{table}.{key}", reason) for key, reason in found)
