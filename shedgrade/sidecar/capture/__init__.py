"""Capture and replay: all that the decisions were told, kept so that the same decisions can be had again."""
