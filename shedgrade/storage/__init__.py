"""Control state of one core member on disk: two slots written in turn, with a short log between."""

from shedgrade.storage.store import Found, State, Store

__all__ = ["Found", "State", "Store"]
