"""Errors of this package and of what configures it."""


class ConfigError(Exception):
    """One line that says what is wrong."""
