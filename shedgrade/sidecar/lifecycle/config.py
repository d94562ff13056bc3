"""The configuration file: read at the start and at each reload, and used only if all of it is valid."""

import os
from dataclasses import dataclass, field
from typing import Any

import orjson

from shedgrade.sidecar.lifecycle.settings_checks import deployment_problem, required_settings_problem
from shedgrade.upstream_pool.errors import ConfigError

Address = tuple[str, int]  # host and port

CONFIG_VARIABLE = "GW_CONFIG"  # path of the file, if the command line names none
ADMIN_VARIABLE = "GW_ADMIN_ADDR"  # the admin address, if the file has none
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
STARTUP_ONLY_KEYS = ("known", "seed")


@dataclass(frozen=True)
class Config:
    """One configuration file.

    Attributes:
        name: name of the sidecar.
        listen: address for clients.
        discovery: address of the discovery service.
        seed: seed of the random numbers.
        memory_mb: memory limit, in MB.
        sockets: limit for open file descriptors.
        known: the first list of upstreams, in the format of discovery; None if the file has none.
        settings: the settings of the upstream pool and its balancer.
        path: path of the file.
        admin: the admin address; None if there is none.
        contents: all keys of the file but STARTUP_ONLY_KEYS.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any] | None
    settings: dict[str, Any]
    path: str = ""
    admin: Address | None = None
    contents: dict[str, Any] = field(default_factory=dict)


def parse_address(text: object, label: str) -> Address:
    """Parses host:port. Raises ConfigError, whose message starts with `label`, for any other text."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{label}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def load_config(path: str | None = None) -> Config:
    """Reads and checks the file at `path`, or else the one that GW_CONFIG names.

    Raises ConfigError with one line on the first problem found.
    """
    path = path or os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"no configuration: {CONFIG_VARIABLE} is not set and no file was given")
    try:
        with open(path, "rb") as file:
            contents = orjson.loads(file.read())
    except OSError as failure:
        raise ConfigError(f"{path}: {failure.strerror}") from failure
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON ({error})") from error
    try:
        return parse_config(path, contents)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: a value has the wrong format ({error})") from error


def parse_config(path: str, contents: Any) -> Config:
    """Converts the file's JSON value to a Config.

    Raises ConfigError, KeyError, AttributeError, TypeError or ValueError if it is invalid.
    """
    limits = contents.get("limits", {})
    problem = deployment_problem(contents["settings"]) or required_settings_problem(contents["settings"])
    if problem is not None:
        raise ConfigError(f"{path}: {problem}")
    admin = contents.get("admin_addr", os.environ.get(ADMIN_VARIABLE))
    return Config(
        name=str(contents.get("name", "")),
        listen=parse_address(contents["listen"], "listen"),
        discovery=parse_address(contents["discovery"], "discovery"),
        seed=int(contents.get("seed", "0"), 16),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        known=contents.get("known"),
        settings=contents["settings"],
        path=path,
        admin=None if admin is None else parse_address(admin, f"{path}: admin_addr"),
        contents={key: value for key, value in contents.items() if key not in STARTUP_ONLY_KEYS},
    )
