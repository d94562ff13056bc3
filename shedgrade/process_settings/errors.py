"""What is wrong with a settings file."""

from collections.abc import Iterable

from shedgrade.findings import Finding


class SettingsError(Exception):
    """The settings can't be used; `findings` say why, all together."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(map(str, self.findings)))


class InvalidValueError(Exception):
    """One value has the wrong form. `text`: which is asked for; `path`: where within the value, "" if it is
    all of it."""

    def __init__(self, text: str, path: str = "") -> None:
        super().__init__(text)
        self.text = text
        self.path = path


def explain(error: SettingsError) -> str:
    """One line a finding, for stderr; the command ends with status 2 then."""
    return "\n".join(f"settings: {finding}" for finding in error.findings)
