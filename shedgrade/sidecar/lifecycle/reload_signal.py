"""Handling of SIGHUP before the event loop handles it: by default it would end a process that is starting.

The signal is ignored until the configuration is about to be read. From then on it is recorded, and leads to
one reload once the sidecar serves. Before this module runs, the `run` line of the deploy file ignores the
signal, in the shell and in the interpreter.
"""

import signal

reload_pending = False


def ignore_reload_signal() -> None:
    """Ignores SIGHUP: the configuration is read later, so it is newer than the signal."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def record_reload_signal() -> None:
    """Records SIGHUP: from now on it may arrive after the configuration was read."""

    def record(signal_number: int, frame: object) -> None:
        global reload_pending
        reload_pending = True

    signal.signal(signal.SIGHUP, record)


def reload_requested() -> bool:
    """Returns whether SIGHUP arrived since `record_reload_signal`; the caller handles later ones."""
    return reload_pending
