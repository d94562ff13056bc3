"""The settings file while the process runs: it may change with a signal or without one."""

import os
from typing import NamedTuple

from shedgrade.findings import Finding
from shedgrade.process_settings.errors import SettingsError
from shedgrade.process_settings.loading import SETTINGS_VARIABLE, load
from shedgrade.process_settings.settings import Settings


class FileStamp(NamedTuple):
    """By which a changed file is told from the one before."""

    modified_ns: int
    size: int
    inode: int


class SettingsFileWatcher:
    """Follows one settings file. The caller looks once a second, and with `forced=True` on SIGHUP.

    Attributes:
        path: of the file.
        stamp: of the file that was read last; None if there was none.
        settings: the newest ones that were valid.
        reported: the findings of the file that was read last, empty if it was valid.
    """

    def __init__(self, path: str | None = None, settings: Settings | None = None) -> None:
        """`settings`: as they were loaded; None: they are loaded here, SettingsError if that fails."""
        self.path = path or os.environ.get(SETTINGS_VARIABLE, "")
        # With settings that were read before, no stamp: the file may have changed since, and is read again.
        self.stamp = self.current_stamp() if settings is None else None
        self.settings = load(self.path) if settings is None else settings
        self.reported: tuple[Finding, ...] = ()

    def changed(self, forced: bool = False) -> Settings | tuple[Finding, ...] | None:
        """New settings, which `settings` holds from now on; or the findings that keep the old ones in force,
        returned once; or None if nothing changed. `forced`: the file is read whatever its stamp says, and its
        findings are returned again."""
        stamp = self.current_stamp()
        if stamp == self.stamp and not forced:
            return None
        # The stamp was taken before the read: what is written meanwhile is seen at the next look.
        self.stamp = stamp
        try:
            settings = load(self.path)
        except SettingsError as error:
            # Guards against a file that is half written, gone for a moment, or wrong: the old settings stay.
            reported_before, self.reported = self.reported, error.findings
            return error.findings if error.findings != reported_before or forced else None
        self.reported = ()
        if settings == self.settings:
            return None
        self.settings = settings
        return settings

    def current_stamp(self) -> FileStamp | None:
        """The stamp of the file as it is now; None if there is none."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
