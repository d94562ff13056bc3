"""SIGHUP before there is a loop to take it: untaken, it would end a process that is being started.

Not heard at all until the configuration is about to be read; from then on noted, for one reload once the
sidecar serves. The line `run` keeps it from the shell and the interpreter before that.
"""

import signal

asked = False


def unheard() -> None:
    """What is read later is newer than this signal."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def noted() -> None:
    """From here on a signal may come behind the reading of the file."""

    def note(number: int, frame: object) -> None:
        global asked
        asked = True

    signal.signal(signal.SIGHUP, note)


def reload_asked() -> bool:
    """One came since `noted`; whoever asks hears all further ones himself."""
    return asked
