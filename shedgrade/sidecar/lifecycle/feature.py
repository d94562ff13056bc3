"""What the sidecar calls on each optional feature during its life; a feature overrides what concerns it."""


class Feature:
    """A feature of the sidecar with nothing of its own to reload, drain or close."""

    def renew(self, features) -> None:
        """The features file was read anew. Without an override only a restart changes this feature."""

    def look_after(self) -> None:
        """Called about once a second while the sidecar runs."""

    def waiting(self) -> bool:
        """Whether a connection of this feature waits to be accepted."""
        return False

    def stop_accepting(self) -> None:
        """The sidecar drains: no new connection is to be accepted."""

    def close_idle(self) -> None:
        """The sidecar drains: connections without a request are to be closed."""

    def busy(self) -> int:
        """The number of connections or requests that the drain still waits for."""
        return 0
