"""Boot settings: the YAML file that the platform writes for each process, read, checked, and watched."""

from shedgrade.process_settings.reading import SettingsError, explain, load, require
from shedgrade.process_settings.reload import Reload
from shedgrade.process_settings.settings import Bounds, CloudApi, Limits, Settings, Tolerated
from shedgrade.process_settings.watched import Watched

__all__ = [
    "Bounds",
    "CloudApi",
    "Limits",
    "Reload",
    "Settings",
    "SettingsError",
    "Tolerated",
    "Watched",
    "explain",
    "load",
    "require",
]
