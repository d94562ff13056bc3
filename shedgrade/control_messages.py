"""Messages between edges and core members, and among core members, of what the control plane knows.

An edge watches one core member (`WatchRequest`, `WatchResponse`); core members exchange what they know of
edges (`EdgeObservations`) and of the platform's endpoint list (`EndpointListRequest`, `EndpointUpdate`). The
messages of loads and of the prefix index, which go over the same channel, are defined in their packages.

On the wire each is a MessagePack array: the order of fields and the tags are part of the protocol. Times that
travel are spans in seconds or milliseconds as of the moment of sending, never points of a clock. An endpoint
list has the version (term of its poller, number), control state the version (epoch, sequence); versions are
compared in that order.
"""

import msgspec

from shedgrade.load_reports.messages import LoadReport, LoadSums, LoadUpdate
from shedgrade.prefix_cache_index.index import (
    Pair,
    PrefixIndexAdditions,
    PrefixIndexRequest,
    PrefixIndexUpdate,
)

COMPRESS_ABOVE_BYTES = 8 * 1024  # a longer configuration travels compressed
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024  # uncompressed

UNKNOWN_AGE_S = 1e9  # the age of what was never known

# States of an endpoint.
AVAILABLE, DRAINING = "available", "draining"

# States of an edge.
STARTING, READY = "starting", "ready"
LEAVING = "leaving"  # shutting down: still takes what no other edge can
CLOSED = "closed"  # shutting down: takes nothing more
SHUTDOWN_STAGES = {LEAVING: 1, CLOSED: 2}  # each final within an incarnation; a state not here: 0

NO_DRAIN_TARGET = "nobody"  # no edge takes over the clients of one that shuts down


class Model(msgspec.Struct, array_like=True, frozen=True):
    """A model that an endpoint serves; part of `Endpoint`.

    name: as in routes. version: of its weights. adapters: each a name, or JSON text where the platform has
    more than a name.
    """

    name: str
    version: int
    adapters: tuple[str, ...] = ()


