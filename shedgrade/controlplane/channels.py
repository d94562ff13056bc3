"""The channels of a link between core members and edges, distinguished by the first byte of a message's body.

The messages of the command channel are defined here; those of the others are in `replication.messages`,
`control_messages` and `role_messages`.
"""

from collections.abc import Mapping

import msgspec

from shedgrade.controlplane.commands import Command, CommandReply, RevisionConflict
from shedgrade.controlplane.state_keys import CONFIGURATION, VERSION, configuration_version

REPLICATION_CHANNEL = b"R"
CONTROL_CHANNEL = b"K"  # control messages: watches, endpoint lists, edges, loads, prefix index
ROLE_CHANNEL = b"D"  # singleton roles
COMMAND_CHANNEL = b"O"  # commands and reads forwarded to the primary


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True, tag="relayed"):
    """A command or read that a member forwards to the primary.

    Attributes:
        command: the command, or None for a read.
        held_version: version of the committed configuration that the sender has; it is not sent back.
    """

    command: Command | None
    held_version: int = 0


class ForwardedResponse(msgspec.Struct, array_like=True, frozen=True, tag="outcome"):
    """The outcome of a command or read.

    Attributes:
        reply: the reply to a command; None for a read, and if the responding member doesn't know the outcome.
        state: the result of a read, as `read_response` returns it.
    """

    reply: CommandReply | RevisionConflict | None
    state: dict[str, bytes] | None = None


def read_response(state: Mapping[str, bytes], held_version: int = 0) -> dict[str, bytes]:
    """Returns the result of a read: the version of the configuration and its bytes, without the record of
    accepted changes. The bytes are left out if their version is `held_version`: a version identifies its
    content."""
    response = {key: state[key] for key in (VERSION, CONFIGURATION) if key in state}
    if held_version and configuration_version(state) == held_version:
        del response[CONFIGURATION]
    return response


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(ForwardedRequest | ForwardedResponse).decode
