"""States of upstreams, outcomes of attempts and final answers, as callers pass and receive them."""

EXHAUSTED, ERRORED = -1, -2
# States of an upstream in the list, and outcomes of an attempt; four outcomes prove that it never ran.
READY, DRAINING, REMOVED = range(3)
UNSENT, UNCONNECTED, REJECTED, COMPLETED, FAILED, TIMED_OUT, DROPPED, STOPPED, BROKEN = range(9)
NEVER_RAN = (UNSENT, UNCONNECTED, REJECTED, BROKEN)
