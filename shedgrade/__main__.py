"""python -m shedgrade"""
from shedgrade.cli import app

if __name__ == "__main__":
    app()
