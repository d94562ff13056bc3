"""What edges and core members tell each other: who asks, what moved, which upstreams and edges there are.

Times that travel are spans in seconds or ms as of the moment of sending, never points of a clock. Lists
are dated by (term of the poller, its number), control state by (epoch, sequence), compared in that order.
"""

import msgspec

from shedgrade.load_reports.messages import LoadReport, LoadsShared, LoadsTold
from shedgrade.prefix_cache_index.index import AskRecord, Pair, RecordMoved, RecordRead

COMPRESSED_OVER = 8 * 1024  # bytes of a configuration beyond which it travels compressed
LONGEST_CONFIGURATION = 16 * 1024 * 1024  # bytes, plain

NEVER = 1e9  # s: the age of what was never known

AVAILABLE, DRAINING = "available", "draining"
STARTING, READY = "starting", "ready"
LEAVING = "leaving"  # told to end; still takes what no other edge can
CLOSED = "closed"  # told to end; takes nothing more
NOBODY = "nobody"  # takes over the clients of an edge that leaves
STAGES = {LEAVING: 1, CLOSED: 2}  # of an edge's end, each final within a life; 0: none has begun


class Model(msgspec.Struct, array_like=True, frozen=True):
    """A model that an upstream holds, with the version of its weights."""

    name: str
    version: int
    adapters: tuple = ()


class Instance(msgspec.Struct, array_like=True, frozen=True):
    """One upstream of the platform's list. `id` is its incarnation, `version` that of its software.
    `cold_left_ms`, `time_left_ms`: as of sending; 0: not cold, -1: nothing is said of its end."""

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


class ListMoved(msgspec.Struct, array_like=True, frozen=True, tag="list_moved"):
    """The list of upstreams (term, number): whole, all in `changed`, if `from_term` is -1; else what changed
    and who is gone since (from_term, from_number). With both the same, it only says the age of what is known:
    `age_s` since the platform last said all of it."""

    term: int
    number: int
    age_s: float
    from_term: int = -1
    from_number: int = -1
    changed: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def whole(self) -> bool:
        return self.from_term < 0


UpstreamsChange = ListMoved  # as an edge's asker hands it to the data plane


class AskList(msgspec.Struct, array_like=True, frozen=True, tag="ask_list"):
    """A core member asks another for the list, and holds (term, number), known `age_s` ago."""

    term: int
    number: int
    age_s: float


class EdgeState(msgspec.Struct, array_like=True, frozen=True):
    """What an edge says of itself. `front`: "ip:port" for clients; `life`: a number drawn at its start."""

    name: str
    front: str
    zone: str
    region: str
    life: int
    state: str = STARTING
    in_flight: int = 0

    @property
    def ready(self) -> bool:
        return self.state == READY

    @property
    def leaving(self) -> bool:
        return self.state == LEAVING

    @property
    def stage(self) -> int:
        """Of its end, see STAGES."""
        return STAGES.get(self.state, 0)


class EdgeSeen(EdgeState, array_like=True, frozen=True):
    """`last_seen`: when a member last heard from it, on this process's clock; `ending_since`: when it was
    first heard to be in its present stage of its end, 0 while it has not begun."""

    last_seen: float = 0.0
    ending_since: float = 0.0


class EdgeHeard(msgspec.Struct, array_like=True, frozen=True):
    """An edge as one member heard it `age_s` ago, in an ask that could wait `wait` s."""

    edge: EdgeState
    age_s: float
    wait: float = 0.0


class EdgesKnown(msgspec.Struct, array_like=True, frozen=True, tag="edges_known"):
    """What one core member has heard of edges itself, for the others."""

    edges: tuple[EdgeHeard, ...]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """An edge asks for what is newer than it holds: control state (epoch, sequence) with the configuration
    `version`, the list (term, number) known `age_s` ago. The answer may wait `wait` s if nothing is. `reads`:
    what it saw upstreams read since its last ask; `record`: (source, number) of the record that it holds,
    (0, -1): nothing, (-1, -1): it is not to be told."""

    edge: EdgeState
    control: tuple[int, int]
    upstreams: tuple[int, int]
    wait: float
    version: int = -1
    age_s: float = NEVER
    reads: tuple[Pair, ...] = ()
    record: tuple[int, int] = (-1, -1)


class ControlChange(msgspec.Struct, array_like=True, frozen=True):
    """Finished control state. `configuration`: None if it is the `version` that the asker holds; zlib's form
    of the operator's bytes if `compressed`."""

    epoch: int
    sequence: int
    version: int
    configuration: bytes | None
    evacuations: tuple[str, ...] = ()
    compressed: bool = False


class Told(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """The answer. `edges`: how many edges are known alive; `members`: link addresses of core members;
    `upstreams`: what is newer, or that what the asker holds is still it, or None if neither is known;
    `fresh_s`: since this member heard the primary; `age_s`: of its list; `held_s`: the ask waited so long.
    `record`: what was read since, None if nothing was or this member's record is not true. `cover`: who
    takes the clients of an asking edge that leaves: READY edges, others that are LEAVING later, or NOBODY."""

    control: ControlChange | None
    upstreams: ListMoved | None
    edges: int
    members: tuple[str, ...]
    fresh_s: float
    age_s: float
    held_s: float = 0.0
    record: RecordMoved | None = None
    cover: str = READY


class Counts(msgspec.Struct, frozen=True):
    """Handed to the data plane when one moves: edges known alive, and the core members."""

    edges: int
    members: tuple[str, ...]


Message = (
    Ask
    | Told
    | EdgesKnown
    | ListMoved
    | AskList
    | RecordMoved
    | RecordRead
    | AskRecord
    | LoadReport
    | LoadsTold
    | LoadsShared
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode  # msgspec.DecodeError for anything else


def packed(configuration: bytes) -> tuple[bytes, bool]:
    """The bytes as they travel, and whether they are compressed."""
    if len(configuration) <= COMPRESSED_OVER:
        return configuration, False
    import zlib

    return zlib.compress(configuration, 1), True


def unpacked(change: ControlChange) -> bytes | None:
    """The operator's bytes; ValueError if they are broken or longer than any configuration."""
    if change.configuration is None or not change.compressed:
        return change.configuration
    import zlib

    reader = zlib.decompressobj()
    try:
        # Guards against a few bytes that unfold to more than the memory there is.
        plain = reader.decompress(change.configuration, LONGEST_CONFIGURATION)
    except zlib.error as failure:
        raise ValueError(f"configuration: {failure}") from failure
    if not reader.eof:
        raise ValueError("configuration: not whole, or too long")
    return plain
