"""Validation of the operators' configurations; all findings are reported together.

Source: PROTOCOL, "The operator's API". A configuration is rejected only for what is named invalid there, or
what no data plane could use: rejecting a valid configuration violates the protocol.

pyserde makes the models. It stops at the first wrong field, accepts a string for a list and true for a
number, and keeps nulls where a default is meant. `valid_fields` therefore checks the decoded JSON first and
passes only the valid fields to pyserde.
"""

from collections.abc import Callable, Container
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

from shedgrade.configuration import (
    Configuration,
    FieldLayout,
    InferenceEngine,
    Limits,
    Model,
    Route,
    Service,
    Split,
    layout,
)
from shedgrade.controlplane.references import References
from shedgrade.controlplane.serde_without_numpy import SerdeError, deserialize, disabled, from_dict
from shedgrade.findings import Finding, Findings
from shedgrade.route_matching.routes import RouteTree
from shedgrade.served_routes import add_route

for _model in (Split, Route, Model, InferenceEngine, Service, Limits):
    deserialize(_model, type_check=disabled)

VERSION_LIMIT = 1 << 63  # exclusive; lower versions fit all formats in which they are sent and stored
KIND_NAMES = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}

AnyModel = TypeVar("AnyModel")


def read_configuration(raw: bytes) -> Result[Configuration, tuple[Finding, ...]]:
    """The configuration in these bytes, or at most a hundred findings in the order of its fields. Never
    raises."""
    try:
        data = msgspec.json.decode(raw)  # the decoder of the data planes: reject JSON that they can't decode
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:
        return Error((Finding("", f"cannot be read: {wrong}"),))
    findings = Findings()
    if not isinstance(data, dict):
        return Error((Finding("", "is no object"),))
    version = check_version(data.get("configVersion"), findings)
    routes, services, limits = (top_level_field(field, data, findings) for field in layout(Configuration)[1:])
    checks = ElementChecks(findings, service_names(services))
    valid_services = valid_elements(Service, "serviceList", services, findings, checks.check_service)
    valid_routes = valid_elements(Route, "routeList", routes, findings, checks.check_route)
    valid_limits = Limits() if limits is None else make_model(Limits, limits, "limits", findings)
    if version is None or valid_limits is None or len(findings):
        return Error(findings.all())
    return Ok(Configuration(version, valid_routes, valid_services, valid_limits))


def service_names(services: list[Any] | None) -> set[str]:
    """The names of all services, also of those that have findings."""
    names = (service.get("name") for service in services or () if isinstance(service, dict))
    return {name for name in names if isinstance(name, str)}


def check_version(value: Any, findings: Findings) -> int | None:
    """The version of a configuration or of a delta; None, with a finding, if it is not a valid version."""
    if value is None:
        findings.add("configVersion", "is missing")
        return None
    version = scalar(int, value, "configVersion", findings)
    if version is not None and not 0 < version < VERSION_LIMIT:
        findings.add("configVersion", "is not above 0" if version <= 0 else "is too large")
    return version


def top_level_field(field: FieldLayout, data: dict[str, Any], findings: Findings) -> Any:
    """A field of the configuration, whose elements are checked later. None if it is absent or wrong."""
    value = data.get(field.name)
    if value is None:
        if field.required:
            findings.add(field.name, "is missing")
        return None
    if field.nested is None:
        return scalar(field.kind, value, field.name, findings)
    expected, expected_name = (list, "a list") if isinstance(field.kind, list) else (dict, "an object")
    if not isinstance(value, expected):
        findings.add(field.name, f"is not {expected_name}")
        return None
    return value


def valid_elements(
    model_class: type[AnyModel],
    list_name: str,
    values: list[Any] | None,
    findings: Findings,
    check: Callable[[AnyModel, str], None],
) -> list[AnyModel]:
    """The models of a list's elements that are valid by themselves. Calls `check` with each and its place."""
    found = []
    for index, value in enumerate(values or ()):
        # guards against a long response to a long configuration that is wrong throughout
        if findings.is_full():
            break
        place = f"{list_name}[{index}]"
        element = make_model(model_class, value, place, findings)
        if element is not None:
            check(element, place)
            found.append(element)
    return found


