"""What the sidecar keeps: byte rings, idle connections, RPCs in hand, indices of upstreams."""
