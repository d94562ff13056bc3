"""Settings that are read anew while the process runs: what of them holds from then on, and what does not."""

from collections.abc import Callable
from dataclasses import fields, replace

from shedgrade.findings import Finding
from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.settings import Settings
from shedgrade.runtime.log import logger

LIVE = {"bounds": "timingBounds", "cloud_api": "cloudApi", "zones": "zones"}
OTHERS = {
    "internal_ports": "internalPortRange",
    "listen": "listenAddresses",
    "seeds": "seedNodes",
    "tolerated": "toleratedLosses",
}  # as the file names them
EVERY = 1.0  # s between two looks at the file


class SettingsReloader:
    """`settings`: those in force. `apply(settings)` is called when what is LIVE of them moved.

    Sans I/O but for the look at the file; the caller calls `look` often, and with `forced=True` on SIGHUP.
    """

    def __init__(
        self, settings: Settings, watched: SettingsFileWatcher | None, apply: Callable[[Settings], None]
    ) -> None:
        """`watched`: None where there is no file."""
        self.settings, self.watched, self.apply = settings, watched, apply
        self.look_at = 0.0

    def poll(self, now: float, forced: bool = False) -> None:
        if self.watched is None or (now < self.look_at and not forced):
            return
        self.look_at = now + EVERY
        match self.watched.changed(forced):
            case Settings() as settings:
                self.take(settings, forced)
            case tuple() as findings:
                self.refuse(findings)

    def refuse(self, findings: tuple[Finding, ...]) -> None:
        for finding in findings:
            logger.warning("the old settings stay in force: {}", str(finding))

    def take(self, settings: Settings, forced: bool) -> None:
        moved = [
            field.name
            for field in fields(Settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        live = [name for name in moved if name in LIVE]
        waits = [name for name in moved if name not in LIVE]
        now = ", ".join(LIVE[name] for name in live) or "nothing"
        later = ", ".join(map(in_file, waits)) or "nothing"
        if forced and waits:  # an operator who signals is told at once
            logger.warning("settings are read anew: {} in force; only a start changes {}", now, later)
        else:
            logger.info("settings are read anew: {} in force; only a start changes {}", now, later)
        if live:
            self.settings = replace(self.settings, **{name: getattr(settings, name) for name in live})
            self.apply(self.settings)


def in_file(name: str) -> str:
    """The name of a field in the settings file.

    >>> in_file("node_name"), in_file("seeds")
    ('nodeName', 'seedNodes')
    """
    if name in OTHERS:
        return OTHERS[name]
    first, *more = name.split("_")
    return first + "".join(word.capitalize() for word in more)
