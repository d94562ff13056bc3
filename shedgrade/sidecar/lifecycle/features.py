"""The features file: one TOML, a table for each feature, on if its table is there. Imported only when one
is named."""

import tomllib
from pathlib import Path

import msgspec

from shedgrade.sidecar.capture.config import Capture
from shedgrade.sidecar.endpoint_snapshot.config import Saved
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.config_checks import problems as quota_problems
from shedgrade.sidecar.shadow_policy.config import Watch
from shedgrade.sidecar.tunnel.config import PoolTable, ProxyTable, Tunnel, check
from shedgrade.upstream_pool.errors import ConfigError


class Features(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What is on. A feature's own keys are described where it is."""

    saved: Saved | None = None
    capture: Capture | None = None
    quota: Quota | None = None
    watch: Watch | None = None
    tunnel: Tunnel | None = None
    pools: dict[str, PoolTable] = msgspec.field(default_factory=dict)
    proxies: dict[str, ProxyTable] = msgspec.field(default_factory=dict)


def load_features(path: str | Path, methods: set[str] = frozenset()) -> Features:
    """`methods`: names of the platform's own. Reads and checks the whole file. ConfigError: one line with
    file, key, what was found and what is allowed."""
    try:
        tree = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as failure:
        raise ConfigError(f"{path}: {failure.strerror}") from failure
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise ConfigError(f"{path}: not TOML: {wrong}") from wrong
    try:
        features = msgspec.convert(tree, Features)
    except msgspec.ValidationError as wrong:
        what, _, where = str(wrong).partition(" - at `")
        raise ConfigError(f"{path}: {where.rstrip('`').removeprefix('$.') or 'file'}: {what}") from wrong
    if features.saved is not None:
        for key, reason in features.saved.problems():
            raise ConfigError(f"{path}: saved.{key}: {reason}")
    if features.capture is not None:
        for key, reason in features.capture.problems():
            raise ConfigError(f"{path}: capture.{key}: {reason}")
    if features.watch is not None:
        for key, reason in features.watch.problems():
            raise ConfigError(f"{path}: watch.{key}: {reason}")
    if features.quota is not None:
        for key, reason in quota_problems(features.quota):
            raise ConfigError(f"{path}: quota.{key}: {reason}")
    try:
        check(features.tunnel, features.pools, features.proxies, set(methods))
    except ConfigError as wrong:
        raise ConfigError(f"{path}: {wrong}") from wrong
    return features
