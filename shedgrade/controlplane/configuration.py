"""Reading and checking of the operator's configurations; all that is wrong is reported together.

Source: PROTOCOL, "The operator's API". Only what is named invalid there, or what no data plane could use, is
refused: a sound configuration that is refused breaks a rule.

pyserde reads the models. It stops at the first wrong field, takes a string for a list and true for a number,
and leaves nulls where a default is meant, so `checked` looks at what JSON said first and hands on what is
sound.
"""

from collections.abc import Container
from typing import Any

import msgspec
from expression import Error, Ok, Result

from shedgrade.configuration import (
    Configuration,
    Field,
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

for _model in (Split, Route, Model, InferenceEngine, Service, Limits):
    deserialize(_model, type_check=disabled)

LARGEST = 1 << 63  # below which a version fits all that it travels in
CALLED = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}


def read(raw: bytes) -> Result[Configuration, tuple[Finding, ...]]:
    """The configuration in these bytes, or at most a hundred findings, in the order of its fields. Never
    raises."""
    try:
        data = msgspec.json.decode(raw)  # as data planes do: what they can't read must not be taken
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:
        return Error((Finding("", f"cannot be read: {wrong}"),))
    findings = Findings()
    if not isinstance(data, dict):
        return Error((Finding("", "is no object"),))
    version = check_version(data.get("configVersion"), findings)
    routes, services, limits = (one_field(one, data, findings) for one in layout(Configuration)[1:])
    known = {
        one.get("name") for one in services or () if isinstance(one, dict) if isinstance(one.get("name"), str)
    }
    checks = Checks(findings, known)
    found_services = elements(Service, "serviceList", services, findings, checks.service)
    found_routes = elements(Route, "routeList", routes, findings, checks.route)
    found_limits = Limits() if limits is None else model(Limits, limits, "limits", findings)
    if len(findings):
        return Error(findings.all())
    return Ok(Configuration(version, found_routes, found_services, found_limits))


def check_version(value: object, findings: Findings) -> int | None:
    """The number of a configuration, or of a change of one; None if it is absent or wrong."""
    if value is None:
        findings.add("configVersion", "is missing")
        return None
    version = plain(int, value, "configVersion", findings)
    if version is not None and not 0 < version < LARGEST:
        findings.add("configVersion", "is not above 0" if version <= 0 else "is too large")
    return version


def one_field(one: Field, data: dict[str, Any], findings: Findings) -> Any:
    """A field of the whole, whose elements are looked at later. None if it is absent or wrong."""
    value = data.get(one.name)
    if value is None:
        if one.required:
            findings.add(one.name, "is missing")
        return None
    if one.nested is None:
        return plain(one.kind, value, one.name, findings)
    shape, called = (list, "a list") if isinstance(one.kind, list) else (dict, "an object")
    if not isinstance(value, shape):
        findings.add(one.name, f"is not {called}")
        return None
    return value


def elements(model_class: type, name: str, values: list | None, findings: Findings, check) -> list:
    """The models of a list's sound elements; `check` sees each with its place."""
    found = []
    for at, value in enumerate(values or ()):
        if findings.full():  # guards against a long answer to a long configuration that is all wrong
            break
        place = f"{name}[{at}]"
        one = model(model_class, value, place, findings)
        if one is not None:
            check(one, place)
            found.append(one)
    return found


def model(model_class: type, value: object, place: str, findings: Findings) -> Any:
    """The model, None if something in it is a finding."""
    before = len(findings) + findings.omitted
    sound = checked(model_class, value, place, findings)
    if len(findings) + findings.omitted > before:
        return None
    try:
        return from_dict(model_class, sound)
    except SerdeError as wrong:  # guards against a value that only pyserde finds wrong
        findings.add(place, str(wrong))
        return None


def checked(model_class: type, value: object, place: str, findings: Findings) -> dict[str, Any] | None:
    """What is known and said of a model, nulls left out; what is wrong in it is added to the findings."""
    if not isinstance(value, dict):
        findings.add(place, "is not an object")
        return None
    sound = {}
    for one in layout(model_class):
        said = value.get(one.name)
        if said is None:
            if one.required:
                findings.add(f"{place}.{one.name}", "is missing")
            continue
        kind = one.kind
        if kind is str:
            if type(said) is not str:
                findings.add(f"{place}.{one.name}", "is not a string")
                continue
        elif isinstance(kind, list):
            said = listed(one, said, f"{place}.{one.name}", findings)
        elif one.nested is not None:
            said = checked(one.nested, said, f"{place}.{one.name}", findings)
        else:
            said = plain(kind, said, f"{place}.{one.name}", findings)
        sound[one.name] = said
    return sound


def listed(one: Field, value: object, place: str, findings: Findings) -> list | None:
    if not isinstance(value, list):
        findings.add(place, "is not a list")
        return None
    if one.nested is not None:
        return [checked(one.nested, part, f"{place}[{at}]", findings) for at, part in enumerate(value)]
    return [plain(one.kind[0], part, f"{place}[{at}]", findings) for at, part in enumerate(value)]


def plain(kind: type, value: object, place: str, findings: Findings) -> Any:
    """A string, a number or a truth. A whole number may be written as 5.0 too."""
    found = type(value)
    if found is kind or (kind is float and found is int):
        return value
    if kind is int and found is float and value.is_integer():
        return int(value)
    findings.add(place, f"is not {CALLED[kind]}")
    return None


class Checks:
    """What makes the values of one element unusable by themselves, and what it has to do with the others."""

    def __init__(self, findings: Findings, services: Container[str]) -> None:
        """`services`: the names of all services, also of those in which something else is wrong."""
        self.findings = findings
        self.references = References(findings, services)

    def service(self, service: Service, place: str) -> None:
        self.references.service(service, place)

    def route(self, route: Route, place: str) -> None:
        self.own_values(route, place)
        self.references.route(route, place)

    def own_values(self, route: Route, place: str) -> None:
        """Whatever the other elements are."""
        add = self.findings.add
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
        if splits and sum(split.weight for split in splits) <= 0:
            add(f"{place}.weightedSplit", "has weights whose sum is not above 0")


def told(findings: tuple[Finding, ...]) -> bytes:
    """The JSON by which a caller is told of findings."""
    return msgspec.json.encode({"findings": findings})
