"""The load of all edges together at each endpoint, exchanged many times a second through the core members.

Sans I/O. One edge of many sees little of an endpoint's load. A prefill takes some hundred ms, so only reports
that are younger than that show where one is in progress. Loads are hints: nothing breaks if they are missing,
late or wrong, and they are forgotten when their source falls silent.
"""

from shedgrade.load_reports.aggregator import LoadAggregator
from shedgrade.load_reports.edge import LoadReporter, PeerLoads
from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate

__all__ = ["LoadAggregator", "LoadReport", "LoadReporter", "LoadSums", "LoadUpdate", "PeerLoads"]
