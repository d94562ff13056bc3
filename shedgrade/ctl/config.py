"""The commands `config get|put|patch|check|diff`."""

import json
from collections.abc import Callable

from shedgrade.configuration import Configuration
from shedgrade.ctl.client import ControlClient
from shedgrade.ctl.differences import describe_differences
from shedgrade.ctl.options import ExitCode, Options
from shedgrade.ctl.output import InputError, Output, RejectedError, read_file
from shedgrade.findings import Finding

PATH = "/configuration"

Connect = Callable[[], ControlClient]


def get(_: Options, output: Output, connect: Connect) -> ExitCode:
    """Prints the newest configuration byte for byte, so that it can be edited and put again."""
    output.out.write(connect().call("GET", PATH).body.decode())
    return ExitCode.DONE


def put(options: Options, output: Output, connect: Connect) -> ExitCode:
    """Makes a configuration the newest one."""
    client = connect()
    raw = read_file(options.file)
    new = parse_and_validate(raw)  # guards against a call that can only be rejected
    return send_change("PUT", raw, new.version, options.base, output, client)


def patch(options: Options, output: Output, connect: Connect) -> ExitCode:
    """Validates and sends a delta. References to the base configuration are checked by the control plane."""
    from shedgrade.controlplane.delta import read_delta  # imported late: it imports pyserde

    client = connect()
    raw = read_file(options.file)
    delta_result = read_delta(raw)
    if delta_result.is_error():
        raise RejectedError(*delta_result.error)
    return send_change("PATCH", raw, delta_result.ok, options.base, output, client)


def send_change(
    method: str, raw: bytes, version: int, base: str | None, output: Output, client: ControlClient
) -> ExitCode:
    """Sends a configuration or a delta. Without a definite answer it is sent again unchanged: a member that
    has accepted it already says so."""
    if base is not None and not base.isdigit():
        raise InputError(Finding("--base", f"{base!r} is not a version number"))
    if base is None:
        base = str(fetch_version(client))
    client.call(method, PATH, raw, {"If-Match": base})
    output.show(
        [f"version {version} accepted, based on version {base}"],
        {"configVersion": version, "base": int(base)},
    )
    return ExitCode.DONE


def check(options: Options, output: Output, _: Connect) -> ExitCode:
    """Checks a configuration without a running system."""
    new = parse_and_validate(read_file(options.file))
    routes, services = len(new.routes), len(new.services)
    output.show(
        [f"sound: version {new.version}, {routes} routes, {services} services"],
        {"configVersion": new.version, "routes": routes, "services": services},
    )
    return ExitCode.DONE


def diff(options: Options, output: Output, connect: Connect) -> ExitCode:
    """Prints what a configuration would change."""
    raw = read_file(options.file)
    new = parse_and_validate(raw)
    old_raw = fetch_configuration(connect()) if options.against is None else read_file(options.against)
    old = Configuration(0, [], []) if old_raw is None else parse_and_validate(old_raw)
    if options.patch:
        return print_patch(old_raw, raw, output)
    differences = describe_differences(old, new)
    output.show(
        differences or ["no differences"], {"from": old.version, "to": new.version, "moves": differences}
    )
    return ExitCode.DONE


def print_patch(old: bytes | None, new: bytes, output: Output) -> ExitCode:
    """Prints the delta byte for byte, so that it can be sent."""
    from shedgrade.controlplane.delta import EMPTY_CONFIGURATION, make_delta

    delta_result = make_delta(old or EMPTY_CONFIGURATION, new)
    if delta_result.is_error():
        raise RejectedError(*delta_result.error)
    output.out.write(delta_result.ok.decode() + "\n")
    return ExitCode.DONE


def parse_and_validate(raw: bytes) -> Configuration:
    """The configuration. RejectedError with all findings if it is invalid."""
    # Imported late: it imports pyserde.
    from shedgrade.controlplane.configuration_validation import read_configuration

    result = read_configuration(raw)
    if result.is_error():
        raise RejectedError(*result.error)
    return result.ok


def fetch_configuration(client: ControlClient) -> bytes | None:
    """The bytes of the configuration in force; None if none was put yet."""
    try:
        return client.call("GET", PATH).body
    except RejectedError as error:
        if any(finding.place == "configuration" for finding in error.findings):
            return None
        raise


def fetch_version(client: ControlClient) -> int:
    """The version of the configuration in force; 0 if none was put yet."""
    raw = fetch_configuration(client)
    return 0 if raw is None else int(json.loads(raw)["configVersion"])
