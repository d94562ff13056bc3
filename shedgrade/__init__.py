"""A sidecar load balancer: zone-aware rotation with named guards. The decisions are in `decide`."""
