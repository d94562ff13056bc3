"""Watches of edges on control state and endpoint list: each is answered when something newer is known.

An edge's watch request names the versions that it has. It is answered at once if something is newer,
otherwise when something changes or its maximum wait is over. It is also the edge's heartbeat
(`edge_table.py`).

No I/O: callers pass the time, and responses go out through the `respond` callback of each request.
"""

from collections.abc import Callable, Iterable, Mapping
from math import inf

import orjson

from shedgrade.control_messages import (
    LEAVING,
    READY,
    UNKNOWN_AGE_S,
    ControlChange,
    EdgeObservation,
    EdgeObservations,
    EdgeRecord,
    EdgeStatus,
    EndpointUpdate,
    WatchRequest,
    WatchResponse,
    compress_configuration,
)
from shedgrade.controlplane.edge_table import EdgeTable, LocalEdgeRecord
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.state_keys import CONFIGURATION, EVACUATIONS, configuration_version
from shedgrade.prefix_cache_index.index import Pair, PrefixIndex
from shedgrade.runtime.log import logger

MAX_WAIT_S = 10.0  # for which a watch is pending at most, whatever wait it requests
MAX_PENDING_WATCHES = 4096  # further watches are answered at once

DrainTargetOf = Callable[[EdgeStatus, tuple[EdgeRecord, ...]], str]
Respond = Callable[[WatchResponse], None]
Deltas = dict[tuple[int, int], EndpointUpdate]  # by the version of the list that each one updates


class PendingWatch:
    """A watch, received at `received_at`, that waits for something newer until `deadline` at the latest."""

    __slots__ = ("request", "respond", "received_at", "deadline")

    def __init__(self, request: WatchRequest, respond: Respond, received_at: float) -> None:
        self.request = request
        self.respond = respond
        self.received_at = received_at
        self.deadline = received_at + min(max(request.wait_s, 0.0), MAX_WAIT_S)


