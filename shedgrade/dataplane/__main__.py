"""python3 -m shedgrade.dataplane

Usage:
  shedgrade.dataplane [--settings FILE]

Options:
  --settings FILE   The settings file; SHEDGRADE_BOOT names it otherwise.
"""
import sys


def main(arguments: list[str]) -> int:
    import asyncio
    from random import SystemRandom

    import uvloop
    from docopt import docopt

    from shedgrade.boot import SettingsError, Watched, explain, require
    from shedgrade.log import hand
    from shedgrade.ring import Ring

    options = docopt(__doc__, arguments)
    try:
        watched = Watched(options["--settings"])
        settings = watched.settings
        require(settings, listen=("front", "readiness"))
    except SettingsError as wrong:
        print(explain(wrong), file=sys.stderr)
        return 2
    ring = Ring(settings.node_name)
    hand(ring)
    from shedgrade.dataplane.plane import DataPlane

    async def run() -> None:
        await DataPlane(settings, asyncio.get_running_loop(), SystemRandom(), watched).serve()

    try:
        uvloop.run(run())
    finally:
        ring.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
