"""The shared record of which upstreams hold which prompts' parts: what edges saw read, spread by the core.

Sans I/O. It is a guess that is only trusted while its source is fresh: an upstream lets go of parts that were
unused for long, and a new incarnation holds nothing. Whoever was cut off believes nothing of it until it was
told all of it anew.
"""

from shedgrade.prefix_cache_index.edge import EdgePrefixIndex
from shedgrade.prefix_cache_index.index import (
    PrefixIndex,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
    key_of,
)

__all__ = [
    "EdgePrefixIndex",
    "PrefixIndex",
    "PrefixIndexAdditions",
    "PrefixIndexRequest",
    "PrefixIndexUpdate",
    "key_of",
]
