import sys

from shedgrade.benchlink.wire import BadInput, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadInput as bad:
        sys.exit(f"benchlink: {bad}")
