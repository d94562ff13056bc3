"""Benchmarks of the store on a disk of this machine: `python benchmarks/storage.py [FOLDER] [SECONDS]`.

For each size of value, with three keys in the state, a line shows writes per second, the duration of a write,
bytes written and syncs per write, the largest size of the folder, and the duration of a start. The store is
in a new folder below FOLDER, which selects the disk; the default is the system's temporary folder.
"""

import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from shedgrade.storage import Store
from shedgrade.storage.files import Files


class CountingFiles(Files):
    """Counts the bytes written to the disk and the syncs."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.written = self.syncs = 0

    def write(self, name: str, offset: int, data: bytes) -> None:
        self.written += len(data)
        super().write(name, offset, data)

    def sync(self, name: str) -> None:
        self.syncs += 1
        super().sync(name)

    def sync_folder(self) -> None:
        self.syncs += 1
        super().sync_folder()


def measure(folder: Path, size: int, seconds: float) -> str:
    files = CountingFiles(folder)
    store = Store(folder, files)
    store.load()
    store.write({"evacuations": b"[]", "version": b"0"})
    durations, largest, bytes_before, syncs_before = [], 0, files.written, files.syncs
    begun = time.perf_counter()
    while time.perf_counter() - begun < seconds:
        value = len(durations).to_bytes(8, "little") + bytes(size - 8)
        at = time.perf_counter()
        store.write({"configuration": value, "version": b"%d" % len(durations)})
        durations.append(time.perf_counter() - at)
        if len(durations) % 16 == 0:
            largest = max(largest, sum(path.stat().st_size for path in folder.iterdir()))
    spent = sum(durations)
    written, syncs = files.written - bytes_before, files.syncs - syncs_before
    store.close()
    at = time.perf_counter()
    again = Store(folder)
    again.load()
    start = time.perf_counter() - at
    again.close()
    durations.sort()
    return (
        f"{size} B: {len(durations) / spent:.0f} writes/s, "
        f"median {durations[len(durations) // 2] * 1000:.2f} ms, "
        f"p99 {durations[len(durations) * 99 // 100] * 1000:.2f} ms, "
        f"{written / len(durations):.0f} bytes and {syncs / len(durations):.2f} syncs per write, "
        f"folder up to {largest} bytes, start {start * 1000:.1f} ms"
    )


def main() -> None:
    place = sys.argv[1] if len(sys.argv) > 1 else None
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 3.0
    for size in (100, 100_000, 4_000_000):
        with tempfile.TemporaryDirectory(dir=place) as folder:
            print(measure(Path(folder), size, seconds), flush=True)


if __name__ == "__main__":
    main()
