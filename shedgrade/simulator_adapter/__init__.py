"""The simulator's wire protocol: decodes messages, maps ids to indices, calls the balancer and replies."""
