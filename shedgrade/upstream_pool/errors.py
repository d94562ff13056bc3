"""Errors of this package and of what configures it."""


class ConfigError(Exception):
    """A setting is missing or not valid; the text is one line."""
