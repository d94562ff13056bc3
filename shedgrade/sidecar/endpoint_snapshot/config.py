"""The table `[saved]` of the features file."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from shedgrade.sidecar.endpoint_snapshot.trust import TrustConfig

Seconds = Annotated[float, Meta(gt=0)]


class SavedListConfig(Struct, kw_only=True, forbid_unknown_fields=True):
    """Where and how the endpoint list is saved.

    Attributes:
        folder: the directory; it belongs to this sidecar alone, is kept across restarts, and is created with
            mode 700 if it is missing.
        sync: when written data is forced to the disk: always (after each batch), interval (every `sync_s`
            seconds at most), never.
        sync_s: the shortest time between two syncs, in seconds; only for `interval`.
        state_s: the interval at which the learned state is saved, in seconds.
        trust: how far saved endpoints are used.
    """

    folder: str
    sync: Literal["always", "interval", "never"] = "interval"
    sync_s: Seconds = 1.0
    state_s: Seconds = 10.0
    trust: TrustConfig = field(default_factory=TrustConfig)

    def find_problems(self) -> Iterator[tuple[str, str]]:
        """Yields (key, reason) for each value that the types alone do not rule out."""
        if not self.folder:
            yield "folder", "is empty"
        if self.trust.as_told_s < 0 or self.trust.cautious_s < self.trust.as_told_s:
            yield "trust.cautious_s", f"{self.trust.cautious_s:g} is under as_told_s {self.trust.as_told_s:g}"
        if not 1 <= self.trust.ends <= 100:
            yield "trust.ends", f"{self.trust.ends} is not from 1 to 100"
