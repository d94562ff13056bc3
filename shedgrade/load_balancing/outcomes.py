"""States and outcomes, as the caller names them."""

EXHAUSTED, ERRORED = -1, -2
# States of an upstream in the list, and ways a transmission ends, of which four prove that it never ran.
READY, DRAINING, REMOVED = range(3)
UNSENT, UNCONNECTED, REJECTED, COMPLETED, FAILED, TIMED_OUT, DROPPED, STOPPED, BROKEN = range(9)
NEVER_RAN = (UNSENT, UNCONNECTED, REJECTED, BROKEN)
