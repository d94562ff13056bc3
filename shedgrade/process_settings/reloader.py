"""Reloads the settings while the process runs. Only LIVE_FIELDS take effect without a restart."""

from collections.abc import Callable
from dataclasses import fields, replace

from shedgrade.findings import Finding
from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.settings import Settings
from shedgrade.runtime.log import logger

LIVE_FIELDS = {"bounds": "timingBounds", "cloud_api": "cloudApi", "zones": "zones"}  # names as in the file
# Names in the file of fields whose names aren't the same in camel case.
RENAMED_FIELDS = {
    "internal_port_range": "internalPortRange",
    "listen": "listenAddresses",
    "seeds": "seedNodes",
    "tolerated": "toleratedLosses",
}
POLL_INTERVAL_S = 1.0


class SettingsReloader:
    """Applies changes of the settings file. Its only I/O is the read of the file through `watcher`.

    The caller calls `poll` often, and with `forced=True` on SIGHUP.

    Attributes:
        settings: the settings in force.
        watcher: of the settings file; None if there is no file.
        apply: called with the settings in force when some of LIVE_FIELDS changed.
        next_poll_at: time before which the file is not checked unless forced.
    """

    def __init__(
        self, settings: Settings, watcher: SettingsFileWatcher | None, apply: Callable[[Settings], None]
    ) -> None:
        self.settings = settings
        self.watcher = watcher
        self.apply = apply
        self.next_poll_at = 0.0

    def poll(self, now: float, forced: bool = False) -> None:
        """Checks the file, once in POLL_INTERVAL_S or when forced. `now`: seconds of a monotonic clock."""
        if self.watcher is None or (now < self.next_poll_at and not forced):
            return
        self.next_poll_at = now + POLL_INTERVAL_S
        match self.watcher.check(forced):
            case Settings() as settings:
                self.accept(settings, forced)
            case tuple() as findings:
                self.reject(findings)

    def reject(self, findings: tuple[Finding, ...]) -> None:
        """Logs the findings of an invalid file. The old settings stay in force."""
        for finding in findings:
            logger.warning("settings reload rejected", place=finding.place, finding=finding.text)

    def accept(self, settings: Settings, forced: bool) -> None:
        """Applies the live fields that changed, and logs which changed fields need a restart."""
        changed = [
            field.name
            for field in fields(Settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        live = [name for name in changed if name in LIVE_FIELDS]
        needs_restart = [name for name in changed if name not in LIVE_FIELDS]
        # A warning only on SIGHUP: the operator who sent it should learn at once that a restart is needed.
        log = logger.warning if forced and needs_restart else logger.info
        log(
            "settings reloaded",
            in_force=", ".join(LIVE_FIELDS[name] for name in live),
            needs_restart=", ".join(map(name_in_file, needs_restart)),
        )
        if live:
            self.settings = replace(self.settings, **{name: getattr(settings, name) for name in live})
            self.apply(self.settings)


def name_in_file(name: str) -> str:
    """The name of a field in the settings file.

    >>> name_in_file("node_name"), name_in_file("seeds")
    ('nodeName', 'seedNodes')
    """
    if name in RENAMED_FIELDS:
        return RENAMED_FIELDS[name]
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)
