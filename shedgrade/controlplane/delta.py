"""A delta: a change of some named items of a configuration (`PATCH /configuration`).

This module validates, applies and makes deltas. Items are merged as the bytes that were received, so fields
that this version does not know are kept. The member that receives a delta validates each item by itself; the
primary, which knows the configuration that the delta builds on, checks the references between all items. That
check costs little more than finding the names in the existing configuration.

Source: PROTOCOL with LATER, "The operator's API".
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from shedgrade.configuration import Route, Service
from shedgrade.controlplane.configuration_validation import ElementChecks, check_version, make_model, scalar
from shedgrade.controlplane.references import References
from shedgrade.findings import Finding, Findings

# Names on the wire.
VERSION = "configVersion"
ROUTES = "routeList"
SERVICES = "serviceList"
ADD = "addModify"
REMOVE = "remove"
MODELS: dict[str, type] = {ROUTES: Route, SERVICES: Service}
EMPTY_CONFIGURATION = b'{"routeList":[],"serviceList":[]}'  # base of the first configuration

Rejection = tuple[Finding, ...]


class ItemName(msgspec.Struct):
    """The name of an item, by which it is replaced or removed; None counts as a name that is left out."""

    name: str | None = None


class SplitFields(msgspec.Struct):
    """The fields of a split that `References` reads."""

    service: str


class RouteFields(msgspec.Struct, rename="camel"):
    """The fields of a route that `References` reads."""

    host: str
    path_prefix: str
    service: str | None = None
    weighted_split: list[SplitFields] | None = None


class Delta(msgspec.Struct):
    """A delta that `read_delta` found valid, with its items as they were received."""

    addModify: dict[str, list[msgspec.Raw] | None] | None = None  # noqa: N815 (as on the wire)
    remove: dict[str, list[str] | None] | None = None


class Item(msgspec.Struct):
    """One item of a merged list. `place`: its place in the delta, or in the base configuration."""

    name: str
    raw: msgspec.Raw
    place: str


decode_name = msgspec.json.Decoder(ItemName).decode
decode_route_fields = msgspec.json.Decoder(RouteFields).decode
decode_top_level_fields = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
decode_items = msgspec.json.Decoder(list[msgspec.Raw]).decode
decode_delta = msgspec.json.Decoder(Delta).decode


def read_delta(raw: bytes) -> Result[int, Rejection]:
    """The version that the delta makes, or the findings that don't depend on its base. Never raises."""
    try:
        data = msgspec.json.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as wrong:
        return Error((Finding("", f"cannot be read: {wrong}"),))
    findings = Findings()
    if not isinstance(data, dict):
        return Error((Finding("", "is no object"),))
    version = check_version(data.get(VERSION), findings)
    added = read_lists(data, ADD, findings)
    removed = read_lists(data, REMOVE, findings)
    # The first place of each name, by list and name.
    names: dict[str, dict[str, str]] = {list_name: {} for list_name in MODELS}
    checks = ElementChecks(findings, ())
    for list_name, values in added.items():
        for at, value in enumerate(values):
            place = f"{ADD}.{list_name}[{at}]"
            item = make_model(MODELS[list_name], value, place, findings)
            if item is not None:
                check_name(names[list_name], item.name, place, findings)
                if list_name == ROUTES:
                    checks.check_values(item, place)
    for list_name, values in removed.items():
        for at, value in enumerate(values):
            place = f"{REMOVE}.{list_name}[{at}]"
            name = scalar(str, value, place, findings)
            if name is not None:
                check_name(names[list_name], name, place, findings)
    if version is None or len(findings):
        return Error(findings.all())
    return Ok(version)


def read_lists(data: dict[str, Any], part: str, findings: Findings) -> dict[str, list[Any]]:
    """The lists under `addModify` or `remove` by their names; adds a finding for any other value."""
    lists = data.get(part)
    if lists is None:
        return {}
    if not isinstance(lists, dict):
        findings.add(part, "is not an object")
        return {}
    valid_lists = {}
    for list_name, values in lists.items():
        if list_name not in MODELS:
            findings.add(f"{part}.{list_name}", "is no list of named items")
        elif values is not None and not isinstance(values, list):
            findings.add(f"{part}.{list_name}", "is not a list")
        else:
            valid_lists[list_name] = values or []
    return valid_lists


