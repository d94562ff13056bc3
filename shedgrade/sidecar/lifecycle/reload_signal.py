"""SIGHUP before there is an event loop to handle it: unhandled, it would end a process that is being started.

It is ignored until the configuration is about to be read; from then on it is recorded, for one reload once
the sidecar serves. The line `run` of the deploy file ignores it before that, in the shell and interpreter.
"""

import signal

recorded = False


def ignore_reload_signal() -> None:
    """What is read later is newer than this signal."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def record_reload_signal() -> None:
    """From here on a signal may come after the file was read."""

    def record(number: int, frame: object) -> None:
        global recorded
        recorded = True

    signal.signal(signal.SIGHUP, record)


def reload_requested() -> bool:
    """Whether one came since `record_reload_signal`; whoever asks handles all further ones."""
    return recorded
