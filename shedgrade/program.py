"""The start of a program of the system: arguments, settings, log, event loop. Both planes use it."""

import asyncio
import sys
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Protocol

import uvloop
from docopt import docopt

from shedgrade.process_settings.errors import SettingsError, explain
from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.settings import Settings
from shedgrade.runtime.log import set_sink
from shedgrade.runtime.log_ring import LogRingBuffer

EXIT_SETTINGS = 2  # exit status when the settings file is missing or not sound


class Plane(Protocol):
    """What a program runs until it is told to stop."""

    async def serve(self) -> None:
        """Runs from start to end; returns when the process may exit."""


PlaneClass = Callable[[Settings, asyncio.AbstractEventLoop, Random, SettingsFileWatcher], Plane]


def run_program(
    usage: str, arguments: list[str], check: Callable[[Settings], None], load_plane: Callable[[], PlaneClass]
) -> int:
    """Runs one plane to its end and returns the process's exit status.

    `usage`: docopt's text, with the option `--settings`. `check(settings)` raises SettingsError if this
    program misses something in them. `load_plane()` imports the plane's class, after the log is set up.
    """
    options = docopt(usage, arguments)
    try:
        watcher = SettingsFileWatcher(options["--settings"])
        settings = watcher.settings
        check(settings)
    except SettingsError as error:
        print(explain(error), file=sys.stderr)
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
