"""Messages that carry control plane state between edges and core members, and among core members.

An edge watches one core member (`WatchRequest`, `WatchResponse`). Core members exchange their observations
of edges (`EdgeObservations`) and the platform's endpoint list (`EndpointListRequest`, `EndpointUpdate`).
Messages about loads and about the prefix index share the channel; `load_reports` and `prefix_cache_index`
define them.

On the wire each message is a MessagePack array: the order of fields and the tags are part of the protocol.
Times on the wire are durations in seconds or milliseconds as of the moment of sending, never clock readings.
The version of an endpoint list is (term of its poller, number), that of control state (epoch, sequence);
versions are compared in that order.
"""

import msgspec

from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate
from shedgrade.prefix_cache_index.index import (
    Pair,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
)

COMPRESS_ABOVE_BYTES = 8 * 1024  # a longer configuration is sent compressed
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024  # uncompressed

UNKNOWN_AGE_S = 1e9  # age of information that was never received

# States of an endpoint.
AVAILABLE, DRAINING = "available", "draining"

# States of an edge.
STARTING, READY = "starting", "ready"
LEAVING = "leaving"  # shutting down; still accepts requests that no other edge can take
CLOSED = "closed"  # shutting down; accepts no more requests
# Stages of a shutdown in order; an incarnation never returns to an earlier one. Other states have stage 0.
SHUTDOWN_STAGES = {LEAVING: 1, CLOSED: 2}

NO_DRAIN_TARGET = "nobody"  # no other edge takes over the clients of an edge that shuts down


class Model(msgspec.Struct, array_like=True, frozen=True):
    """A model that an endpoint serves; part of `Endpoint`.

    Attributes:
        name: as in routes.
        version: of the model's weights.
        adapters: each a name, or JSON text if the platform sent more than a name.
    """

    name: str
    version: int
    adapters: tuple[str, ...] = ()


class Endpoint(msgspec.Struct, array_like=True, frozen=True):
    """One upstream instance of the platform's list; part of `EndpointUpdate`.

    Attributes:
        id: of this incarnation; a restarted instance has another id.
        service: name of the service that it belongs to.
        address: "host:port".
        zone: its failure domain.
        state: AVAILABLE or DRAINING.
        warmup_remaining_ms: time until it is warmed up, as of sending; 0 if it is warm.
        slots: number of requests that it runs at once; 0 if not known.
        version: of its software.
        stage: release stage, as the platform names it.
        models: that it has loaded.
        time_until_removal_ms: until the platform removes it, as of sending; -1 if no removal is announced.
    """

    id: str
    service: str
    address: str
    zone: str
    state: str
    warmup_remaining_ms: float = 0
    slots: int = 0
    version: str = ""
    stage: str = ""
    models: tuple[Model, ...] = ()
    time_until_removal_ms: float = -1


# The term of a list that a core member polled by itself, outside of any term of the poller's role.
NO_TERM = 0
LIST_TAKEOVER_S = 3.0  # a list replaces one of a higher version that is older than it by more than this


