"""The data plane: the sidecar on one edge machine. Program 1 of the system."""
