import sys

from shedgrade.benchlink.wire import BadInputError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadInputError as bad:
        sys.exit(f"benchlink: {bad}")
