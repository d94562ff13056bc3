"""One process's view at its UDP address: datagrams carried, its timer on the loop."""

import asyncio
from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.messages import Node
from shedgrade.membership.view import PartialView
from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.udp import DatagramEndpoint
from shedgrade.runtime.log import logger

PERIOD = 2.4  # s between shuffles: word of others isn't urgent, as the core tells it too
SOONEST = 0.001  # s to the next look at the earliest


class Gossip:
    """`start` opens the socket; before it, after `close`, and where the address can't be had, nothing is sent
    or heard. ValueError: a node or contact that can't be told in a datagram."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, me: Node, contacts: Iterable[str], random: Random
    ) -> None:
        """`contacts`: UDP addresses "ip:port" of whoever may know others."""
        self.loop = loop
        self.view = PartialView(me, random, loop.time(), period=PERIOD)
        self.view.add_contacts(Node("", address) for address in contacts)
        self.datagrams = DatagramEndpoint(loop, parse_address(me.address), self.heard)
        self.timer: asyncio.TimerHandle | None = None
        self.wake = float("inf")
        self.running = False

    async def start(self) -> None:
        try:
            await self.datagrams.start()
        except OSError as failure:
            # Guards against an end of the process for what the core tells too.
            logger.warning("no gossip at {}: {}", self.view.table.me.address, str(failure))
            return
        self.running = True
        self.look()

    def announce_state(self, state: str) -> None:
        """The own node's state; "leaving" is said to all neighbours, and nothing more after it."""
        if state == "leaving":
            self.view.leave(self.loop.time())
        else:
            self.view.update(msgspec.structs.replace(self.view.table.me, state=state))
        self.carry_out()

    def close(self) -> None:
        self.running = False
        if self.timer is not None:
            self.timer.cancel()
        self.datagrams.close()

    def heard(self, sender: str, body: bytes) -> None:
        self.view.receive(self.loop.time(), sender, body)
        self.carry_out()

    def look(self) -> None:
        self.timer = None
        self.view.tick(self.loop.time())
        self.carry_out()

    def carry_out(self) -> None:
        """Sends what the view asks for, and sets the one timer."""
        instructions, self.view.instructions[:] = list(self.view.instructions), []
        for instruction in instructions:
            try:
                self.datagrams.send(instruction.address, instruction.body)
            except (OSError, ValueError):
                # Guards against an address that others told and no datagram can be sent to.
                continue
        at = self.view.wake_at()
        if self.timer is not None:
            if at == self.wake:
                return
            self.timer.cancel()
            self.timer = None
        if self.running and at != float("inf"):
            self.wake = at
            self.timer = self.loop.call_at(max(at, self.loop.time() + SOONEST), self.look)
