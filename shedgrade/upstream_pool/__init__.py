"""A set of upstreams with their connections, and what a listener needs to send requests there."""
