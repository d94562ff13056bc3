"""Settings of a process: loads, validates and watches the YAML file that the platform writes for it."""

from shedgrade.process_settings.errors import SettingsError, format_findings
from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.loading import SETTINGS_VARIABLE, load
from shedgrade.process_settings.reloader import SettingsReloader
from shedgrade.process_settings.settings import CloudApi, Limits, Settings, TimingBounds, ToleratedLosses
from shedgrade.process_settings.validation import require, validate

__all__ = [
    "SETTINGS_VARIABLE",
    "CloudApi",
    "Limits",
    "Settings",
    "SettingsError",
    "SettingsFileWatcher",
    "SettingsReloader",
    "TimingBounds",
    "ToleratedLosses",
    "format_findings",
    "load",
    "require",
    "validate",
]
