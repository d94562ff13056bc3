"""The admin address of the sidecar: parses operators' calls, passes them on and sends the responses."""
