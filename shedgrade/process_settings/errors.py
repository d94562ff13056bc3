"""Errors in a settings file."""

from collections.abc import Iterable

from shedgrade.findings import Finding


class SettingsError(Exception):
    """The settings can't be used; `findings` has every reason."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


class InvalidValueError(Exception):
    """A value is invalid. `text`: what is wrong with it; `path`: where within the value, "" for all of it."""

    def __init__(self, text: str, path: str = "") -> None:
        super().__init__(text)
        self.text = text
        self.path = path


def format_findings(error: SettingsError) -> str:
    """The findings for stderr, one a line. The command then ends with status 2."""
    return "\n".join(f"settings: {finding}" for finding in error.findings)
