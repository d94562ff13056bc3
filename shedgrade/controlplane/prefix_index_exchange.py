"""The prefix index of one core member: kept in step with the other members', and valid again after a cut
before anything is said by it.
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

PRIMARY_TIMEOUT_S = 1.0  # without the primary after which this member counts as cut off
REQUEST_INTERVAL_S = 0.5  # between two requests to the others
NO_ANSWER_TIMEOUT_S = 3.0  # in touch without an answer, after which no member has an index


class PrefixIndexExchange:
    """Keeps the index, asks the others for theirs after a cut, and sends them what edges saw.

    hub: through which edges report and are answered. send_to_others: reaches every other member; what comes
    back is handed to `receive`. index: shared with the hub. requested_at: when the others were last asked.
    in_touch_since: when the primary was heard again after a cut; None while cut off, or if there was none.
    """

    def __init__(
        self,
        hub: WatchHub,
        source: int,
        is_founding: bool,
        send_to_others: Callable[[PrefixIndexAdditions | PrefixIndexRequest], None],
    ) -> None:
        """`source`: a number drawn at the start. `is_founding`: the core starts for the first time, so that
        an empty index is valid.
        """
        self.hub = hub
        self.send_to_others = send_to_others
        self.index = PrefixIndex(source, is_founding)
        hub.prefix_index = self.index
        self.requested_at = 0.0
        self.in_touch_since: float | None = None

    def tick(self, now: float, primary_heard_at: float) -> None:
        """`primary_heard_at`: when this member last heard the primary, or as primary was confirmed."""
        if now - primary_heard_at > PRIMARY_TIMEOUT_S:
            self.index.invalidate()
            self.in_touch_since = None
        elif not self.index.is_valid:
            self.recover(now)
        if self.hub.unsent_prefix_reads:
            pairs = tuple(self.hub.unsent_prefix_reads)
            self.hub.unsent_prefix_reads = []
            self.send_to_others(PrefixIndexAdditions(pairs))

    def recover(self, now: float) -> None:
        """In touch with the primary, the index not valid: asks the others, or starts anew if none answers."""
        if self.in_touch_since is None:
            self.in_touch_since = now
        if now - self.in_touch_since > NO_ANSWER_TIMEOUT_S:
            self.index.reset()
        elif now - self.requested_at >= REQUEST_INTERVAL_S:
            self.requested_at = now
            self.send_to_others(PrefixIndexRequest())

    def receive(
        self,
        now: float,
        message: PrefixIndexAdditions | PrefixIndexUpdate | PrefixIndexRequest,
        answer: Callable[[bytes], None],
    ) -> None:
        """A message of another member; `answer` sends an encoded message back to it."""
        match message:
            case PrefixIndexAdditions(pairs):
                self.index.add(now, pairs)
            case PrefixIndexUpdate():
                self.index.restore(now, message)
            case PrefixIndexRequest():
                update = self.index.update_since(0, -1)
                if update is not None:
                    answer(control_messages.encode(update))

    def retain_endpoints(self, endpoint_list: EndpointList) -> None:
        """The endpoint list changed: an incarnation that is gone has cached nothing."""
        self.index.retain_endpoints({crc32(name.encode()) for name in endpoint_list.endpoints})
