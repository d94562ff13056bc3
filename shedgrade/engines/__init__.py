"""Stand-ins for the model upstreams that the system serves; for the lab and for tests, not for production.

Source: the operators' PROTOCOL, "Upstreams", "Requests", "Answers". `Engine` does no I/O: the caller passes
the time to each call.
"""

from shedgrade.engines.engine import Engine
from shedgrade.engines.settings import EngineSettings
from shedgrade.engines.work import (
    Crashed,
    DeadlineExceeded,
    Done,
    Event,
    Rejected,
    Started,
    Work,
)

__all__ = [
    "Crashed",
    "Done",
    "Engine",
    "EngineSettings",
    "DeadlineExceeded",
    "Event",
    "Rejected",
    "Started",
    "Work",
]
