"""The data plane: the sidecar on one edge machine."""
