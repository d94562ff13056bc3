"""A pool of upstreams with their connections, and the interface by which listeners send requests to it."""
