"""What all edges together have in flight at each upstream, shared many times a second by way of the core.

Sans I/O. One edge of many sees little of what an upstream has to do; a prompt is read within some hundred ms,
so only words that are younger than that tell where one is being read. Loads are hints: nothing breaks where
they are missing, late or wrong, and they are forgotten when their source falls silent.
"""

from shedgrade.load_reports.aggregator import LoadAggregator
from shedgrade.load_reports.edge import LoadReporter, PeerLoads
from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate

__all__ = ["LoadAggregator", "LoadReport", "LoadReporter", "LoadSums", "LoadUpdate", "PeerLoads"]
