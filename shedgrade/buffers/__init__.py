"""Bounded buffers: byte rings, flows between connections, and the budget that counts them."""
