"""Reads the settings file and checks all of it; what is wrong is reported together, each with its place.

PyYAML and plain checks, no pyserde: an edge would keep its 10 MB (more where NumPy is installed) for one
read, taking the modules out again frees next to none of it, and it stops at the first thing wrong.
"""

import os
from collections.abc import Callable, Iterable

import yaml

from shedgrade.findings import Finding, Findings
from shedgrade.process_settings.settings import (
    BOUNDS,
    CloudApi,
    Limits,
    Settings,
    TimingBounds,
    ToleratedLosses,
)

VARIABLE = "SHEDGRADE_BOOT"
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
REQUIRED = object()
MOST = 1e15  # numbers are below it: all that is computed with them stays whole


class SettingsError(Exception):
    """The settings can't be used; `findings` say why, all together."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


class WrongValueError(Exception):
    """One value has the wrong form; its text says which is asked for."""


def explain(error: SettingsError) -> str:
    """One line a finding, for stderr; the command ends with status 2 then."""
    return "\n".join(f"settings: {finding}" for finding in error.findings)


def load(path: str | None = None) -> Settings:
    """The settings in the YAML file at `path`, or in the one that SHEDGRADE_BOOT names. SettingsError with
    all findings if it can't be read or something in it is missing, of a wrong type, or out of range."""
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise SettingsError([Finding(VARIABLE, "names no settings file")])
    try:
        with open(path, "rb") as file:
            told = yaml.load(file, Loader)
    except OSError as failure:
        raise SettingsError([Finding(path, failure.strerror or repr(failure))]) from failure
    except (yaml.YAMLError, ValueError, RecursionError) as failure:
        mark = getattr(failure, "problem_mark", None)
        line = f", line {mark.line + 1}" if mark else ""
        problem = getattr(failure, "problem", None) or "is no YAML"
        raise SettingsError([Finding(path + line, problem)]) from failure
    if not isinstance(told, dict):
        raise SettingsError([Finding(path, "is no mapping of names to values")])
    return validate(told)


def require(settings: Settings, listen: Iterable[str] = (), disk: bool = False) -> None:
    """SettingsError if a program's addresses to listen on, by their names, or its disk are left out."""
    found = Findings()
    for name in listen:
        if name not in settings.listen:
            found.add(f"listenAddresses.{name}", "is missing")
    if disk and settings.data_dir is None:
        found.add("dataDir", "is missing")
    if found:
        raise SettingsError(found)


def validate(told: dict) -> Settings:
    """Settings from the fields as in the file; unknown ones are ignored. SettingsError as for `load`."""
    found = Findings()
    top = Fields(told, "", found)
    zones = top.take("zones", mapping_of(text), REQUIRED)
    zone = top.take("zone", text, REQUIRED)
    if zones is not None and zone is not None and zone not in zones:
        found.add("zone", f"{zone!r} is not in zones")
    limits, tolerated, cloud = (top.inner(name) for name in ("limits", "toleratedLosses", "cloudApi"))
    settings = Settings(
        node_name=top.take("nodeName", text, REQUIRED),
        role=top.take("role", text, ""),
        machine_class=top.take("machineClass", text, ""),
        served_roles=top.take("servedRoles", several(text), REQUIRED),
        ip_address=top.take("ipAddress", host, REQUIRED),
        zone=zone,
        region=top.take("region", text, (zones or {}).get(zone, "")),
        zones=zones,
        listen=top.take("listenAddresses", mapping_of(address), {}),
        internal_ports=top.take("internalPortRange", ports, REQUIRED),
        seeds=top.take("seedNodes", several(address_as_text), REQUIRED),
        # Without these, nothing is founded a second time and no disk is counted on.
        initial_start=top.take("initialStart", flag, False),
        loss_counted=top.take("lossCounted", flag, False),
        limits=Limits(
            cpu_share=limits.take("cpuShare", above(0), 1.0),
            cores=limits.take("cores", whole(1), 1),
            memory_mb=limits.take("memoryMb", whole(1), REQUIRED),
            file_descriptors=limits.take("fileDescriptors", whole(1), REQUIRED),
            link_mbps=limits.take("linkMbps", above(0), 1000.0),
            disk_mb=limits.take("diskMb", whole(0), 0),
        ),
        data_dir=top.take("dataDir", text, None),
        heartbeat_ms=top.take("heartbeatMs", above(0), 1000.0),
        active_contracts=top.take("activeContracts", several(text), ()),
        tolerated=ToleratedLosses(
            *(
                tolerated.take(name, whole(0), REQUIRED if name == "machines" else 0)
                for name in ("machines", "zones", "regions")
            )
        ),
        bounds=TimingBounds(bounds(top.inner("timingBounds"))),
        cloud_api=CloudApi(
            address=cloud.take("address", address, REQUIRED),
            rate_per_s=cloud.take("ratePerS", above(0), REQUIRED),
            max_lag_ms=cloud.take("maxLagMs", at_least(0), 0.0),
            duty_list=cloud.take("dutyList", several(anything), ()),
        ),
    )
    if found:
        raise SettingsError(found)
    return settings


