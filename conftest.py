"""Pytest plugins of every test run: known failures (KNOWN-RED.txt) and worker processes."""

pytest_plugins = ["tools.known_red", "tools.workers"]
