"""The configuration: read at the start and at each reload, complete or not at all."""

import os
from dataclasses import dataclass, field

import orjson

from shedgrade.sidecar.lifecycle.shape import problem, whole
from shedgrade.upstream_pool.errors import ConfigError


@dataclass(frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_mb: int
    sockets: int
    known: dict | None
    settings: dict
    path: str = ""
    admin: tuple[str, int] | None = None  # the operators' address, where one is told
    told: dict = field(default_factory=dict)  # the file as it is, but for what only a start looks at


def address(text: object, what: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{what}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def load(path: str | None = None) -> Config:
    path = path or os.environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("no configuration: GW_CONFIG is not set and no file was named")
    try:
        with open(path, "rb") as file:
            text = orjson.loads(file.read())
    except OSError as failure:
        raise ConfigError(f"{path}: {failure.strerror}") from failure
    except orjson.JSONDecodeError as wrong:
        raise ConfigError(f"{path}: not JSON ({wrong})") from wrong
    try:
        limits = text.get("limits", {})
        wrong = problem(text["settings"]) or whole(text["settings"])
        if wrong is not None:
            raise ConfigError(f"{path}: {wrong}")
        admin = text.get("admin_addr", os.environ.get("GW_ADMIN_ADDR"))
        return Config(
            str(text.get("name", "")),
            address(text["listen"], "listen"),
            address(text["discovery"], "discovery"),
            int(text.get("seed", "0"), 16),
            int(limits.get("memory_mb", 192)),
            int(limits.get("sockets", 1024)),
            text.get("known"),
            text["settings"],
            path,
            None if admin is None else address(admin, f"{path}: admin_addr"),
            {key: value for key, value in text.items() if key not in ("known", "seed")},
        )
    except KeyError as missing:
        raise ConfigError(f"{path}: {missing} is missing") from missing
    except (AttributeError, TypeError, ValueError) as wrong:
        raise ConfigError(f"{path}: a value has the wrong form ({wrong})") from wrong
