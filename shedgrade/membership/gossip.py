"""Runs the partial view of one process on its event loop: carries its datagrams and sets its timer."""

import asyncio
from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.messages import Node
from shedgrade.membership.view import PartialView
from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.udp import DatagramEndpoint
from shedgrade.runtime.log import logger

PERIOD_S = 2.4  # between shuffles; not urgent, since the core also reports which members there are
MIN_TIMER_S = 0.001  # shortest delay of the timer


class Gossip:
    """One process's partial view at its UDP address.

    `start` opens the socket. Before it, after `close`, and if the address can't be bound, nothing is sent or
    received. Raises ValueError if the node or a contact has an invalid address, or the node is too long for a
    datagram.

    Attributes:
        view: the state machine.
        timer: the pending call of `on_timer`, None if there is none.
        timer_at: the time that the timer was set for, as the view's `wake_at` returned it.
        is_running: whether the socket is open: from a successful `start` to `close`.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, own_node: Node, contacts: Iterable[str], random: Random
    ) -> None:
        """`own_node`: this process; `contacts`: UDP addresses of processes that may know members."""
        self.loop = loop
        self.view = PartialView(own_node, random, loop.time(), period_s=PERIOD_S)
        self.view.add_contacts(Node("", address) for address in contacts)
        self.datagrams = DatagramEndpoint(loop, parse_address(own_node.address), self.on_datagram)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.is_running = False

    async def start(self) -> None:
        """Opens the socket; logs a warning if the address can't be bound."""
        try:
            await self.datagrams.start()
        except OSError as error:
            # The process goes on without gossip, since the core reports members too.
            logger.warning(
                "gossip socket not opened", address=self.view.table.own_node.address, error=str(error)
            )
            return
        self.is_running = True
        self.on_timer()

    def announce_state(self, state: str) -> None:
        """Changes the own node's state. "leaving" is sent to all neighbours; afterwards only requests are
        answered, with the same message."""
        if state == "leaving":
            self.view.leave(self.loop.time())
        else:
            self.view.update(msgspec.structs.replace(self.view.table.own_node, state=state))
        self.execute_instructions()

    def close(self) -> None:
        """Closes the socket; nothing is sent or received afterwards."""
        self.is_running = False
        if self.timer is not None:
            self.timer.cancel()
        self.datagrams.close()

    def on_datagram(self, sender: str, body: bytes) -> None:
        """Passes a datagram to the view."""
        self.view.receive(self.loop.time(), sender, body)
        self.execute_instructions()

    def on_timer(self) -> None:
        """Runs the time-outs, shuffles and pings of the view that are due."""
        self.timer = None
        self.view.tick(self.loop.time())
        self.execute_instructions()

    def execute_instructions(self) -> None:
        """Sends the datagrams of the view's instructions, and sets the timer."""
        instructions = list(self.view.instructions)
        self.view.instructions.clear()
        for instruction in instructions:
            try:
                self.datagrams.send(instruction.address, instruction.body)
            except (OSError, ValueError):
                # An address learnt from other members may be one that datagrams can't be sent to.
                continue
        self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer to the time at which the view is due; keeps it if that time is unchanged."""
        due_at = self.view.wake_at()
        if self.timer is not None:
            if due_at == self.timer_at:
                return
            self.timer.cancel()
            self.timer = None
        if self.is_running and due_at != float("inf"):
            self.timer_at = due_at
            self.timer = self.loop.call_at(max(due_at, self.loop.time() + MIN_TIMER_S), self.on_timer)
