"""Control state of one core member on disk: two slots written in turn, with a short log between."""

from shedgrade.storage.store import LoadResult, Store, StoreState

__all__ = ["LoadResult", "Store", "StoreState"]
