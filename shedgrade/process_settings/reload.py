"""Settings that are read anew while the process runs: what of them holds from then on, and what does not."""

from collections.abc import Callable
from dataclasses import fields, replace

from shedgrade.findings import Finding
from shedgrade.process_settings.settings import Settings
from shedgrade.process_settings.watched import Watched
from shedgrade.runtime.log import logger

LIVE = {"bounds": "timingBounds", "cloud_api": "cloudApi", "zones": "zones"}
OTHERS = {
    "internal_ports": "internalPortRange",
    "listen": "listenAddresses",
    "seeds": "seedNodes",
    "tolerated": "toleratedLosses",
}  # as the file names them
EVERY = 1.0  # s between two looks at the file


class Reload:
    """`settings`: those in force. `apply(settings)` is called when what is LIVE of them moved.

    Sans I/O but for the look at the file; the caller calls `look` often, and with `told=True` on SIGHUP.
    """

    def __init__(
        self, settings: Settings, watched: Watched | None, apply: Callable[[Settings], None]
    ) -> None:
        """`watched`: None where there is no file."""
        self.settings, self.watched, self.apply = settings, watched, apply
        self.look_at = 0.0

    def look(self, now: float, told: bool = False) -> None:
        if self.watched is None or (now < self.look_at and not told):
            return
        self.look_at = now + EVERY
        match self.watched.changed(told):
            case Settings() as settings:
                self.take(settings, told)
            case tuple() as findings:
                self.refuse(findings)

    def refuse(self, findings: tuple[Finding, ...]) -> None:
        for finding in findings:
            logger.warning("the old settings stay in force: {}", str(finding))

    def take(self, settings: Settings, told: bool) -> None:
        moved = [
            field.name
            for field in fields(Settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        live = [name for name in moved if name in LIVE]
        waits = [name for name in moved if name not in LIVE]
        now = ", ".join(LIVE[name] for name in live) or "nothing"
        later = ", ".join(map(in_file, waits)) or "nothing"
        if told and waits:  # an operator who signals is told at once
            logger.warning("settings are read anew: {} in force; only a start changes {}", now, later)
        else:
            logger.info("settings are read anew: {} in force; only a start changes {}", now, later)
        if live:
            self.settings = replace(self.settings, **{name: getattr(settings, name) for name in live})
            self.apply(self.settings)


def in_file(name: str) -> str:
    """The name of a field in the settings file.

    >>> in_file("node_name"), in_file("seeds")
    ('nodeName', 'seedNodes')
    """
    if name in OTHERS:
        return OTHERS[name]
    first, *more = name.split("_")
    return first + "".join(word.capitalize() for word in more)
