"""The record of cached prompts at one core member: true again after a cut before anything is said of it."""

from collections.abc import Callable
from zlib import crc32

from shedgrade import control_messages
from shedgrade.controlplane.platform_poller import EndpointList
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.prefix_cache_index import (
    PrefixIndex,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
)

LOST = 1.0  # s without the primary after which this member counts as cut off
ASK = 0.5  # s between two questions to the others
NOBODY = 3.0  # s in touch without an answer after which nobody has anything to tell


class PrefixIndexExchange:
    """`tell_others(body)` reaches every other member; what comes back is handed to `heard`."""

    def __init__(
        self, hub: WatchHub, source: int, founding: bool, tell_others: Callable[[object], None]
    ) -> None:
        self.hub, self.tell_others = hub, tell_others
        self.ledger = hub.prefix_index = PrefixIndex(source, founding)
        self.asked_at, self.in_touch_at = 0.0, None

    def beat(self, now: float, heard_at: float) -> None:
        """`heard_at`: when this member last heard the primary, or as primary was confirmed."""
        if now - heard_at > LOST:
            self.ledger.cut()
            self.in_touch_at = None
        elif not self.ledger.true:
            self.in_touch_at = now if self.in_touch_at is None else self.in_touch_at
            if now - self.in_touch_at > NOBODY:
                self.ledger.nobody()
            elif now - self.asked_at >= ASK:
                self.asked_at = now
                self.tell_others(PrefixIndexRequest())
        if self.hub.unsent_prefix_reads:
            pairs, self.hub.unsent_prefix_reads = tuple(self.hub.unsent_prefix_reads), []
            self.tell_others(PrefixIndexAdditions(pairs))

    def heard(self, now: float, message: object, answer: Callable[[bytes], None]) -> None:
        match message:
            case PrefixIndexAdditions(pairs):
                self.ledger.read(now, pairs)
            case PrefixIndexUpdate():
                self.ledger.take(now, message)
            case PrefixIndexRequest():
                moved = self.ledger.since(0, -1)
                if moved is not None:
                    answer(control_messages.encode(moved))

    def listed(self, instances: EndpointList) -> None:
        """The platform's list moved: an incarnation that is gone holds nothing."""
        self.ledger.listed({crc32(name.encode()) for name in instances.held})
