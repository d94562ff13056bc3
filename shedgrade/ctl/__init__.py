"""The operators' command line of the whole system: `python3 -m shedgrade.ctl`."""
