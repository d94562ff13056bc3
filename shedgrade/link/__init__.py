"""Frames between the system's own processes, and their TCP and UDP ends."""
import shedgrade.link.light  # noqa: F401 - before anything here imports the library
