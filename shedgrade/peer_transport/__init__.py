"""Frames between the system's own processes, and the TCP and UDP endpoints that carry them."""

import shedgrade.peer_transport.flatbuffers_without_numpy  # noqa: F401 - before any import of flatbuffers
