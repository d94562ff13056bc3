"""How the sidecar starts and stops: its configuration and its phases."""
