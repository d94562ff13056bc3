"""Sends messages on each channel to core members and edges."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from shedgrade import control_messages
from shedgrade.controlplane.channels import CONTROL_CHANNEL, REPLICATION_CHANNEL, ROLE_CHANNEL

encode = msgspec.msgpack.Encoder().encode


class Links(Protocol):
    """Links to other processes, by their peer address."""

    def send(self, address: str, body: bytes) -> None:
        """Sends a message without waiting for a response; it may be lost."""


class PeerMessenger:
    """Encodes and sends messages. `members()`: peer addresses of the core members, including this one."""

    def __init__(
        self, peer_connections: Links, own_address: str, members: Callable[[], tuple[str, ...]]
    ) -> None:
        self.peer_connections = peer_connections
        self.own_address = own_address
        self.members = members

    def send_replication(self, address: str, message: msgspec.Struct) -> None:
        """Sends a message of the replication protocol."""
        self.peer_connections.send(address, REPLICATION_CHANNEL + encode(message))

    def send_role_message(self, address: str, message: msgspec.Struct) -> None:
        """Sends a message of the election of singleton roles."""
        self.peer_connections.send(address, ROLE_CHANNEL + encode(message))

    def send_control(self, address: str, message: msgspec.Struct) -> None:
        """Sends a control message to one process."""
        self.peer_connections.send(address, encode_control_message(message))

    def broadcast_control(self, message: msgspec.Struct) -> None:
        """Sends a control message to all other core members."""
        body = encode_control_message(message)
        for address in self.members():
            if address != self.own_address:
                self.peer_connections.send(address, body)


def encode_control_message(message: msgspec.Struct) -> bytes:
    """Returns the encoded control message, preceded by its channel."""
    return CONTROL_CHANNEL + control_messages.encode(message)
