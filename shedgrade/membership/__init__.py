"""Which other members there are: partial views, shuffled between neighbours (gossip)."""
