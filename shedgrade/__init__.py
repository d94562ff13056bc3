"""A client-side load balancer: the decisions, the sidecar on sockets, and the bench's adapter."""

__version__ = "0.2.0"
