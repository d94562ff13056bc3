"""What every run of the tests has: the rules of KNOWN-RED.txt, and workers for the whole suite."""

pytest_plugins = ["tools.known_red", "tools.workers"]
