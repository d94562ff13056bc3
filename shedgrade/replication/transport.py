"""How a member's messages leave it: whole, in chunks if they are long, or to every member."""

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

    `now`: the time of the call that is being handled, in seconds of the steady clock; set by the member at
    the start of each call, so that `send` need not be given it.
    `chunking`: the long messages under way, both ways.
    """

    def __init__(
        self, address: str, effects: list[Instruction], peers: PeerDirectory, timing: Timing, random: Random
    ) -> None:
        """`address`: of this process; it sends itself nothing."""
        self.address = address
        self.effects = effects
        self.peers = peers
        self.timing = timing
        self.random = random
        self.now = 0.0
        self.chunking: ChunkedTransfers = ChunkedTransfers(self)

    def send(self, address: str, message: Message) -> None:
        """One message, in chunks if it is long or must not overtake one that is."""
        if self.chunking.needs_chunking(address, message):
            self.chunking.send(self.now, address, message)
        else:
            self.emit(address, message)

    def emit(self, address: str, message: Message) -> None:
        """One message as it is."""
        self.effects.append(Send(address, message))

    def broadcast(self, config: EpochConfig, message: Message, but: Container[int]) -> None:
        """To the members, and to those of the epoch before while `config` isn't known to be active.

        `but`: incarnations that are left out.
        """
        done = {self.address}
        for peer in (*config.members, *(() if config.active else config.before)):
            address = self.peers.address_of(peer.incarnation, peer.address)
            if peer.incarnation not in but and address not in done:
                done.add(address)
                self.send(address, message)
