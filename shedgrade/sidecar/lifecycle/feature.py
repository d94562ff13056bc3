"""What the sidecar calls on each optional feature during its life; a feature overrides what concerns it."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.features import Features
    from shedgrade.upstream_pool.pool import Pool


class Feature:
    """A feature of the sidecar with nothing of its own to start, reload, drain or close."""

    def start(self) -> None:
        """The sidecar listens and is about to accept."""

    def reload(self, features: "Features | None") -> None:
        """The configuration was read anew, and the features file, where there is one. Without an override
        only a restart changes this feature."""

    def tick(self) -> None:
        """Called four times a second while the sidecar runs."""

    def has_pending_connections(self) -> bool:
        """Whether a connection of this feature waits to be accepted."""
        return False

    def stop_accepting(self) -> None:
        """The sidecar drains: no new connection is to be accepted."""

    def close_idle(self) -> None:
        """The sidecar drains: connections without a request are to be closed."""

    def in_flight(self) -> int:
        """The number of connections or requests that the drain still waits for."""
        return 0

    def own_pools(self) -> "list[Pool]":
        """Pools of upstreams that this feature has beside the sidecar's own."""
        return []

    def close(self) -> None:
        """The sidecar has drained; what is to be saved is saved now."""
