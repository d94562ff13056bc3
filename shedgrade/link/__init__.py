"""Frames between the system's own processes, and their TCP and UDP ends."""
