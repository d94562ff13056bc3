"""The command line for operators of the whole system: `python3 -m shedgrade.ctl`."""
