"""What members send each other: MessagePack of tagged structs, each small enough for one datagram.

The tags and the order of the fields are the protocol; names of classes and fields aren't sent.
"""

from typing import Annotated

import msgspec

MAX_MESSAGE_BYTES = 1200  # with all headers under the smallest usual size of a packet
Incarnation = Annotated[int, msgspec.Meta(ge=-1, le=2**62)]  # -1: learnt elsewhere, the node knows better


class Node(msgspec.Struct, array_like=True, frozen=True):
    """One process. `address`: its UDP address "ip:port"; `kind`: "edge" or "core"; `boot_id`: drawn at its
    start; `link_address`: where its peers reach it by TCP, or ""; `front_address`: an edge's address for
    clients, or ""; `state`: "starting", "ready", "leaving". A contact of which only the address is known has
    the name ""."""

    name: str
    address: str
    kind: str = ""
    zone: str = ""
    boot_id: int = 0
    link_address: str = ""
    front_address: str = ""
    state: str = "ready"


class Descriptor(msgspec.Struct, array_like=True, frozen=True):
    """A node as it is passed on. `age_ms`: since it was known to be alive. Only the node itself raises its
    incarnation: of two descriptors, the one with the higher incarnation is newer."""

    node: Node
    incarnation: Incarnation
    age_ms: int = 0


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """What became of a node in its incarnation. `status`: "suspected", "dropped" or "left"."""

    name: str
    incarnation: Incarnation
    status: str


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """Stands for the descriptor of a node that the other side knows, most likely, in a tenth of its bytes."""

    name_hash: int
    incarnation: Incarnation
    age_ms: int


class ShuffleRequest(msgspec.Struct, array_like=True, frozen=True, tag="shuffle"):
    """Begins an exchange of view entries (Cyclon). `number`: of the request, repeated in the response."""

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
    """Asks whether the receiver is alive. `rumours`: what it should know is believed of it."""

    number: int
    sender: Descriptor
    rumours: list[Rumour]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="pong"):
    """Answers a ping with the same number."""

    number: int
    sender: Descriptor


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag="inquiry"):
    """Asks the receiver to ping `address` (SWIM's ping-req) and to send on what came."""

    number: int
    address: str


class IndirectAck(msgspec.Struct, array_like=True, frozen=True, tag="finding"):
    """The node that was pinged indirectly answered. `descriptor`: as it described itself."""

    number: int
    descriptor: Descriptor


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, tag="notice"):
    """Sent without a request: descriptors, or what became of nodes."""

    entries: list[Descriptor]
    rumours: list[Rumour]


class DescriptorRequest(msgspec.Struct, array_like=True, frozen=True, tag="query"):
    """Asks for the descriptors behind digests; a MembershipUpdate answers."""

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