class Endpoint(msgspec.Struct, array_like=True, frozen=True):
    """One upstream instance of the platform's list; part of `EndpointUpdate`.

    id: names this incarnation: a restarted instance has another. service: that it serves. address:
    "host:port". zone: its failure domain. state: AVAILABLE or DRAINING. cold_left_ms: until it is warmed up,
    as of sending; 0: it is. slots: requests that it runs at once; 0: not known. version: of its software.
    stage: of a release, as the platform names it. models: that it holds. time_left_ms: until the platform
    takes it away, as of sending; -1: no end is announced.
    """

    id: str
    service: str
    address: str
    zone: str
    state: str
    cold_left_ms: float = 0
    slots: int = 0
    version: str = ""
    stage: str = ""
    models: tuple[Model, ...] = ()
    time_left_ms: float = -1


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True, tag="list_moved"):
    """What brings a receiver's endpoint list to the version (term, number).

    From the member that polls the platform to the others after each poll; from a member to one that asked
    with `EndpointListRequest`; and to an edge within `WatchResponse`.

    term, number: the version. age_s: since the platform last confirmed the whole list. from_term,
    from_number: the version that this is a delta to; with `from_term` -1 it is a full list, all of it in
    `changed`. If both versions are the same, nothing changed and only the age is news. changed: endpoints
    that are new or differ. removed: ids of those that are gone.
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
        """Whether it holds the whole list, rather than a delta."""
        return self.from_term < 0


class EndpointListRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask_list"):
    """A core member asks another for its endpoint list, which answers with `EndpointUpdate`.

    term, number: version of the list that the asking member has. age_s: since the platform confirmed it.
    """

    term: int
    number: int
    age_s: float


class EdgeStatus(msgspec.Struct, array_like=True, frozen=True):
    """What an edge says of itself; part of `WatchRequest` and `EdgeObservation`.

    name: its node name. listen_address: "ip:port" for clients; empty if it takes none. zone, region: where it
    runs. incarnation: a number drawn at its start. state: STARTING, READY, LEAVING or CLOSED. in_flight:
    requests.
    """

    name: str
    listen_address: str
    zone: str
    region: str
    incarnation: int
    state: str = STARTING
    in_flight: int = 0

    @property
    def ready(self) -> bool:
        """Whether clients may be sent to it."""
        return self.state == READY

    @property
    def leaving(self) -> bool:
        """Whether it shuts down and still takes requests."""
        return self.state == LEAVING

    @property
    def shutdown_stage(self) -> int:
        """How far its shutdown has come, as in `SHUTDOWN_STAGES`; 0: none has begun."""
        return SHUTDOWN_STAGES.get(self.state, 0)


class EdgeRecord(EdgeStatus, array_like=True, frozen=True):
    """An edge in the directory of one core member. Not sent.

    last_seen: when any member last heard from it, in seconds of this process's clock. ending_since: when it
    was first heard to be in its present stage of shutdown, on the same clock; 0 if none has begun.
    """

    last_seen: float = 0.0
    ending_since: float = 0.0


class EdgeObservation(msgspec.Struct, array_like=True, frozen=True):
    """An edge as one core member heard it; part of `EdgeObservations`.

    edge: what it said. age_s: since then. wait_s: how long the watch that said so may wait for its answer, so
    how long nothing more is to be expected of the edge.
    """

    edge: EdgeStatus
    age_s: float
    wait_s: float = 0.0


class EdgeObservations(msgspec.Struct, array_like=True, frozen=True, tag="edges_known"):
    """All edges that a core member has heard from itself; sent to each other member at intervals."""

    edges: tuple[EdgeObservation, ...]


class WatchRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """An edge asks a core member for what is newer than it has; answered with `WatchResponse`.

    edge: the edge's own status, so that a request is its heartbeat too. control_version: (epoch, sequence) of
    the control state that it has. endpoints_version: (term, number) of its endpoint list. wait_s: how long
    the answer may wait if there is nothing newer. configuration_version: of the operators' configuration that
    it has; -1: none. endpoints_age_s: since the platform confirmed the edge's list. prefix_reads: pairs that
    it has seen since its last request. prefix_index_version: (source, number) of its prefix index; (0, -1):
    it has none, (-1, -1): it wants none.
    """

    edge: EdgeStatus
    control_version: tuple[int, int]
    endpoints_version: tuple[int, int]
    wait_s: float
    configuration_version: int = -1
    endpoints_age_s: float = UNKNOWN_AGE_S
    prefix_reads: tuple[Pair, ...] = ()
    prefix_index_version: tuple[int, int] = (-1, -1)


class ControlChange(msgspec.Struct, array_like=True, frozen=True):
    """Control state that the core has committed; part of `WatchResponse`.

    epoch, sequence: its version. version: of the configuration. configuration: the operator's bytes; None if
    the receiver has that version already. evacuations: names of the zones that are evacuated. compressed:
    `configuration` is in zlib's format.
    """

    epoch: int
    sequence: int
    version: int
    configuration: bytes | None
    evacuations: tuple[str, ...] = ()
    compressed: bool = False


class WatchResponse(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """A core member's answer to an edge's `WatchRequest`.

    control: None if nothing is newer than the edge's. endpoints: what is newer, or that what the edge has is
    current; None if neither is known. edge_count: edges that are believed alive. members: link addresses of
    the core members. primary_age_s: since this member heard the primary. endpoints_age_s: of this member's
    endpoint list. pending_s: how long the request waited here. prefix_index: what the edge's index lacks;
    None if that is nothing, or this member's index isn't valid. drain_target: who takes the clients of an
    edge that shuts down: READY edges, others that are LEAVING later, or NO_DRAIN_TARGET.
    """

    control: ControlChange | None
    endpoints: EndpointUpdate | None
    edge_count: int
    members: tuple[str, ...]
    primary_age_s: float
    endpoints_age_s: float
    pending_s: float = 0.0
    prefix_index: PrefixIndexUpdate | None = None
    drain_target: str = READY


class FleetView(msgspec.Struct, frozen=True):
    """The size of the system as an edge knows it; handed to its data plane when it changes. Not sent.

    edge_count: edges that are believed alive. members: link addresses of the core members.
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
decode = msgspec.msgpack.Decoder(Message).decode  # msgspec.DecodeError for anything else


def compress_configuration(configuration: bytes) -> tuple[bytes, bool]:
    """The bytes as they travel, and whether they are compressed."""
    if len(configuration) <= COMPRESS_ABOVE_BYTES:
        return configuration, False
    import zlib

    return zlib.compress(configuration, 1), True


def decompress_configuration(change: ControlChange) -> bytes | None:
    """The operator's bytes; ValueError if they are broken or longer than any configuration."""
    if change.configuration is None or not change.compressed:
        return change.configuration
    import zlib

    decompressor = zlib.decompressobj()
    try:
        # Guards against a few bytes that unfold to more than the memory there is.
        plain = decompressor.decompress(change.configuration, MAX_CONFIGURATION_BYTES)
    except zlib.error as failure:
        raise ValueError(f"configuration: {failure}") from failure
    if not decompressor.eof:
        raise ValueError("configuration: not whole, or too long")
    return plain
