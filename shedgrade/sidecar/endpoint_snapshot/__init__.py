"""What a sidecar keeps on disk of the list and its own picture, and how far it trusts that at the next
start."""
