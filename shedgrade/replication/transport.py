"""Outgoing messages of a member: whole, in chunks, or to all members."""

from __future__ import annotations

from collections.abc import Container
from random import Random

from shedgrade.replication.chunking import ChunkedTransfers
from shedgrade.replication.effects import Instruction, Send
from shedgrade.replication.messages import EpochConfig, Message
from shedgrade.replication.peer_directory import PeerDirectory
from shedgrade.replication.timing import Timing


class Transport:
    """Turns messages into `Send` instructions.

    `now`: time of the current call, in seconds of the steady clock. The member sets it at the start of each
    call, so that `send` doesn't take it as an argument.
    `chunking`: chunked transfers in progress, sent and received.
    """

    def __init__(
        self, address: str, effects: list[Instruction], peers: PeerDirectory, timing: Timing, random: Random
    ) -> None:
        """`address`: link address of this process, which sends nothing to itself."""
        self.address = address
        self.effects = effects
        self.peers = peers
        self.timing = timing
        self.random = random
        self.now = 0.0
        self.chunking: ChunkedTransfers = ChunkedTransfers(self)

    def send(self, address: str, message: Message) -> None:
        """Sends one message, in chunks if it is long or must not overtake a chunked one."""
        if self.chunking.needs_chunking(address, message):
            self.chunking.send(self.now, address, message)
        else:
            self.emit(address, message)

    def emit(self, address: str, message: Message) -> None:
        """Sends one message without chunking."""
        self.effects.append(Send(address, message))

    def broadcast(self, config: EpochConfig, message: Message, skipped: Container[int]) -> None:
        """Sends to the members, and to the members before while `config` is not known to be active.

        `skipped`: incarnations that receive nothing.
        """
        done = {self.address}
        for peer in (*config.members, *(() if config.active else config.previous_members)):
            address = self.peers.address_of(peer.incarnation, peer.address)
            if peer.incarnation not in skipped and address not in done:
                done.add(address)
                self.send(address, message)
