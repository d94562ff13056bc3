"""The shared index of which endpoint has cached which prompt prefix: observed by edges, spread by the core.

Sans I/O. The index is a guess that is trusted only while its source is fresh: an endpoint evicts prefixes
that have not been used for long, and a new incarnation has cached none. A process that was cut off does not
trust its index until it has received the full index again.
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
