"""Messages and instructions of the elections of singleton roles.

The messages go between core members, each as a MessagePack array: tags and the order of fields are part of
the protocol. A term identifies one candidacy of one member; no two members share a term.
"""

import msgspec


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag="ballot"):
    """Sent by a candidate to all other members to ask for their vote; answered with `VoteResponse`.

    Attributes:
        role: the vacant role.
        term: term of the candidacy.
    """

    role: str
    term: int


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag="vote"):
    """Sent by a voter to the candidate that asked.

    Attributes:
        role: role of the request.
        term: term of the request.
        granted: whether the candidate gets the vote.
        highest_term: the highest term that the voter knew before the request.
    """

    role: str
    term: int
    granted: bool
    highest_term: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="heartbeat"):
    """Sent at intervals by the member that won the votes for a term to all others; answered with
    `Acknowledgement`.

    Attributes:
        role: role of the leadership.
        term: term of the leadership.
        number: grows by one with each heartbeat of a term.
    """

    role: str
    term: int
    number: int


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True, tag="acknowledgement"):
    """Sent by a member that received a heartbeat to its sender.

    Attributes:
        role: role of the heartbeat.
        term: term of the heartbeat.
        number: number of the heartbeat; 0 if the message answers none and only announces a higher term.
        highest_term: equals `term`, or is above it if this is a refusal because the sender is bound to that
            term.
    """

    role: str
    term: int
    number: int
    highest_term: int


class RoleReleased(msgspec.Struct, array_like=True, frozen=True, tag="vacated"):
    """Sent by the holder to all others after it has stopped: the role is vacant.

    Attributes:
        role: the role that was held.
        term: the term under which it was held.
    """

    role: str
    term: int


Message = VoteRequest | VoteResponse | Heartbeat | Acknowledgement | RoleReleased


class Send(msgspec.Struct, frozen=True):
    """Instruction: send the message to the member with that peer address."""

    address: str
    message: Message


class RoleAcquired(msgspec.Struct, frozen=True):
    """Instruction: start the role, or continue it under that new term."""

    role: str
    term: int


class RoleLost(msgspec.Struct, frozen=True):
    """Instruction: stop the role, which was held under that term."""

    role: str
    term: int


Instruction = Send | RoleAcquired | RoleLost


class RoleHolder(msgspec.Struct, frozen=True):
    """The member that holds a role: its peer address and its term."""

    address: str
    term: int
