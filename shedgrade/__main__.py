"""python -m shedgrade"""

from shedgrade.sidecar.lifecycle.early import unheard

if __name__ == "__main__":
    unheard()  # before the rest is imported, which takes a while

from shedgrade.cli import app

if __name__ == "__main__":
    app()
