"""`storage check FOLDER` and `settings check FILE`: what needs no running system."""

import os
from pathlib import Path

from shedgrade.ctl.output import InputError, Output, RefusedError
from shedgrade.findings import Finding


def run(options, output: Output, caller) -> int:
    return storage(options, output) if options["storage"] else settings(options, output)


def storage(options, output: Output) -> int:
    from shedgrade.storage.check import report
    from shedgrade.storage.files import Files
    from shedgrade.storage.recovery import StoreState, recover

    folder = options["FOLDER"]
    if not Path(folder).is_dir():
        raise InputError(Finding(folder, "is no folder"))
    try:
        found, lines = recover(Files(folder)), report(folder)
    except OSError as failure:
        raise InputError(Finding(folder, failure.strerror or repr(failure))) from failure
    output.tell(
        lines,
        {
            "state": str(found.state),
            "number": found.sequence,
            "slot": found.used,
            "keys": {key: len(value) for key, value in sorted(found.values.items())},
            "findings": [str(finding) for finding in found.findings],
        },
    )
    return 1 if found.state is StoreState.DAMAGED else 0


def settings(options, output: Output) -> int:
    from shedgrade.process_settings import SettingsError, load
    from shedgrade.process_settings.validation import VARIABLE

    path = options["FILE"] or os.environ.get(VARIABLE, "")
    if not Path(path).is_file():
        raise InputError(Finding(path or VARIABLE, "is no file" if path else "names no settings file"))
    try:
        found = load(path)
    except SettingsError as wrong:
        raise RefusedError(*wrong.findings) from wrong
    served = ", ".join(sorted(found.served_roles)) or "nothing"
    output.tell(
        [f"sound: {found.node_name}, serves {served}, in {found.zone} of {found.region}"],
        {
            "node": found.node_name,
            "servedRoles": list(found.served_roles),
            "zone": found.zone,
            "region": found.region,
        },
    )
    return 0
