"""`python -m shedgrade.simulator_adapter`: the balancer on the wire protocol of the operators' simulator."""

import sys

from shedgrade.simulator_adapter.wire import BadInputError, DecisionError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (BadInputError, DecisionError) as failure:
        sys.exit(f"benchlink: {failure}")
    except BrokenPipeError:
        sys.exit("benchlink: the reader of the replies has closed the pipe")