class Fields:
    """One mapping of the file; what is taken out of it is checked, and what is wrong goes to the findings."""

    def __init__(self, told: dict, place: str, found: Findings) -> None:
        self.told, self.place, self.found = told, place, found

    def inner(self, name: str) -> "Fields":
        """The mapping under `name`; an empty one if it is left out."""
        told = self.told.get(name)
        if told is not None and not isinstance(told, dict):
            self.found.add(self.place + name, "is no mapping")
        return Fields(told if isinstance(told, dict) else {}, f"{self.place}{name}.", self.found)

    def take(self, name: str, read: Callable, default: object) -> object:
        """The value as `read` makes it; `default` if it is left out or null, None if something is wrong."""
        value = self.told.get(name)
        if value is None:
            if default is not REQUIRED:
                return default
            self.found.add(self.place + name, "is missing")
            return None
        try:
            return read(value)
        except WrongValueError as wrong:
            inside, text = wrong.args if len(wrong.args) == 2 else ("", wrong.args[0])
            self.found.add(f"{self.place}{name}{inside}", text)
            return None


def bounds(fields: Fields) -> dict[str, float]:
    """Numbers and bools by name. What we don't use is left out if it is neither."""
    return {
        name: value
        for name in fields.told
        if isinstance(name, str)
        if (value := fields.take(name, bound if name in BOUNDS else anything, None)) is not None
        and isinstance(value, (bool, int, float))
    }


# --- one value each: what it is made to, or WrongValueError


def anything(value: object) -> object:
    return value


def text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise WrongValueError(f"{value!r:.100} is no text")
    return value


def flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise WrongValueError(f"{value!r:.100} is neither true nor false")
    return value


def number(value: object) -> int | float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) <= MOST:
        raise WrongValueError(f"{value!r:.100} is no number")
    return value


def bound(value: object) -> bool | int | float:
    """A bound that is used: true, false, or a number from 0 up."""
    return value if isinstance(value, bool) else at_least(0)(value)


def above(least: float) -> Callable:
    def read(value: object) -> float:
        if number(value) <= least:
            raise WrongValueError(f"{value!r} is not above {least}")
        return float(value)

    return read


def at_least(least: float) -> Callable:
    def read(value: object) -> int | float:
        if number(value) < least:
            raise WrongValueError(f"{value!r} is below {least}")
        return value

    return read


def whole(least: int) -> Callable:
    def read(value: object) -> int:
        if number(value) != int(value):
            raise WrongValueError(f"{value!r} is no whole number")
        return int(at_least(least)(value))

    return read


def host(value: object) -> str:
    """An IPv4 address by numbers: there are no name look-ups."""
    parts = text(value).split(".")
    if len(parts) != 4 or not all(part.isdecimal() and part.isascii() and int(part) < 256 for part in parts):
        raise WrongValueError(f"{value!r:.100} is no IPv4 address")
    return value


def address(value: object) -> tuple[str, int]:
    before, colon, port = text(value).rpartition(":")
    if not colon or not (port.isdecimal() and port.isascii() and 0 < int(port) < 65536):
        raise WrongValueError(f"{value!r:.100} is no host:port")
    return host(before), int(port)


def address_as_text(value: object) -> str:
    return "{}:{}".format(*address(value))


def ports(value: object) -> tuple[int, int]:
    """The first and the last; two are needed at the least, one for TCP and one for UDP."""
    if not isinstance(value, list) or len(value) != 2:
        raise WrongValueError(f"{value!r:.100} is no pair of ports")
    first, last = (whole(1)(port) for port in value)
    if last > 65535 or last <= first:
        raise WrongValueError(f"{first} to {last} are not two ports or more")
    return first, last


def several(read: Callable) -> Callable:
    def read_all(value: object) -> tuple:
        if not isinstance(value, list):
            raise WrongValueError(f"{value!r:.100} is no list")
        return tuple(placed(read, item, f"[{number}]") for number, item in enumerate(value))

    return read_all


def mapping_of(read: Callable) -> Callable:
    def read_all(value: object) -> dict:
        if not isinstance(value, dict):
            raise WrongValueError(f"{value!r:.100} is no mapping")
        return {placed(text, name, ""): placed(read, item, f".{name}") for name, item in value.items()}

    return read_all


def placed(read: Callable, value: object, place: str) -> object:
    try:
        return read(value)
    except WrongValueError as wrong:
        raise WrongValueError(place, wrong.args[-1]) from None