def check_name(first_places: dict[str, str], name: str, place: str, findings: Findings) -> None:
    """Checks that an item has a name and occurs once in the delta: adding an item twice, or adding and
    removing it, is ambiguous."""
    if not name:
        findings.add(f"{place}.name" if place.startswith(ADD) else place, "is missing")
        return
    first = first_places.setdefault(name, place)
    if first != place:
        findings.add(place, f"{name!r} also stands at {first}")


def apply_delta(configuration: bytes, raw: bytes, version: int) -> Result[bytes, Rejection]:
    """The configuration, with this version, after a valid delta is applied to its base, or the findings in
    the references between items. Removing a name that does not exist changes nothing."""
    delta = decode_delta(raw)
    fields = decode_top_level_fields(configuration)
    fields[VERSION] = msgspec.Raw(b"%d" % version)
    merged = {}
    for list_name in MODELS:
        known = decode_items(fields[list_name]) if list_name in fields else []
        added = (delta.addModify or {}).get(list_name) or []
        removed = (delta.remove or {}).get(list_name) or []
        merged[list_name] = merge(list_name, known, added, frozenset(removed))
        fields[list_name] = msgspec.Raw(msgspec.json.encode([item.raw for item in merged[list_name]]))
    findings = check_references(merged[ROUTES], merged[SERVICES])
    return Error(findings) if findings else Ok(msgspec.json.encode(fields))


def merge(
    list_name: str, known: list[msgspec.Raw], added: list[msgspec.Raw], removed: frozenset[str]
) -> list[Item]:
    """Merges the items of a list: replaced items keep their positions, new ones are appended."""
    new = {}
    for at, raw in enumerate(added):
        name = decode_name(raw).name or ""
        new[name] = Item(name, raw, f"{ADD}.{list_name}[{at}]")
    items = []
    for at, raw in enumerate(known):
        name = decode_name(raw).name or ""
        if name and name in removed:
            continue
        items.append(new.pop(name) if name in new else Item(name, raw, f"{list_name}[{at}]"))
    return items + list(new.values())


def check_references(routes: list[Item], services: list[Item]) -> Rejection:
    """Checks the references between all items. The items of the base are added first, so that a duplicate is
    reported at the item of the delta."""
    findings = Findings()
    references = References(findings, frozenset(item.name for item in services))
    for item in sorted(services, key=is_from_delta):
        references.add_service(item, item.place)
    for item in sorted(routes, key=is_from_delta):
        references.add_route(decode_route_fields(item.raw), item.place)
    return findings.all()


def is_from_delta(item: Item) -> bool:
    """Whether the delta added or replaced the item."""
    return item.place.startswith(ADD)


def make_delta(old: bytes, new: bytes) -> Result[bytes, Rejection]:
    """The delta that turns the valid configuration `old` into the valid `new`, or the differences that a
    delta can't express."""
    findings = Findings()
    before, after = decode_top_level_fields(old), decode_top_level_fields(new)
    for list_name in sorted((before.keys() | after.keys()) - {VERSION, *MODELS}):
        if decode_value(before.get(list_name)) != decode_value(after.get(list_name)):
            findings.add(list_name, "differs, which a change of named items cannot express")
    added: dict[str, list[msgspec.Raw]] = {}
    removed: dict[str, list[str]] = {}
    for list_name in MODELS:
        old_items = index_by_name(decode_items(before[list_name]), list_name, findings)
        new_items = index_by_name(decode_items(after[list_name]), list_name, findings)
        changed = [
            raw
            for name, raw in new_items.items()
            if name not in old_items or decode_value(old_items[name]) != decode_value(raw)
        ]
        missing = [name for name in old_items if name not in new_items]
        if changed:
            added[list_name] = changed
        if missing:
            removed[list_name] = missing
    if len(findings):
        return Error(findings.all())
    return Ok(msgspec.json.encode({VERSION: after[VERSION], ADD: added, REMOVE: removed}))


def decode_value(raw: msgspec.Raw | None) -> Any:
    """The JSON value, whatever its formatting; None if the field is absent."""
    return None if raw is None else msgspec.json.decode(raw)


def index_by_name(items: Iterable[msgspec.Raw], list_name: str, findings: Findings) -> dict[str, msgspec.Raw]:
    """Items by their names; adds a finding for an item whose name is missing or not unique."""
    found: dict[str, msgspec.Raw] = {}
    for at, raw in enumerate(items):
        name = decode_name(raw).name or ""
        if not name or name in found:
            findings.add(f"{list_name}[{at}].name", "is missing or not unique")
        found[name] = raw
    return found
