"""Entry point of `python -m shedgrade`."""

from shedgrade.sidecar.lifecycle.reload_signal import ignore_reload_signal

if __name__ == "__main__":
    ignore_reload_signal()  # before the slow imports below: until then the signal would end the process

from shedgrade.cli import app

if __name__ == "__main__":
    app()
