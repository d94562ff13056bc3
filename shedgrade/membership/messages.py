"""What members say to each other: MessagePack of tagged structs, each small enough for one datagram."""

from typing import Annotated

import msgspec

LONGEST = 1200  # bytes of one message
Incarnation = Annotated[int, msgspec.Meta(ge=-1, le=2**62)]  # -1: learnt elsewhere, the node knows better


class Node(msgspec.Struct, array_like=True, frozen=True):
    """One process. `address`: its UDP address "ip:port"; `kind`: "edge" or "core"; `life`: drawn at its
    start; `link`: its TCP link address or ""; `front`: an edge's front address or ""; `state`: "starting",
    "ready", "leaving". A contact of which only the address is known has the name ""."""

    name: str
    address: str
    kind: str = ""
    zone: str = ""
    life: int = 0
    link: str = ""
    front: str = ""
    state: str = "ready"


class Descriptor(msgspec.Struct, array_like=True, frozen=True):
    """A node as it is passed on. `age`: ms since it was known to be alive. Only the node itself raises its
    incarnation: whoever has the higher one knows better."""

    node: Node
    incarnation: Incarnation
    age: int = 0


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """What became of a node: "suspected", "dropped" or "left", in its incarnation."""

    name: str
    incarnation: Incarnation
    fate: str


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """A node that the other side knows, most likely: a tenth of its descriptor. `mark`: of its name."""

    mark: int
    incarnation: Incarnation
    age: int


class ShuffleRequest(msgspec.Struct, array_like=True, frozen=True, tag="shuffle"):
    number: int
    sender: Descriptor
    entries: list[Descriptor]
    rumours: list[Rumour]
    digests: list[Digest] = []


class ShuffleResponse(msgspec.Struct, array_like=True, frozen=True, tag="shuffled"):
    """The answer: as many of the other's own entries."""

    number: int
    sender: Descriptor
    entries: list[Descriptor]
    rumours: list[Rumour]
    digests: list[Digest] = []


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    number: int
    sender: Descriptor
    rumours: list[Rumour]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="pong"):
    number: int
    sender: Descriptor


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag="inquiry"):
    """Asks the receiver to ping `address` and to tell what came."""

    number: int
    address: str


class IndirectAck(msgspec.Struct, array_like=True, frozen=True, tag="finding"):
    """The inquired one answered: as it described itself."""

    number: int
    found: Descriptor


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, tag="notice"):
    """Told without being asked: of itself, or of what became of nodes."""

    entries: list[Descriptor]
    rumours: list[Rumour]


class DescriptorRequest(msgspec.Struct, array_like=True, frozen=True, tag="query"):
    """Asks for the descriptors of marks in a digest; a notice answers."""

    marks: list[int]


Message = (
    DescriptorRequest
    | ShuffleRequest
    | ShuffleResponse
    | Ping
    | Ack
    | IndirectPing
    | IndirectAck
    | MembershipUpdate
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
