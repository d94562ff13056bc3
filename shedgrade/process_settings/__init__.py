"""Boot settings: the YAML file that the platform writes for each process, read, checked, and watched."""

from shedgrade.process_settings.file_watcher import SettingsFileWatcher
from shedgrade.process_settings.reloader import SettingsReloader
from shedgrade.process_settings.settings import CloudApi, Limits, Settings, TimingBounds, ToleratedLosses
from shedgrade.process_settings.validation import SettingsError, explain, load, require

__all__ = [
    "TimingBounds",
    "CloudApi",
    "Limits",
    "SettingsReloader",
    "Settings",
    "SettingsError",
    "ToleratedLosses",
    "SettingsFileWatcher",
    "explain",
    "load",
    "require",
]
