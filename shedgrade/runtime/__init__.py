"""Runtime services of every program: clock, log, handler of uncaught errors, stall detection."""
