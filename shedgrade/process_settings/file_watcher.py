"""The settings file while the process runs: it may change with a signal or without one."""

import os

from shedgrade.findings import Finding
from shedgrade.process_settings.settings import Settings
from shedgrade.process_settings.validation import VARIABLE, SettingsError, load


class SettingsFileWatcher:
    """Follows one settings file. The caller looks once a second, and with `forced=True` on SIGHUP."""

    def __init__(self, path: str | None = None, settings: Settings | None = None) -> None:
        """`settings`: as they were loaded; None: they are loaded here, SettingsError if that fails."""
        self.path = path or os.environ.get(VARIABLE, "")
        # With settings that were read before, no stamp: the file may have changed since, and is read again.
        self.stamp = self.look() if settings is None else None
        self.settings = load(self.path) if settings is None else settings
        self.reported: tuple[Finding, ...] = ()

    def changed(self, forced: bool = False) -> Settings | tuple[Finding, ...] | None:
        """New settings, which `settings` holds from now on; or the findings that keep the old ones in force,
        said once; or None if nothing changed."""
        stamp = self.look()
        if stamp == self.stamp and not forced:
            return None
        # The stamp was taken before the read: what is written meanwhile is seen at the next look.
        self.stamp = stamp
        try:
            settings = load(self.path)
        except SettingsError as failure:
            # Guards against a file that is half written, gone for a moment, or wrong: the old settings stay.
            said, self.reported = self.reported, failure.findings
            return failure.findings if failure.findings != said or forced else None
        self.reported = ()
        if settings == self.settings:
            return None
        self.settings = settings
        return settings

    def look(self) -> tuple | None:
        try:
            seen = os.stat(self.path)
        except OSError:
            return None
        return seen.st_mtime_ns, seen.st_size, seen.st_ino
