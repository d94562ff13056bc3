"""The sidecar, `python -m shedgrade serve`, and the modules that only it uses."""
