"""Messages and instructions of the elections of singleton roles.

The messages go between core members, each as a MessagePack array: tags and the order of fields are part of
the protocol. A term names one candidacy of one member; no two members share a term.
"""

import msgspec


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag="ballot"):
    """From a candidate to all other members: asks for a vote; answered with `VoteResponse`.

    role: that falls vacant. term: of the candidacy.
    """

    role: str
    term: int


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag="vote"):
    """From a voter to the candidate that asked.

    role, term: of the request. granted: whether the vote is given. highest_term: that the voter knew of
    before the request.
    """

    role: str
    term: int
    granted: bool
    highest_term: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="heartbeat"):
    """From the member that won the votes for a term to all others, at intervals; answered with
    `Acknowledgement`.

    role, term: of its leadership. number: grows by one from heartbeat to heartbeat of a term.
    """

    role: str
    term: int
    number: int


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True, tag="acknowledgement"):
    """From a member that heard a heartbeat to its sender.

    role, term, number: of the heartbeat; number 0 answers none, and only tells of a higher term.
    highest_term: above `term` it is a refusal, since the sender is bound to that term; else it equals `term`.
    """

    role: str
    term: int
    number: int
    highest_term: int


class RoleReleased(msgspec.Struct, array_like=True, frozen=True, tag="vacated"):
    """From the holder to all others, after it has stopped: the role is vacant.

    role: that was held. term: under which.
    """

    role: str
    term: int


Message = VoteRequest | VoteResponse | Heartbeat | Acknowledgement | RoleReleased


class Send(msgspec.Struct, frozen=True):
    """Instruction: send the message to the member with that link address."""

    address: str
    message: Message


class RoleAcquired(msgspec.Struct, frozen=True):
    """Instruction: begin the role, or go on with it, under that term."""

    role: str
    term: int


class RoleLost(msgspec.Struct, frozen=True):
    """Instruction: stop the role that was held under that term."""

    role: str
    term: int


Instruction = Send | RoleAcquired | RoleLost


class RoleHolder(msgspec.Struct, frozen=True):
    """Who holds a role: the member's link address, and its term."""

    address: str
    term: int
