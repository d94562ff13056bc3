"""The table `[capture]` of the features file."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct


class Capture(Struct, kw_only=True, forbid_unknown_fields=True):
    """`folder`: of this sidecar alone, made with mode 700; a capture is written there on SIGUSR1, on a fault
    of the
    program's own, and with `continuous` all the time, the newest `keep_mb`. `memory_mb`: the ring that is
    kept.
    `checkpoint_s`: between two states. `most_rows`: calls kept in a second, over which nothing is kept for a
    while. `ids`: of RPCs, as what stands for them (hash), plain, or none.
    """

    folder: str
    memory_mb: Annotated[float, Meta(ge=0.5, le=64)] = 4.0
    checkpoint_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
    most_rows: Annotated[int, Meta(ge=1000)] = 50_000
    ids: Literal["hash", "plain", "none"] = "hash"
    continuous: bool = False
    keep_mb: Annotated[int, Meta(ge=32)] = 256

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields (key, reason) of what types alone do not show."""
        if not self.folder:
            yield "folder", "is empty"
