"""What the sidecar speaks: to the application, to upstreams, to discovery."""
