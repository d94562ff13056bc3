"""Validates all settings at once and reports all findings together, each with its place.

These are plain checks instead of pyserde's: pyserde stops at the first finding, and an edge would keep its
10 MB (more if NumPy is installed) in memory for a single read, since unloading its modules frees almost none
of it.
"""

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar, cast

from shedgrade.findings import Findings
from shedgrade.process_settings.errors import InvalidValueError, SettingsError
from shedgrade.process_settings.settings import (
    DEFAULT_BOUNDS,
    CloudApi,
    Limits,
    Settings,
    TimingBounds,
    ToleratedLosses,
)
from shedgrade.process_settings.validators import (
    Validator,
    address,
    address_text,
    any_value,
    at_least,
    boolean,
    greater_than,
    integer,
    ipv4_address,
    mapping_of,
    non_empty_string,
    port_range,
    sequence_of,
    timing_bound,
)

T = TypeVar("T")
D = TypeVar("D")


class Section:
    """A mapping in the file. Values are validated as they are read; each invalid one adds a finding.

    Attributes:
        values: the mapping as it is in the file.
        path: prefix of the places of findings: the section's name with a trailing dot; "" at the top level.
        findings: of all sections together.
    """

    def __init__(self, values: Mapping[Any, object], path: str, findings: Findings) -> None:
        self.values = values
        self.path = path
        self.findings = findings

    def section(self, name: str) -> "Section":
        """The mapping under `name`; an empty one if it is left out, or not a mapping, which is a finding."""
        values = self.values.get(name)
        if values is not None and not isinstance(values, dict):
            self.findings.add(self.path + name, "is not a mapping")
        return Section(values if isinstance(values, dict) else {}, f"{self.path}{name}.", self.findings)

    def required(self, name: str, validator: Validator[T]) -> T:
        """The validated value; a finding if it is left out or null."""
        value = self.values.get(name)
        if value is None:
            self.findings.add(self.path + name, "is missing")
            return cast(T, None)  # never used: the finding ends in a SettingsError
        return self.checked(name, validator, value)

    def optional(self, name: str, validator: Validator[T], default: D) -> T | D:
        """The validated value; the default if it is left out or null."""
        value = self.values.get(name)
        return default if value is None else self.checked(name, validator, value)

    def checked(self, name: str, validator: Validator[T], value: object) -> T:
        """The value that the validator returns; a finding if the value is invalid."""
        try:
            return validator(value)
        except InvalidValueError as error:
            self.findings.add(f"{self.path}{name}{error.path}", error.text)
            return cast(T, None)  # never used: the finding ends in a SettingsError


def validate(document: Mapping[Any, object]) -> Settings:
    """The settings in a parsed file; unknown names are ignored. SettingsError with all findings if something
    is missing, of a wrong type or out of range."""
    findings = Findings()
    top = Section(document, "", findings)
    zones = top.required("zones", mapping_of(non_empty_string))
    zone = top.required("zone", non_empty_string)
    if zones is not None and zone is not None and zone not in zones:
        findings.add("zone", f"{zone!r} is not in zones")
    settings = Settings(
        node_name=top.required("nodeName", non_empty_string),
        role=top.optional("role", non_empty_string, ""),
        machine_class=top.optional("machineClass", non_empty_string, ""),
        served_roles=top.required("servedRoles", sequence_of(non_empty_string)),
        ip_address=top.required("ipAddress", ipv4_address),
        zone=zone,
        region=top.optional("region", non_empty_string, (zones or {}).get(zone, "")),
        zones=zones,
        listen=top.optional("listenAddresses", mapping_of(address), {}),
        internal_port_range=top.required("internalPortRange", port_range),
        seeds=top.required("seedNodes", sequence_of(address_text)),
        # The defaults are the safe values: no second cluster is founded, and no disk is relied on.
        initial_start=top.optional("initialStart", boolean, False),
        loss_counted=top.optional("lossCounted", boolean, False),
        limits=validate_limits(top.section("limits")),
        data_dir=top.optional("dataDir", non_empty_string, None),
        heartbeat_ms=top.optional("heartbeatMs", greater_than(0), 1000.0),
        active_contracts=top.optional("activeContracts", sequence_of(non_empty_string), ()),
        tolerated=validate_tolerated_losses(top.section("toleratedLosses")),
        bounds=TimingBounds(validate_bounds(top.section("timingBounds"))),
        cloud_api=validate_cloud_api(top.section("cloudApi")),
    )
    if findings:
        raise SettingsError(findings)
    return settings


def validate_limits(section: Section) -> Limits:
    """The resources that the process may use."""
    return Limits(
        cpu_share=section.optional("cpuShare", greater_than(0), 1.0),
        cores=section.optional("cores", integer(1), 1),
        memory_mb=section.required("memoryMb", integer(1)),
        file_descriptors=section.required("fileDescriptors", integer(1)),
        link_mbps=section.optional("linkMbps", greater_than(0), 1000.0),
        disk_mb=section.optional("diskMb", integer(0), 0),
    )


def validate_tolerated_losses(section: Section) -> ToleratedLosses:
    """The number of losses that are tolerated at once."""
    return ToleratedLosses(
        machines=section.required("machines", integer(0)),
        zones=section.optional("zones", integer(0), 0),
        regions=section.optional("regions", integer(0), 0),
    )


def validate_bounds(section: Section) -> dict[str, float]:
    """Timing bounds by name. A bound that isn't in DEFAULT_BOUNDS is left out if it is no number or bool."""
    bounds: dict[str, float] = {}
    for name in section.values:
        if not isinstance(name, str):
            continue
        validator: Validator[object] = timing_bound if name in DEFAULT_BOUNDS else any_value
        value = section.optional(name, validator, None)
        if isinstance(value, (bool, int, float)):
            bounds[name] = value
    return bounds


def validate_cloud_api(section: Section) -> CloudApi:
    """The platform's API for the list of upstreams."""
    return CloudApi(
        address=section.required("address", address),
        rate_per_s=section.required("ratePerS", greater_than(0)),
        max_lag_ms=section.optional("maxLagMs", at_least(0), 0.0),
        duty_list=section.optional("dutyList", sequence_of(any_value), ()),
    )


def require(settings: Settings, listen: Iterable[str] = (), disk: bool = False) -> None:
    """SettingsError if listen addresses (by their names) or the disk that a program needs are left out."""
    findings = Findings()
    for name in listen:
        if name not in settings.listen:
            findings.add(f"listenAddresses.{name}", "is missing")
    if disk and settings.data_dir is None:
        findings.add("dataDir", "is missing")
    if findings:
        raise SettingsError(findings)
