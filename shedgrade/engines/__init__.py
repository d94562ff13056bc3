"""A stand-in for the model upstreams that the system serves: for the lab and for tests, never for serving.

Source: the operators' PROTOCOL, "Upstreams", "Requests", "Answers". `Engine` has no I/O: time is handed in.
"""

from shedgrade.engines.engine import Engine
from shedgrade.engines.settings import EngineSettings
from shedgrade.engines.work import (
    Crashed,
    Done,
    Event,
    Late,
    Rejected,
    Started,
    Work,
)

__all__ = ["Crashed", "Done", "Engine", "EngineSettings", "Event", "Late", "Rejected", "Started", "Work"]
