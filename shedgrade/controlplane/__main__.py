"""python3 -m shedgrade.controlplane

Usage:
  shedgrade.controlplane [--settings FILE]

Options:
  --settings FILE   The settings file; SHEDGRADE_BOOT names it otherwise.
"""

import signal
import sys


def main(arguments: list[str]) -> int:
    """Runs the control plane; returns the process's exit status."""
    from shedgrade.process_settings import Settings, require
    from shedgrade.program import PlaneClass, run_program

    def check(settings: Settings) -> None:
        require(settings, disk=True)

    def load_plane() -> PlaneClass:
        from shedgrade.controlplane.plane import ControlPlane

        return ControlPlane

    return run_program(__doc__, arguments, check, load_plane)


if __name__ == "__main__":
    # SIGHUP would end the process before the plane handles it. Changed settings are also found by their file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(main(sys.argv[1:]))
