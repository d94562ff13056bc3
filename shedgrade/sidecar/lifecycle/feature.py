"""The base class of optional features: the calls that the sidecar makes on each of them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.features import Features
    from shedgrade.upstream_pool.pool import Pool


class Feature:
    """An optional feature of the sidecar. Subclasses override the calls they need; all do nothing here."""

    def start(self) -> None:
        """Called when the sidecar listens, before it accepts connections."""

    def reload(self, features: "Features | None") -> None:
        """Called after the configuration file was read again, with the features file if there is one.

        A feature without an override changes only with a restart.
        """

    def tick(self) -> None:
        """Called four times per second while the sidecar runs."""

    def has_pending_connections(self) -> bool:
        """Returns whether a connection of this feature waits to be accepted."""
        return False

    def stop_accepting(self) -> None:
        """Called during the drain: accepts no further connections."""

    def close_idle(self) -> None:
        """Called during the drain: closes the feature's connections that have no request in flight."""

    def in_flight(self) -> int:
        """Returns the number of connections or requests that the drain still waits for."""
        return 0

    def own_pools(self) -> "list[Pool]":
        """Returns the upstream pools that only this feature uses, without the sidecar's pool."""
        return []

    def close(self) -> None:
        """Called after the drain: saves state that must outlive the process."""
