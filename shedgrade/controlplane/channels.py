"""Channels of one link between core members and edges, told apart by the first byte of a message's body.

The messages of the channel of commands are defined here; those of the others are in `replication.messages`,
`control_messages` and `singleton_roles`.
"""

from collections.abc import Mapping

import msgspec

from shedgrade.controlplane.commands import Command, CommandReply, RevisionConflict
from shedgrade.controlplane.state_keys import CONFIGURATION, VERSION, configuration_version

REPLICATION_CHANNEL = b"R"
CONTROL_CHANNEL = b"K"  # control messages: watches, endpoint lists, edges, loads, prefix index
ROLE_CHANNEL = b"D"  # singleton roles
COMMAND_CHANNEL = b"O"  # commands that are forwarded to the primary


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True, tag="relayed"):
    """A command, or a read (`command` is None), that another member forwards to the primary.

    `held_version`: version of the committed configuration that the sender has; it need not be sent again.
    """

    command: Command | None
    held_version: int = 0


class ForwardedResponse(msgspec.Struct, array_like=True, frozen=True, tag="outcome"):
    """The outcome of a command or read. `reply`: of a command, None if it can't be told here. `state`: of a
    read, as `read_response` selects it."""

    reply: CommandReply | RevisionConflict | None
    state: dict[str, bytes] | None = None


def read_response(state: Mapping[str, bytes], held_version: int = 0) -> dict[str, bytes]:
    """What a read returns: the version of the configuration and its bytes, without the record of accepted
    changes. The bytes are left out if their version is `held_version`: a version identifies its content."""
    response = {key: state[key] for key in (VERSION, CONFIGURATION) if key in state}
    if held_version and configuration_version(state) == held_version:
        del response[CONFIGURATION]
    return response


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(ForwardedRequest | ForwardedResponse).decode
