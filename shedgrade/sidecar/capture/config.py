"""The table `[capture]` of the features file."""

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct


class CaptureConfig(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the capture.

    folder: directory of the captures of this sidecar and no other one; created with mode 700. Captures are
        written on SIGUSR1, after an internal error, and, with `continuous`, all the time.
    memory_mb: size of the ring buffer of records, MiB.
    checkpoint_s: interval between two checkpoints, seconds.
    most_rows: calls recorded in one second; above it, recording pauses.
    ids: form in which the ids of requests are stored: as a hash, in plain text, or not at all.
    continuous: also writes all records to files as they are made.
    keep_mb: with `continuous`, total size of the captures in `folder`, MiB; the oldest are removed.
    """

    folder: str
    memory_mb: Annotated[float, Meta(ge=0.5, le=64)] = 4.0
    checkpoint_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
    most_rows: Annotated[int, Meta(ge=1000)] = 50_000
    ids: Literal["hash", "plain", "none"] = "hash"
    continuous: bool = False
    keep_mb: Annotated[int, Meta(ge=32)] = 256

    def find_problems(self) -> Iterator[tuple[str, str]]:
        """Yields (key, reason) for values that the types allow and the capture does not."""
        if not self.folder:
            yield "folder", "is empty"
