"""Start-up of the two planes' programs: arguments, settings, log, event loop."""

import asyncio
import sys
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Protocol

import uvloop
from docopt import docopt

from shedgrade.process_settings.errors import SettingsError, format_findings
from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.settings import Settings
from shedgrade.runtime.log import set_sink
from shedgrade.runtime.log_ring import LogRingBuffer

EXIT_SETTINGS = 2  # exit status if the settings file is missing or invalid


class Plane(Protocol):
    """A control plane or data plane, as `run_program` runs it."""

    async def serve(self) -> None:
        """Serves until the process may exit."""


PlaneClass = Callable[[Settings, asyncio.AbstractEventLoop, Random, SettingsFileWatcher], Plane]


def run_program(
    usage: str, arguments: list[str], check: Callable[[Settings], None], load_plane: Callable[[], PlaneClass]
) -> int:
    """Runs one plane until it ends, and returns the process's exit status.

    Args:
        usage: text for docopt, with the option `--settings`.
        arguments: command line arguments without the program's name.
        check: raises SettingsError if a setting that this program needs is missing.
        load_plane: imports and returns the plane's class; called after the log is set up.
    """
    options = docopt(usage, arguments)
    try:
        watcher = SettingsFileWatcher(options["--settings"])
        settings = watcher.settings
        check(settings)
    except SettingsError as error:
        print(format_findings(error), file=sys.stderr)
        return EXIT_SETTINGS
    log_buffer = LogRingBuffer(settings.node_name)
    set_sink(log_buffer)
    plane_class = load_plane()

    async def run() -> None:
        plane = plane_class(settings, asyncio.get_running_loop(), SystemRandom(), watcher)
        await plane.serve()

    try:
        uvloop.run(run())
    finally:
        log_buffer.flush()
    return 0
