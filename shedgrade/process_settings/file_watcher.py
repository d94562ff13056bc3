"""Watches the settings file while the process runs; the file may change with or without a signal."""

import os
from typing import NamedTuple

from shedgrade.findings import Finding
from shedgrade.process_settings.errors import SettingsError
from shedgrade.process_settings.loading import SETTINGS_VARIABLE, load
from shedgrade.process_settings.settings import Settings


class FileStamp(NamedTuple):
    """Identifies one state of the file; a changed file has another stamp."""

    modified_ns: int
    size: int
    inode: int


class SettingsFileWatcher:
    """Watches one settings file. The caller calls `check` once a second, and with `forced=True` on SIGHUP.

    Attributes:
        path: of the file.
        stamp: of the file when it was last read; None if it didn't exist.
        settings: the last valid settings.
        last_findings: findings of the file when it was last read; empty if it was valid.
    """

    def __init__(self, path: str | None = None, settings: Settings | None = None) -> None:
        """`settings`: already loaded ones; if None, they are loaded here (SettingsError if that fails)."""
        self.path = path or os.environ.get(SETTINGS_VARIABLE, "")
        # Settings that were loaded earlier get no stamp: the file may have changed since and is read again.
        self.stamp = self.current_stamp() if settings is None else None
        self.settings = load(self.path) if settings is None else settings
        self.last_findings: tuple[Finding, ...] = ()

    def check(self, forced: bool = False) -> Settings | tuple[Finding, ...] | None:
        """New settings, which `settings` holds from then on; or findings, if the file is invalid and the old
        settings stay in force; or None if nothing changed. The same findings are returned only once.
        `forced`: the file is read even if its stamp is unchanged, and findings are returned again."""
        stamp = self.current_stamp()
        if stamp == self.stamp and not forced:
            return None
        # The stamp was taken before the read, so a write in between is noticed by the next call.
        self.stamp = stamp
        try:
            settings = load(self.path)
        except SettingsError as error:
            # Guards against a file that is half written, briefly missing or invalid: the old settings stay.
            findings_before, self.last_findings = self.last_findings, error.findings
            return error.findings if error.findings != findings_before or forced else None
        self.last_findings = ()
        if settings == self.settings:
            return None
        self.settings = settings
        return settings

    def current_stamp(self) -> FileStamp | None:
        """The stamp of the file now; None if the file can't be read."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
