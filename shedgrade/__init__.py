"""A client-side load balancer: the decision logic, the sidecar that applies it, and the bench's adapter."""

__version__ = "0.2.0"
