"""What each program runs on: start, log, clock, uncaught errors, detection of stalls."""