def make_model(model_class: type[AnyModel], value: Any, place: str, findings: Findings) -> AnyModel | None:
    """The model; None if there are findings in the value."""
    before = len(findings) + findings.omitted
    fields = valid_fields(model_class, value, place, findings)
    if len(findings) + findings.omitted > before:
        return None
    try:
        return from_dict(model_class, fields)
    except SerdeError as wrong:  # guards against a value that pyserde rejects and `valid_fields` accepts
        findings.add(place, str(wrong))
        return None


def valid_fields(model_class: type, value: Any, place: str, findings: Findings) -> dict[str, Any] | None:
    """The fields of a model that are known and not null. Adds findings for those that are wrong."""
    if not isinstance(value, dict):
        findings.add(place, "is not an object")
        return None
    fields = {}
    for field in layout(model_class):
        found = value.get(field.name)
        if found is None:
            if field.required:
                findings.add(f"{place}.{field.name}", "is missing")
            continue
        kind = field.kind
        if kind is str:
            if type(found) is not str:
                findings.add(f"{place}.{field.name}", "is not a string")
                continue
        elif isinstance(kind, list):
            found = valid_list(field, kind[0], found, f"{place}.{field.name}", findings)
        elif field.nested is not None:
            found = valid_fields(field.nested, found, f"{place}.{field.name}", findings)
        else:
            found = scalar(kind, found, f"{place}.{field.name}", findings)
            if found is not None:
                found = field.limited(found)  # what is checked here is what data planes use
        fields[field.name] = found
    return fields


def valid_list(field: FieldLayout, kind: Any, value: Any, place: str, findings: Findings) -> list[Any] | None:
    """The elements of a field that holds a list; None, with a finding, if the value is not a list. `kind`:
    type of the elements."""
    if not isinstance(value, list):
        findings.add(place, "is not a list")
        return None
    nested = field.nested
    if nested is not None:
        return [valid_fields(nested, item, f"{place}[{at}]", findings) for at, item in enumerate(value)]
    return [scalar(kind, item, f"{place}[{at}]", findings) for at, item in enumerate(value)]


def scalar(kind: Any, value: Any, place: str, findings: Findings) -> Any:
    """Returns a value of type `kind`: a string, a number or a boolean. None, with a finding, if the value has
    another type. A whole number may also be written as 5.0."""
    found = type(value)
    if found is kind or (kind is float and found is int):
        return value
    if kind is int and found is float and value.is_integer():
        return int(value)
    findings.add(place, f"is not {KIND_NAMES[kind]}")
    return None


class ElementChecks:
    """Checks the values of each element and its references to other elements."""

    def __init__(self, findings: Findings, services: Container[str]) -> None:
        """`services`: the names of all services, also of those that have findings."""
        self.findings = findings
        self.references = References(findings, services)
        self.tree = RouteTree()

    def check_service(self, service: Service, place: str) -> None:
        """Checks a service; must be called once for each."""
        self.references.add_service(service, place)

    def check_route(self, route: Route, place: str) -> None:
        """Checks a route; must be called once for each."""
        self.check_values(route, place)
        self.references.add_route(route, place)

    def check_values(self, route: Route, place: str) -> None:
        """Checks the values of a route that don't depend on other elements."""
        add = self.findings.add
        before = len(self.findings) + self.findings.omitted
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            add(f"{place}.pathPrefix", "does not begin and end with a slash")
        if route.timeout_ms <= 0:
            add(f"{place}.timeoutMs", "is not above 0")
        if route.service is None and not route.weighted_split:
            add(place, "names no service")
        splits = route.weighted_split
        for at, split in enumerate(splits):
            if split.weight < 0:
                add(f"{place}.weightedSplit[{at}].weight", "is below 0")
        # Not by their sum, which may be beyond the range of doubles.
        if splits and not any(split.weight > 0 for split in splits):
            add(f"{place}.weightedSplit", "has weights whose sum is not above 0")
        if len(self.findings) + self.findings.omitted == before:
            self.check_applicable(route, place)

    def check_applicable(self, route: Route, place: str) -> None:
        """Checks that data planes can apply a route that is valid otherwise, by doing what they do."""
        try:
            add_route(self.tree, route, {})
        except Exception as error:
            self.findings.add(place, f"cannot be applied by data planes: {error!r}")


def encode_findings(findings: tuple[Finding, ...]) -> bytes:
    """The findings as the JSON body of a response."""
    return msgspec.json.encode({"findings": findings})
