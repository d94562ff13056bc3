"""What all edges together have in flight at each endpoint, exchanged many times a second through the core.

Sans I/O. One edge of many sees little of what an endpoint has to do; a prefill takes some hundred ms, so only
reports that are younger than that tell where one is under way. Loads are hints: nothing breaks where they are
missing, late or wrong, and they are forgotten when their source falls silent.
"""

from shedgrade.load_reports.aggregator import LoadAggregator
from shedgrade.load_reports.edge import LoadReporter, PeerLoads
from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate

__all__ = ["LoadAggregator", "LoadReport", "LoadReporter", "LoadSums", "LoadUpdate", "PeerLoads"]
