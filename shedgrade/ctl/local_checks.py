"""`storage check FOLDER` and `settings check FILE`, which need no running system."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from shedgrade.ctl.options import ExitCode, Options
from shedgrade.ctl.output import InputError, Output, RejectedError
from shedgrade.findings import Finding

if TYPE_CHECKING:
    from shedgrade.ctl.client import ControlClient


def check_storage(options: Options, output: Output, _: "Callable[[], ControlClient]") -> ExitCode:
    """Prints the contents of a core machine's data folder. REFUSED if it is damaged."""
    from shedgrade.storage.check import report
    from shedgrade.storage.files import Files
    from shedgrade.storage.recovery import StoreState, recover

    path = options.folder
    if not Path(path).is_dir():
        raise InputError(Finding(path, "is not a folder"))
    try:
        folder = recover(Files(path))
        lines = report(path)
    except OSError as error:
        raise InputError(Finding(path, error.strerror or repr(error))) from error
    output.show(
        lines,
        {
            "state": str(folder.state),
            "number": folder.lsn,
            "slot": folder.active_slot,
            "keys": {key: len(value) for key, value in sorted(folder.values.items())},
            "findings": [str(finding) for finding in folder.findings],
        },
    )
    return ExitCode.REFUSED if folder.state is StoreState.DAMAGED else ExitCode.DONE


def check_settings(options: Options, output: Output, _: "Callable[[], ControlClient]") -> ExitCode:
    """Checks whether a process would start with a settings file. RejectedError with the findings if not."""
    from shedgrade.process_settings import SETTINGS_VARIABLE, SettingsError, load

    path = options.file or os.environ.get(SETTINGS_VARIABLE, "")
    if not Path(path).is_file():
        reason = "is not a file" if path else "names no settings file"
        raise InputError(Finding(path or SETTINGS_VARIABLE, reason))
    try:
        settings = load(path)
    except SettingsError as error:
        raise RejectedError(*error.findings) from error
    served = ", ".join(sorted(settings.served_roles)) or "nothing"
    output.show(
        [f"sound: {settings.node_name}, serves {served}, in {settings.zone} of {settings.region}"],
        {
            "node": settings.node_name,
            "servedRoles": list(settings.served_roles),
            "zone": settings.zone,
            "region": settings.region,
        },
    )
    return ExitCode.DONE
