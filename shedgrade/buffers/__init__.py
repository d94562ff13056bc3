"""Bytes in memory, bounded: rings, flows between connections, and the budget that counts them."""
