"""Capture and replay: records each call to the balancer with its result, so that the same decisions can be
made again.
"""
