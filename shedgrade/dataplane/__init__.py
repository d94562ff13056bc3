"""The data plane: one sidecar on an edge machine. Program 1 of the system."""
