"""Start and end of the sidecar: configuration, phases, reload, hot restart and shutdown."""
