"""The sidecar, `python -m shedgrade serve`, with all that only it has."""
