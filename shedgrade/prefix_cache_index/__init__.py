"""The shared index of which endpoint has cached which prompt prefix: what edges saw, spread by the core.

Sans I/O. It is a guess that is trusted only while its source is fresh: an endpoint evicts prefixes that were
unused for long, and a new incarnation has cached none. A process that was cut off trusts nothing of it until
it received all of it anew.
"""

from shedgrade.prefix_cache_index.edge import EdgePrefixIndex
from shedgrade.prefix_cache_index.index import (
    PrefixIndex,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
    prefix_key,
)

__all__ = [
    "EdgePrefixIndex",
    "PrefixIndex",
    "PrefixIndexAdditions",
    "PrefixIndexRequest",
    "PrefixIndexUpdate",
    "prefix_key",
]
