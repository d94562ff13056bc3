"""Loads the settings file."""

import os

import yaml

from shedgrade.findings import Finding
from shedgrade.process_settings.errors import SettingsError
from shedgrade.process_settings.settings import Settings
from shedgrade.process_settings.validation import validate

SETTINGS_VARIABLE = "SHEDGRADE_BOOT"  # environment variable with the path of the settings file
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def load(path: str | None = None) -> Settings:
    """The settings in the YAML file at `path`, or in the one that SHEDGRADE_BOOT names. SettingsError with
    all findings if the file can't be read, or something in it is missing, of a wrong type or out of range."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError([Finding(SETTINGS_VARIABLE, "names no settings file")])
    try:
        with open(path, "rb") as file:
            document = yaml.load(file, Loader)
    except OSError as error:
        raise SettingsError([Finding(path, error.strerror or repr(error))]) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f", line {mark.line + 1}" if mark else ""
        problem = getattr(error, "problem", None) or "is not valid YAML"
        raise SettingsError([Finding(path + line, problem)]) from error
    if not isinstance(document, dict):
        raise SettingsError([Finding(path, "is not a mapping of names to values")])
    return validate(document)
