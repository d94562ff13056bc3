"""Frames between the system's own processes, and their TCP and UDP ends."""

import shedgrade.peer_transport.flatbuffers_without_numpy  # noqa: F401 - before anything here imports the library
