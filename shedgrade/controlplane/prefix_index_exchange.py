"""The prefix index of one core member: kept in sync with the other members' indexes. After a network
partition it answers nothing until it is valid again.
"""

from collections.abc import Callable
from zlib import crc32

from shedgrade import control_messages
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.prefix_cache_index import (
    PrefixIndex,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
)

PRIMARY_TIMEOUT_S = 1.0  # without contact to the primary, after which this member counts as cut off
REQUEST_INTERVAL_S = 0.5  # between two requests to the other members
# Without an answer while in contact, after which no member counts as having an index.
NO_ANSWER_TIMEOUT_S = 3.0


class PrefixIndexExchange:
    """Maintains the index, requests it from the other members after a partition, and sends them the additions
    that edges report.

    Attributes:
        hub: receives the reports of edges and answers them.
        broadcast: sends a message to all other members; their answers are passed to `receive`.
        index: the index, shared with the hub.
        requested_at: when the other members were last asked for their index.
        in_contact_since: when the primary was heard again after a partition; None while cut off, and if there
            was no partition.
    """

    def __init__(
        self,
        hub: WatchHub,
        source: int,
        is_founding: bool,
        broadcast: Callable[[PrefixIndexAdditions | PrefixIndexRequest], None],
    ) -> None:
        """`source`: a number drawn at random when the process starts. `is_founding`: whether the core starts
        for the first time, so that an empty index is valid.
        """
        self.hub = hub
        self.broadcast = broadcast
        self.index = PrefixIndex(source, is_founding)
        hub.prefix_index = self.index
        self.requested_at = 0.0
        self.in_contact_since: float | None = None

    def tick(self, now: float, primary_heard_at: float) -> None:
        """Invalidates the index while cut off, recovers it afterwards, and sends additions to the other
        members. `primary_heard_at`: when this member last heard from the primary, or was confirmed as
        primary.
        """
        if now - primary_heard_at > PRIMARY_TIMEOUT_S:
            self.index.invalidate()
            self.in_contact_since = None
        elif not self.index.is_valid:
            self.recover(now)
        if self.hub.unsent_observed_prefixes:
            pairs = tuple(self.hub.unsent_observed_prefixes)
            self.hub.unsent_observed_prefixes = []
            self.broadcast(PrefixIndexAdditions(pairs))

    def recover(self, now: float) -> None:
        """Asks the other members for their index while the own one is invalid and the primary is heard;
        starts with an empty one if none answers in time.
        """
        if self.in_contact_since is None:
            self.in_contact_since = now
        if now - self.in_contact_since > NO_ANSWER_TIMEOUT_S:
            self.index.reset()
        elif now - self.requested_at >= REQUEST_INTERVAL_S:
            self.requested_at = now
            self.broadcast(PrefixIndexRequest())

    def receive(
        self,
        now: float,
        message: PrefixIndexAdditions | PrefixIndexUpdate | PrefixIndexRequest,
        respond: Callable[[bytes], None],
    ) -> None:
        """Handles a message of another member; `respond` sends an encoded message back to it."""
        match message:
            case PrefixIndexAdditions(pairs):
                self.index.add(now, pairs)
            case PrefixIndexUpdate():
                self.index.restore(now, message)
            case PrefixIndexRequest():
                update = self.index.update_since(0, -1)
                if update is not None:
                    respond(control_messages.encode(update))

    def retain_endpoints(self, endpoint_list: EndpointList) -> None:
        """Handles a change of the endpoint list: removes incarnations that are gone, as they cache
        nothing."""
        self.index.retain_endpoints({crc32(name.encode()) for name in endpoint_list.endpoints})
