"""The messages between members: MessagePack of tagged structs, each small enough for one datagram.

The tags and the order of the fields are the wire format; names of classes and fields aren't sent.
"""

from typing import Annotated

import msgspec

MAX_MESSAGE_BYTES = 1200  # with all headers below the smallest MTU in common use
# -1: the node was not learnt by gossip, so each descriptor of its own is newer.
Incarnation = Annotated[int, msgspec.Meta(ge=-1, le=2**62)]


class Node(msgspec.Struct, array_like=True, frozen=True):
    """One process.

    Attributes:
        name: "" for a contact of which only the address is known.
        address: UDP address "ip:port".
        kind: "edge" or "core".
        zone: name of its zone.
        boot_id: random number that the process draws when it starts.
        link_address: TCP address for its peers, or "".
        front_address: address of an edge for clients, or "".
        state: "starting", "ready" or "leaving".
    """

    name: str
    address: str
    kind: str = ""
    zone: str = ""
    boot_id: int = 0
    link_address: str = ""
    front_address: str = ""
    state: str = "ready"


class Descriptor(msgspec.Struct, array_like=True, frozen=True):
    """A node as members pass it on. Only the node itself raises its incarnation: of two descriptors, the one
    with the higher incarnation is newer. `age_ms`: time since the node was last known to be alive."""

    node: Node
    incarnation: Incarnation
    age_ms: int = 0


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """The status of a node in one incarnation: "suspected", "dropped" or "left"."""

    name: str
    incarnation: Incarnation
    status: str


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """Replaces the descriptor of a node that the receiver probably knows, at a tenth of its size."""

    name_hash: int
    incarnation: Incarnation
    age_ms: int


class ShuffleRequest(msgspec.Struct, array_like=True, frozen=True, tag="shuffle"):
    """Starts an exchange of view entries (Cyclon). `number`: of the request, repeated in the response."""

    number: int
    sender: Descriptor
    entries: list[Descriptor]
    rumours: list[Rumour]
    digests: list[Digest] = []


class ShuffleResponse(msgspec.Struct, array_like=True, frozen=True, tag="shuffled"):
    """Answers a ShuffleRequest with as many entries of the responder."""

    number: int
    sender: Descriptor
    entries: list[Descriptor]
    rumours: list[Rumour]
    digests: list[Digest] = []


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """Asks whether the receiver is alive. `rumours`: those about the receiver, which it may refute."""

    number: int
    sender: Descriptor
    rumours: list[Rumour]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="pong"):
    """Answers a ping with the same number."""

    number: int
    sender: Descriptor


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag="inquiry"):
    """Asks the receiver to ping `address` (SWIM's ping-req) and to forward the answer."""

    number: int
    address: str


class IndirectAck(msgspec.Struct, array_like=True, frozen=True, tag="finding"):
    """Reports that the node that was pinged indirectly answered. `descriptor`: as it described itself."""

    number: int
    descriptor: Descriptor


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, tag="notice"):
    """Descriptors and rumours that are sent outside a shuffle."""

    entries: list[Descriptor]
    rumours: list[Rumour]


class DescriptorRequest(msgspec.Struct, array_like=True, frozen=True, tag="query"):
    """Requests the descriptors of nodes known by digests only; a MembershipUpdate answers."""

    name_hashes: list[int]


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
