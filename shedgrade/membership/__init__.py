"""Gossip membership: each member holds a partial view of the others and shuffles it with its neighbours."""
