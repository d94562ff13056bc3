"""`config get|put|patch|check|diff`."""

import json

from shedgrade.configuration import Configuration
from shedgrade.ctl.diff import difference
from shedgrade.ctl.output import InputError, Output, RefusedError, content
from shedgrade.findings import Finding

PATH = "/configuration"


def run(options, output: Output, caller) -> int:
    if options["get"]:
        return get(output, caller())
    if options["put"]:
        return put(options, output, caller())
    if options["patch"]:
        return patch(options, output, caller())
    if options["check"]:
        return check(options, output)
    return diff(options, output, caller)


def get(output: Output, caller) -> int:
    """Byte for byte, so that it can be changed and put again."""
    output.out.write(caller.call("GET", PATH).body.decode())
    return 0


def put(options, output: Output, caller) -> int:
    raw = content(options["FILE"])
    new = sound(raw)  # guards against a round to the control plane that can only end with a refusal
    return send("PUT", raw, new.version, options["--base"], output, caller)


def patch(options, output: Output, caller) -> int:
    """What it builds on is known to the control plane alone, which checks the rest."""
    from shedgrade.controlplane.delta import read_delta  # late: it takes up pyserde

    raw = content(options["FILE"])
    found = read_delta(raw)
    if found.is_error():
        raise RefusedError(*found.error)
    return send("PATCH", raw, found.ok, options["--base"], output, caller)


def send(method: str, raw: bytes, version: int, base: str | None, output: Output, caller) -> int:
    """Sent again unchanged when no clear answer comes: whoever has taken it says so."""
    if base is not None and not base.isdigit():
        raise InputError(Finding("--base", f"{base!r} is no version"))
    if base is None:
        base = str(version_in_force(caller))
    caller.call(method, PATH, raw, {"If-Match": base})
    output.tell(
        [f"version {version} is taken, on top of {base}"], {"configVersion": version, "base": int(base)}
    )
    return 0


def check(options, output: Output) -> int:
    new = sound(content(options["FILE"]))
    routes, services = len(new.routes), len(new.services)
    output.tell(
        [f"sound: version {new.version}, {routes} routes, {services} services"],
        {"configVersion": new.version, "routes": routes, "services": services},
    )
    return 0


def diff(options, output: Output, caller) -> int:
    raw = content(options["FILE"])
    new = sound(raw)
    old_raw = content(options["--against"]) if options["--against"] is not None else in_force(caller())
    old = Configuration(0, [], []) if old_raw is None else sound(old_raw)
    if options["--patch"]:
        return print_patch(old_raw, raw, output)
    found = difference(old, new)
    output.tell(found or ["nothing moves"], {"from": old.version, "to": new.version, "moves": found})
    return 0


def print_patch(old: bytes | None, new: bytes, output: Output) -> int:
    """Byte for byte, so that it can be sent."""
    from shedgrade.controlplane.delta import EMPTY, make_delta

    found = make_delta(old or EMPTY, new)
    if found.is_error():
        raise RefusedError(*found.error)
    output.out.write(found.ok.decode() + "\n")
    return 0


def sound(raw: bytes) -> Configuration:
    """RefusedError with all findings if it is not."""
    from shedgrade.controlplane.configuration_validation import (
        read_configuration,
    )  # late: it takes up pyserde

    found = read_configuration(raw)
    if found.is_error():
        raise RefusedError(*found.error)
    return found.ok


def in_force(caller) -> bytes | None:
    """The newest configuration's bytes; None if none was put yet."""
    try:
        return caller.call("GET", PATH).body
    except RefusedError as refused:
        if any(finding.place == "configuration" for finding in refused.findings):
            return None
        raise


def version_in_force(caller) -> int:
    raw = in_force(caller)
    return 0 if raw is None else int(json.loads(raw)["configVersion"])
