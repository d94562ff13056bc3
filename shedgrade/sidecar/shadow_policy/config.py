"""The table `[watch]` of the features file."""

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct, field

from shedgrade.sidecar.lifecycle.settings_checks import shape_problem

FIXED = ("methods", "zones", "az", "tick")  # what names mean, here and there: these cannot differ


def overlaid(base: dict, over: dict) -> dict:
    """`base` with what `over` says in its place, table by table."""
    made = dict(base)
    for key, value in over.items():
        held = base.get(key)
        made[key] = overlaid(held, value) if isinstance(value, dict) and isinstance(held, dict) else value
    return made


class Watch(Struct, kw_only=True, forbid_unknown_fields=True):
    """`settings`: what differs from the platform's settings, by their keys. `every_s`: between two lines in
    the log."""

    settings: dict = field(default_factory=dict)
    every_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields (key, reason) of what types alone do not show."""
        for key in FIXED:
            if key in self.settings:
                yield f"settings.{key}", "can't differ from the platform's: remove it"
        # What the platform says is not known here: numbers that hang together are checked at the start.
        wrong = shape_problem({"balancers": 2**31, **self.settings})
        if wrong is not None:
            key, _, reason = wrong.partition(": ")
            yield key, reason
