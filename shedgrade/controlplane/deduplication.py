"""Deduplication of commands: a record of the accepted configurations within the control state itself.

A caller that sends an accepted change again gets the same reply. Versions rise with each accepted change, so
the record is an append-only sequence: blocks of entries (version and digest) in order. A change rewrites the
newest block only, and a lookup is a binary search. Beyond `MAX_BLOCKS` the oldest blocks are dropped; whether
a version of a dropped block was accepted is unknown.

Keys (`state_keys.py`): ACCEPTED_COUNT holds the number of entries ever written (decimal), ACCEPTED_BLOCK the
entries of one block.
"""

from collections.abc import Mapping
from enum import Enum, auto
from hashlib import blake2b
from struct import Struct

from shedgrade.controlplane.state_keys import ACCEPTED_BLOCK, ACCEPTED_COUNT, configuration_version

BLOCK_ENTRIES = 32  # entries of one block: a change rewrites at most 640 bytes
MAX_BLOCKS = 1024  # 32,768 configurations in 655 KB
DIGEST_BYTES = 12
ENTRY = Struct(f">Q{DIGEST_BYTES}s")  # version, digest


class AcceptanceStatus(Enum):
    """What the record knows of a change."""

    ACCEPTED = auto()
    NEVER_ACCEPTED = auto()
    FORGOTTEN = auto()  # older than the record: the change may have been accepted


def digest(raw: bytes) -> bytes:
    """The digest of a change's content, as stored in the entries (BLAKE2b, RFC 7693)."""
    return blake2b(raw, digest_size=DIGEST_BYTES).digest()


def entry_count(state: Mapping[str, bytes]) -> int:
    """The number of entries ever written."""
    return int(state.get(ACCEPTED_COUNT) or 0)


def oldest_block(entries: int) -> int:
    """The number of the oldest block that is kept after `entries` entries were written."""
    newest = max(entries - 1, 0) // BLOCK_ENTRIES
    return max(newest - MAX_BLOCKS + 1, 0)


def first_version(state: Mapping[str, bytes], block: int) -> int:
    """The version of a block's first entry. Raises KeyError if the block is not kept."""
    return ENTRY.unpack_from(state[ACCEPTED_BLOCK.format(block)])[0]


def acceptance_status(state: Mapping[str, bytes], version: int, raw: bytes) -> AcceptanceStatus:
    """Whether the change with this version and content was accepted, according to the newest `state`."""
    if version > configuration_version(state):
        return AcceptanceStatus.NEVER_ACCEPTED
    entries = entry_count(state)
    oldest = low = oldest_block(entries)
    if not entries or version < first_version(state, oldest):
        return AcceptanceStatus.FORGOTTEN if oldest or not entries else AcceptanceStatus.NEVER_ACCEPTED
    high = (entries - 1) // BLOCK_ENTRIES
    while low < high:
        middle = (low + high + 1) // 2
        if first_version(state, middle) <= version:
            low = middle
        else:
            high = middle - 1
    wanted = (version, digest(raw))
    found = wanted in ENTRY.iter_unpack(state[ACCEPTED_BLOCK.format(low)])
    return AcceptanceStatus.ACCEPTED if found else AcceptanceStatus.NEVER_ACCEPTED


def record_acceptance(state: Mapping[str, bytes], version: int, raw: bytes) -> dict[str, bytes | None]:
    """The changes of the state that record an accepted change; its version must be above all recorded."""
    entries = entry_count(state)
    block, position = divmod(entries, BLOCK_ENTRIES)
    key = ACCEPTED_BLOCK.format(block)
    before = state.get(key, b"") if position else b""
    changes: dict[str, bytes | None] = {
        ACCEPTED_COUNT: b"%d" % (entries + 1),
        key: before + ENTRY.pack(version, digest(raw)),
    }
    dropped = oldest_block(entries + 1) - 1
    if ACCEPTED_BLOCK.format(dropped) in state:
        changes[ACCEPTED_BLOCK.format(dropped)] = None
    return changes
