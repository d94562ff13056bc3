"""Which configurations were accepted, kept within the control state so that a resend is told the same again.

Versions rise with each accepted configuration, so the record is a sequence that only grows: blocks of
entries (version and digest) in order. A change rewrites the newest block only, and a lookup is a binary
search. Beyond `BLOCKS` the oldest are dropped; of versions that old nothing certain is known.

Keys: `accepted` holds the number of entries ever written (decimal), `accepted/K` the entries of block K.
"""

from collections.abc import Mapping
from enum import Enum, auto
from hashlib import blake2b
from struct import Struct

COUNT = "accepted"
BLOCK = "accepted/{}"
BLOCK_ENTRIES = 32  # entries of one block: at most 640 bytes are rewritten by a change
BLOCKS = 1024  # blocks that are kept: 32,768 configurations in 655 KB
DIGEST_BYTES = 12
ENTRY = Struct(f">Q{DIGEST_BYTES}s")  # version, digest


class Past(Enum):
    """What the record says of a configuration."""

    ACCEPTED = auto()
    NEVER_ACCEPTED = auto()
    FORGOTTEN = auto()  # older than the record: it may have been accepted


def digest(raw: bytes) -> bytes:
    return blake2b(raw, digest_size=DIGEST_BYTES).digest()


def count(state: Mapping[str, bytes]) -> int:
    """Entries ever written."""
    return int(state.get(COUNT) or 0)


def oldest_block(entries: int) -> int:
    """The number of the oldest block kept, when so many entries were written."""
    newest = max(entries - 1, 0) // BLOCK_ENTRIES
    return max(newest - BLOCKS + 1, 0)


def first_version(state: Mapping[str, bytes], block: int) -> int:
    return ENTRY.unpack_from(state[BLOCK.format(block)])[0]


def past(state: Mapping[str, bytes], version: int, raw: bytes) -> Past:
    """Whether the configuration with this version and content was accepted, by the newest `state`."""
    if version > int(state.get("version") or 0):
        return Past.NEVER_ACCEPTED
    entries = count(state)
    oldest = low = oldest_block(entries)
    if not entries or version < first_version(state, oldest):
        return Past.FORGOTTEN if oldest or not entries else Past.NEVER_ACCEPTED
    high = (entries - 1) // BLOCK_ENTRIES
    while low < high:
        middle = (low + high + 1) // 2
        if first_version(state, middle) <= version:
            low = middle
        else:
            high = middle - 1
    wanted = (version, digest(raw))
    found = wanted in ENTRY.iter_unpack(state[BLOCK.format(low)])
    return Past.ACCEPTED if found else Past.NEVER_ACCEPTED


def record(state: Mapping[str, bytes], version: int, raw: bytes) -> dict[str, bytes | None]:
    """The changes of the state that add an accepted configuration; its version is above all before."""
    entries = count(state)
    block, place = divmod(entries, BLOCK_ENTRIES)
    key = BLOCK.format(block)
    before = state.get(key, b"") if place else b""
    changes: dict[str, bytes | None] = {
        COUNT: b"%d" % (entries + 1),
        key: before + ENTRY.pack(version, digest(raw)),
    }
    dropped = oldest_block(entries + 1) - 1
    if BLOCK.format(dropped) in state:
        changes[BLOCK.format(dropped)] = None
    return changes