def replaces_list(version: tuple[int, int], age_s: float, known: tuple[int, int], known_age_s: float) -> bool:
    """Whether an endpoint list of this version (term, number) and age is to replace a known one.

    The numbers of lists without a term are fingerprints, which tell them apart but not which is newer: of two
    such lists the one that the platform confirmed later counts. Guards against a fleet that waits for a term
    which no poller reaches: a list that was confirmed much later is newer, whatever its version.

    >>> replaces_list((4, 2), 0.0, (4, 1), 0.0), replaces_list((4, 1), 0.0, (4, 2), 1.0)
    (True, False)
    >>> replaces_list((0, 7), 2.0, (0, 9), 0.5), replaces_list((0, 7), 0.5, (0, 9), 2.0)
    (False, True)
    >>> replaces_list((4, 1), 0.0, (9, 1), 8.0)
    True
    """
    if version == known:
        return False
    if version[0] == known[0] == NO_TERM and known[1]:
        return age_s < known_age_s
    return version > known or known_age_s - age_s > LIST_TAKEOVER_S


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True, tag="list_moved"):
    """A delta or a full list that brings a receiver's endpoint list to the version (term, number).

    Sent by the member that polls the platform to the other members after each poll, by a member in response
    to `EndpointListRequest`, and to an edge within `WatchResponse`.

    Attributes:
        term: with `number`, the version that the receiver's list has afterwards.
        number: see `term`.
        age_s: time since the platform last confirmed the whole list.
        from_term: with `from_number`, the version that the delta applies to; -1 for a full list. If both
            versions are the same, the list is unchanged and only its age is updated.
        from_number: see `from_term`.
        changed: endpoints that were added or changed; all endpoints in a full list.
        removed: ids of the endpoints that were removed.
    """

    term: int
    number: int
    age_s: float
    from_term: int = -1
    from_number: int = -1
    changed: tuple[Endpoint, ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def is_full(self) -> bool:
        """Whether the update has the whole list, rather than a delta."""
        return self.from_term < 0


class EndpointListRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask_list"):
    """A core member's request for another member's endpoint list, which answers with `EndpointUpdate`.

    Attributes:
        term: with `number`, the version of the requesting member's list.
        number: see `term`.
        age_s: time since the platform confirmed that list.
    """

    term: int
    number: int
    age_s: float


class EdgeStatus(msgspec.Struct, array_like=True, frozen=True):
    """The status that an edge reports of itself; part of `WatchRequest` and `EdgeObservation`.

    Attributes:
        name: its node name.
        listen_address: "ip:port" for clients; empty if it accepts none.
        zone: where it runs.
        region: where it runs.
        incarnation: a number drawn at its start.
        state: STARTING, READY, LEAVING or CLOSED.
        in_flight: number of requests in flight.
    """

    name: str
    listen_address: str
    zone: str
    region: str
    incarnation: int
    state: str = STARTING
    in_flight: int = 0

    @property
    def is_ready(self) -> bool:
        """Whether clients may be sent to the edge."""
        return self.state == READY

    @property
    def is_leaving(self) -> bool:
        """Whether the edge is shutting down and still accepts requests."""
        return self.state == LEAVING

    @property
    def shutdown_stage(self) -> int:
        """The stage of the edge's shutdown, as in `SHUTDOWN_STAGES`; 0 if it hasn't begun."""
        return SHUTDOWN_STAGES.get(self.state, 0)


class EdgeRecord(EdgeStatus, array_like=True, frozen=True):
    """An edge in the directory of one core member. Not sent.

    Attributes:
        last_seen: when any member last heard from the edge, in seconds of this process's clock.
        shutdown_stage_since: when the edge was first observed in its current stage of shutdown, on the same
            clock; 0 if it isn't shutting down.
    """

    last_seen: float = 0.0
    shutdown_stage_since: float = 0.0


class EdgeObservation(msgspec.Struct, array_like=True, frozen=True):
    """The last status that one core member received from an edge; part of `EdgeObservations`.

    Attributes:
        edge: the status.
        age_s: time since the member received it.
        wait_s: `WatchRequest.wait_s` of the request that carried the status: the time for which nothing more
            is to be expected of the edge.
    """

    edge: EdgeStatus
    age_s: float
    wait_s: float = 0.0


class EdgeObservations(msgspec.Struct, array_like=True, frozen=True, tag="edges_known"):
    """All edges that a core member hears from directly; sent to each other member at intervals."""

    edges: tuple[EdgeObservation, ...]


class WatchRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """An edge's request for newer state than it has, and its heartbeat; answered with `WatchResponse`.

    Attributes:
        edge: the edge's own status.
        control_version: (epoch, sequence) of the edge's control state.
        endpoints_version: (term, number) of the edge's endpoint list.
        wait_s: time for which the response may be held back if there is nothing newer.
        configuration_version: version of the operators' configuration that the edge has; -1 for none.
        endpoints_age_s: time since the platform confirmed the edge's endpoint list.
        observed_prefixes: pairs that the edge has observed since its last request.
        prefix_index_version: (source, number) of the edge's prefix index; (0, -1) if it has none, (-1, -1)
            if it wants none.
    """

    edge: EdgeStatus
    control_version: tuple[int, int]
    endpoints_version: tuple[int, int]
    wait_s: float
    configuration_version: int = -1
    endpoints_age_s: float = UNKNOWN_AGE_S
    observed_prefixes: tuple[Pair, ...] = ()
    prefix_index_version: tuple[int, int] = (-1, -1)


class ControlChange(msgspec.Struct, array_like=True, frozen=True):
    """Control state that the core has committed; part of `WatchResponse`.

    Attributes:
        epoch: with `sequence`, the version of the control state.
        sequence: see `epoch`.
        configuration_version: version of `configuration`.
        configuration: the bytes that the operator sent; None if the receiver has that version already.
        evacuations: names of the evacuated zones.
        compressed: whether `configuration` is in zlib format.
    """

    epoch: int
    sequence: int
    configuration_version: int
    configuration: bytes | None
    evacuations: tuple[str, ...] = ()
    compressed: bool = False


class WatchResponse(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """A core member's response to an edge's `WatchRequest`.

    Attributes:
        control: newer control state; None if there is none.
        endpoints: an update of the edge's endpoint list, or a confirmation that it is current; None if this
            member knows neither.
        edge_count: number of edges that are believed alive.
        members: link addresses of the core members.
        primary_age_s: time since this member heard from the primary.
        endpoints_age_s: age of this member's endpoint list.
        held_s: time for which the request waited at this member.
        prefix_index: what the edge's prefix index lacks; None if it lacks nothing, or if this member's index
            isn't valid.
        drain_target: for an edge that shuts down, state of the edges that take over its clients: READY,
            LEAVING (they shut down later than it does), or NO_DRAIN_TARGET.
    """

    control: ControlChange | None
    endpoints: EndpointUpdate | None
    edge_count: int
    members: tuple[str, ...]
    primary_age_s: float
    endpoints_age_s: float
    held_s: float = 0.0
    prefix_index: PrefixIndexUpdate | None = None
    drain_target: str = READY


class FleetView(msgspec.Struct, frozen=True):
    """The size of the system as an edge knows it; passed to its data plane when it changes. Not sent.

    Attributes:
        edge_count: number of edges that are believed alive.
        members: link addresses of the core members.
    """

    edge_count: int
    members: tuple[str, ...]


Message = (
    WatchRequest
    | WatchResponse
    | EdgeObservations
    | EndpointUpdate
    | EndpointListRequest
    | PrefixIndexUpdate
    | PrefixIndexAdditions
    | PrefixIndexRequest
    | LoadReport
    | LoadUpdate
    | LoadSums
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode  # raises msgspec.DecodeError for anything but a Message


def compress_configuration(configuration: bytes) -> tuple[bytes, bool]:
    """The configuration as it is sent, and whether that is compressed."""
    if len(configuration) <= COMPRESS_ABOVE_BYTES:
        return configuration, False
    import zlib

    return zlib.compress(configuration, 1), True


def decompress_configuration(change: ControlChange) -> bytes | None:
    """The bytes that the operator sent; None if the change has none. ValueError if they can't be decompressed
    or exceed MAX_CONFIGURATION_BYTES."""
    if change.configuration is None or not change.compressed:
        return change.configuration
    import zlib

    decompressor = zlib.decompressobj()
    try:
        # Guards against a few bytes that decompress to more than the available memory.
        plain = decompressor.decompress(change.configuration, MAX_CONFIGURATION_BYTES)
    except zlib.error as failure:
        raise ValueError(f"configuration: {failure}") from failure
    if not decompressor.eof:
        raise ValueError("configuration: compressed data is truncated or expands beyond the maximum size")
    return plain
