"""One process's view at its UDP address: carries datagrams, and keeps the view's timer on the loop."""

import asyncio
from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.messages import Node
from shedgrade.membership.view import PartialView
from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.udp import DatagramEndpoint
from shedgrade.runtime.log import logger

PERIOD_S = 2.4  # between shuffles: word of others isn't urgent, as the core tells it too
MIN_TIMER_S = 0.001  # to the next tick at the earliest


class Gossip:
    """`start` opens the socket; before it, after `close`, and where the address can't be had, nothing is sent
    or received. ValueError: a node or contact that doesn't fit a datagram.

    Attributes:
        view: the state machine.
        timer: the one call of `on_timer` that is set, None if there is none.
        timer_at: when it is due, as the view asked for it.
        is_running: from a `start` that got the address to `close`.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, me: Node, contacts: Iterable[str], random: Random
    ) -> None:
        """`contacts`: UDP addresses "ip:port" of whoever may know others."""
        self.loop = loop
        self.view = PartialView(me, random, loop.time(), period=PERIOD_S)
        self.view.add_contacts(Node("", address) for address in contacts)
        self.datagrams = DatagramEndpoint(loop, parse_address(me.address), self.on_datagram)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.is_running = False

    async def start(self) -> None:
        """Opens the socket; logs a warning if the address can't be had."""
        try:
            await self.datagrams.start()
        except OSError as error:
            # Guards against an end of the process: the core tells it of others too.
            logger.warning("gossip socket not opened", address=self.view.table.me.address, error=str(error))
            return
        self.is_running = True
        self.on_timer()

    def announce_state(self, state: str) -> None:
        """The own node's state; "leaving" is sent to all neighbours, and nothing more after it."""
        if state == "leaving":
            self.view.leave(self.loop.time())
        else:
            self.view.update(msgspec.structs.replace(self.view.table.me, state=state))
        self.carry_out()

    def close(self) -> None:
        """Closes the socket; nothing is sent or received any more."""
        self.is_running = False
        if self.timer is not None:
            self.timer.cancel()
        self.datagrams.close()

    def on_datagram(self, sender: str, body: bytes) -> None:
        """Passes a datagram to the view."""
        self.view.receive(self.loop.time(), sender, body)
        self.carry_out()

    def on_timer(self) -> None:
        """Something of the view is due."""
        self.timer = None
        self.view.tick(self.loop.time())
        self.carry_out()

    def carry_out(self) -> None:
        """Sends what the view asks for, and sets the timer."""
        instructions = list(self.view.instructions)
        self.view.instructions.clear()
        for instruction in instructions:
            try:
                self.datagrams.send(instruction.address, instruction.body)
            except (OSError, ValueError):
                # Guards against an address that others told and no datagram can be sent to.
                continue
        self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer to when the view is due; leaves it if that hasn't changed."""
        due_at = self.view.wake_at()
        if self.timer is not None:
            if due_at == self.timer_at:
                return
            self.timer.cancel()
            self.timer = None
        if self.is_running and due_at != float("inf"):
            self.timer_at = due_at
            self.timer = self.loop.call_at(max(due_at, self.loop.time() + MIN_TIMER_S), self.on_timer)