class WatchHub:
    """Answers the watches of edges from what this core member knows.

    Attributes:
        now: time of the newest call.
        member_addresses: peer addresses of the core members, including this one; empty until set.
        control_position: (epoch, sequence) of the control state; never falls.
        version: version of the configuration in that state.
        configuration: the configuration in that state.
        evacuations: the evacuated zones in that state.
        encoded_configuration: the configuration as it is sent, and whether it is compressed; made for the
            first watch that needs it.
        endpoint_list: the endpoint list; None until one is known.
        confirmed_at: the latest time as of which a majority held no newer state; never falls.
        pending: by edge, its unanswered watch.
        edges: the edges that were heard.
        prefix_index: which upstream caches which prompt prefixes; None if the index is not kept.
        unsent_prefix_reads: additions to the index that must still be sent to other members.
    """

    def __init__(
        self,
        now: float,
        *,
        exchange_interval_s: float = 0.5,
        drain_target_of: DrainTargetOf = lambda edge, others: READY,
    ) -> None:
        """`exchange_interval_s`: time between two reports of another member on its edges.
        `drain_target_of(edge, others)`: returns which edges take over the clients of an edge that leaves, as
        the response names them."""
        self.drain_target_of = drain_target_of
        self.now = now
        self.member_addresses: tuple[str, ...] = ()
        self.control_position = (0, 0)
        self.version = 0
        self.configuration = b""
        self.evacuations: tuple[str, ...] = ()
        self.encoded_configuration: tuple[bytes, bool] | None = None
        self.endpoint_list: EndpointList | None = None
        self.confirmed_at = -inf
        self.pending: dict[str, PendingWatch] = {}
        self.edges = EdgeTable(exchange_interval_s)
        self.prefix_index: PrefixIndex | None = None
        self.unsent_observed_prefixes: list[Pair] = []

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        for name, watch in self.pending.items():
            assert watch.request.edge.name == name, (
                f"the watch of {watch.request.edge.name} is pending as {name}"
            )
            assert watch.received_at <= watch.deadline <= watch.received_at + MAX_WAIT_S, (
                f"{name} waits too long"
            )
        assert len(self.pending) <= MAX_PENDING_WATCHES, "too many watches are pending"
        self.edges.check_invariants()

    # --- state of this member

    def apply_control_state(self, now: float, epoch: int, sequence: int, state: Mapping[str, bytes]) -> None:
        """Applies committed control state, unless the same or a newer one is known."""
        self.now = now
        if (epoch, sequence) <= self.control_position:
            return
        try:
            version = configuration_version(state)
            evacuations = tuple(orjson.loads(state.get(EVACUATIONS) or b"[]"))
            if not all(isinstance(zone, str) for zone in evacuations):
                raise ValueError("evacuations are not a list of zone names")
        except (ValueError, TypeError) as error:
            # Guards against a state written by another version: edges keep the last one that could be read.
            logger.error("control state decode failed", epoch=epoch, sequence=sequence, error=repr(error))
            return
        configuration = state.get(CONFIGURATION) or b""
        if configuration != self.configuration:
            self.encoded_configuration = None
        self.control_position = (epoch, sequence)
        self.version = version
        self.configuration = configuration
        self.evacuations = evacuations
        self.notify(now)

    def set_endpoint_list(self, now: float, endpoint_list: EndpointList) -> None:
        """Handles a change of the endpoint list."""
        self.now = now
        self.endpoint_list = endpoint_list
        self.notify(now)

    def set_confirmed_at(self, at: float) -> None:
        """Records that at that time a majority of the core members held nothing newer than this member; see
        `Member.confirmed_at`."""
        self.confirmed_at = max(self.confirmed_at, at)

    def set_members(self, now: float, addresses: tuple[str, ...]) -> None:
        """Sets the peer addresses of the core members, including this one."""
        self.now = max(self.now, now)
        self.member_addresses = addresses

    # --- watches

    def watch(self, now: float, request: WatchRequest, respond: Respond, max_unread_s: float = 0.0) -> None:
        """Answers at once if something is newer than what the edge has, otherwise later, exactly once; not at
        all if the same edge sends another watch first or is disconnected. `max_unread_s`: how long the
        request may have waited unread at this process."""
        self.now = now
        self.edges.update(LocalEdgeRecord(request.edge, now - max_unread_s, request.wait_s, True))
        if self.prefix_index is not None and request.observed_prefixes:
            self.unsent_observed_prefixes += self.prefix_index.add(now, request.observed_prefixes)
        watch = PendingWatch(request, respond, now)
        self.pending.pop(request.edge.name, None)
        if self.has_update(watch) or watch.deadline <= now or len(self.pending) >= MAX_PENDING_WATCHES:
            self.respond_to(now, watch, {})
        else:
            self.pending[request.edge.name] = watch

    def tick(self, now: float) -> None:
        """Answers the watches whose wait is over, and forgets edges that have been gone for long."""
        self.now = now
        self.answer_all(now, [watch for watch in self.pending.values() if watch.deadline <= now])
        self.edges.forget(now)

    def wake_at(self) -> float:
        """Returns when `tick` is due next; infinity if no watch is pending."""
        return min((watch.deadline for watch in self.pending.values()), default=inf)

    def notify(self, now: float) -> None:
        """Answers the watches for which something newer is known."""
        self.answer_all(now, [watch for watch in self.pending.values() if self.has_update(watch)])

    def answer_all(self, now: float, due: list[PendingWatch]) -> None:
        """Answers these watches; each delta is made once."""
        deltas: Deltas = {}
        for watch in due:
            # An edge may send its next watch while it handles its response; that one stays pending.
            if self.pending.get(watch.request.edge.name) is watch:
                del self.pending[watch.request.edge.name]
            self.respond_to(now, watch, deltas)

    def has_update(self, watch: PendingWatch) -> bool:
        """Returns whether something is newer than what the edge has."""
        return self.control_position > tuple(watch.request.control_version) or self.has_newer_list(watch)

    def has_newer_list(self, watch: PendingWatch) -> bool:
        """Returns whether the endpoint list, or its age, is newer than what the edge has."""
        age_s = watch.request.endpoints_age_s + self.now - watch.received_at
        return self.endpoint_list is not None and self.endpoint_list.newer_than(
            *watch.request.endpoints_version, age_s, self.now
        )

    def respond_to(self, now: float, watch: PendingWatch, deltas: Deltas) -> None:
        """Responds to one watch. `deltas`: those made before; a new one is added."""
        request = watch.request
        # Guards against a restarted member that knows less than the edge: it must not claim to be up to date.
        is_behind = self.confirmed_at == -inf or self.control_position < tuple(request.control_version)
        watch.respond(
            WatchResponse(
                self.control_change(request),
                self.endpoint_update(now, watch, deltas),
                self.edges.count(now),
                self.member_addresses,
                UNKNOWN_AGE_S if is_behind else max(0.0, now - self.confirmed_at),
                UNKNOWN_AGE_S if self.endpoint_list is None else self.endpoint_list.age_s(now),
                now - watch.received_at,
                None
                if self.prefix_index is None
                else self.prefix_index.update_since(*request.prefix_index_version),
                self.drain_target_of(request.edge, self.listed_edges(now))
                if request.edge.state == LEAVING
                else READY,
            )
        )

    def control_change(self, request: WatchRequest) -> ControlChange | None:
        """Returns the control state if it is newer than what the edge has, otherwise None."""
        if self.control_position <= tuple(request.control_version):
            return None
        if self.encoded_configuration is None:
            self.encoded_configuration = compress_configuration(self.configuration)
        configuration, is_compressed = (
            (None, False) if request.configuration_version == self.version else self.encoded_configuration
        )
        return ControlChange(
            *self.control_position, self.version, configuration, self.evacuations, is_compressed
        )

    def endpoint_update(self, now: float, watch: PendingWatch, deltas: Deltas) -> EndpointUpdate | None:
        """Returns the changes of the endpoint list, or its new age; None if the edge's list is newer or none
        is known here."""
        endpoint_list = self.endpoint_list
        if endpoint_list is None:
            return None
        term, number = watch.request.endpoints_version
        base = (term, number)
        is_same_version = endpoint_list.confirmed_at is not None and endpoint_list.version == base
        if not is_same_version and not self.has_newer_list(watch):
            return None
        update = deltas.get(base)
        if update is None:
            update = deltas[base] = endpoint_list.update_since(term, number, now)
        return update

    # --- edges

    def listed_edges(self, now: float) -> tuple[EdgeRecord, ...]:
        """Returns the edges that were heard recently and are not closed."""
        self.now = now
        return self.edges.listed(now)

    def edge_disconnected(self, name: str) -> None:
        """Handles the end of an edge's connection: it is not listed until it is heard again, here or
        elsewhere."""
        self.pending.pop(name, None)
        self.edges.disconnected(self.now, name)

    def update_edges(
        self, now: float, edges: EdgeObservations | Iterable[EdgeObservation], max_unread_s: float = 0.0
    ) -> None:
        """Records what another member heard of edges itself. `max_unread_s`: how long its message may have
        waited unread at this process."""
        self.now = now
        observations = edges.edges if isinstance(edges, EdgeObservations) else edges
        self.edges.update_from_member(now, observations, max_unread_s)
