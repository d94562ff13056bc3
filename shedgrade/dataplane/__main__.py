"""python3 -m shedgrade.dataplane

Usage:
  shedgrade.dataplane [--settings FILE]

Options:
  --settings FILE   The settings file; SHEDGRADE_BOOT names it otherwise.
"""

import signal
import sys


def main(arguments: list[str]) -> int:
    """Runs the data plane; returns the process's exit status."""
    from shedgrade.process_settings import Settings, require
    from shedgrade.program import PlaneClass, run_program

    def check(settings: Settings) -> None:
        require(settings, listen=("front", "readiness"))

    def load_plane() -> PlaneClass:
        from shedgrade.dataplane.plane import DataPlane

        return DataPlane

    return run_program(__doc__, arguments, check, load_plane)


if __name__ == "__main__":
    # SIGHUP would end the process until the plane handles it. A changed settings file is noticed without it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(main(sys.argv[1:]))
