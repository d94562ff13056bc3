"""Handling of SIGHUP before the event loop handles it: by default it would end a process that is starting.

The signal is ignored until the configuration is about to be read. From then on it is recorded, and leads to
one reload once the sidecar serves. Until this module runs, the signal is ignored because of the `trap` in the
`run` line of the deploy file, which holds for the shell and for the interpreter that the shell starts.
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
    """Returns whether SIGHUP arrived since `record_reload_signal`; the caller handles later signals."""
    return reload_pending
