"""Durable control state of one core member: two snapshot slots, written in turn, each with its own log."""

from shedgrade.storage.store import LoadResult, Store, StoreState

__all__ = ["LoadResult", "Store", "StoreState"]
