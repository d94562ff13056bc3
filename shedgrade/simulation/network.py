"""Simulated links between machines, with delay by region, loss, duplication, reordering and partitions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from shedgrade.replication.messages import Chunk, Message, value_bytes
from shedgrade.simulation.clock import Scheduler

Link = tuple[str, str]  # (sender's address, receiver's address): one direction of a link
Deliver = Callable[[str, str, Message], None]  # (sender, receiver, message)

OVERTAKING_SHARE = 0.02  # share of messages that are sent over a new connection and may overtake others
HOST_DELAY_S = 0.0005  # added to the delay of every message for processing on both hosts
RESEND_WITHIN_S = 0.3  # maximum time from the unblocking of a link to the arrival of a message it held


def payload_bytes(message: Message) -> int:
    """Returns the size of the bulk data in a message, in bytes; 0 if it carries none."""
    if type(message) is Chunk:
        return len(message.body)
    changes = getattr(message, "changes", None)
    return value_bytes(changes) if changes else 0


class Network:
    """Carries messages between addresses; `deliver(sender, receiver, message)` is called for each arrival.

    A message sent over a blocked link is either lost, or held and delivered after the link is unblocked, as
    an open connection that retransmits would do.

    Attributes:
        inter_region_delay_s: one-way delay between regions, seconds.
        intra_region_delay_s: one-way delay within a region, seconds.
        jitter: maximum share of the delay that is added at random.
        loss: probability that a message is lost.
        duplication: probability that a message arrives twice.
        held_share: probability that a blocked link holds a message rather than loses it.
        bandwidth: of each link, bytes per second; 0: unlimited.
        region: region by address.
        blocked_links: number of faults that currently block each link; a link that none blocks is absent.
        held_messages: messages held by each blocked link, delivered after it is unblocked.
        extra_delay_s: delay added to all links of an address, seconds.
        last_arrival: arrival of the last message sent on each link; most later ones don't overtake it.
        busy_until: virtual time at which each link has transmitted the bulk data sent over it so far.
        on_send: called with each message before it is sent; may kill the sender.
    """

    def __init__(
        self,
        clock: Scheduler,
        random: Random,
        deliver: Deliver,
        *,
        inter_region_delay_s: float,
        intra_region_delay_s: float = 0.001,
        loss: float = 0.0,
        duplication: float = 0.0,
        jitter: float = 0.1,
        held_share: float = 0.3,
        bandwidth: float = 0.0,
    ) -> None:
        self.clock = clock
        self.random = random
        self.deliver = deliver
        self.inter_region_delay_s = inter_region_delay_s
        self.intra_region_delay_s = intra_region_delay_s
        self.loss = loss
        self.duplication = duplication
        self.jitter = jitter
        self.held_share = held_share
        self.bandwidth = bandwidth
        self.region: dict[str, str] = {}
        self.blocked_links: dict[Link, int] = {}
        self.held_messages: dict[Link, list[Message]] = {}
        self.extra_delay_s: dict[str, float] = {}
        self.last_arrival: dict[Link, float] = {}
        self.busy_until: dict[Link, float] = {}
        self.on_send: Deliver | None = None

    def block(self, sender: str, receiver: str) -> None:
        """Blocks one direction of a link. Several faults may block the same link at once."""
        self.blocked_links[sender, receiver] = self.blocked_links.get((sender, receiver), 0) + 1

    def unblock(self, sender: str, receiver: str) -> None:
        """Removes one block. When the last is removed, the held messages arrive, in any order."""
        blocks = self.blocked_links.get((sender, receiver), 0) - 1
        if blocks > 0:
            self.blocked_links[sender, receiver] = blocks
            return
        self.blocked_links.pop((sender, receiver), None)
        for message in self.held_messages.pop((sender, receiver), ()):
            delay = self.random.random() * RESEND_WITHIN_S
            self.clock.after(delay, self.arrive, sender, receiver, message)

    def unblock_all(self, links: Iterable[Link]) -> None:
        """Removes one block from each of the links."""
        for link in links:
            self.unblock(*link)

    def drop_held_messages(self, sender: str) -> None:
        """Drops the messages that blocked links hold for a sender: its kernel lost them with the power."""
        for link in [link for link in self.held_messages if link[0] == sender]:
            del self.held_messages[link]

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Sends a message, which may arrive once, twice or not at all."""
        if self.on_send is not None:
            self.on_send(sender, receiver, message)
        chance = self.random.random
        if (sender, receiver) in self.blocked_links:
            if chance() < self.held_share:
                self.held_messages.setdefault((sender, receiver), []).append(message)
            return
        if self.loss and chance() < self.loss:
            return
        arrival = self.arrival_time(sender, receiver, message)
        self.clock.at(arrival, self.arrive, sender, receiver, message)
        if self.duplication and chance() < self.duplication:
            self.clock.at(arrival + chance(), self.arrive, sender, receiver, message)

    def arrival_time(self, sender: str, receiver: str, message: Message) -> float:
        """Returns when a message sent now arrives. Bulk data occupies the link and delays later messages."""
        link = sender, receiver
        same_region = self.region.get(sender) == self.region.get(receiver)
        delay = self.intra_region_delay_s if same_region else self.inter_region_delay_s
        delay *= 1 + self.jitter * self.random.random()
        delay += self.extra_delay_s.get(sender, 0.0) + self.extra_delay_s.get(receiver, 0.0) + HOST_DELAY_S
        payload = payload_bytes(message) if self.bandwidth else 0
        if payload:
            free_at = max(self.busy_until.get(link, 0.0), self.clock.now)
            self.busy_until[link] = free_at + payload / self.bandwidth
        arrival = max(self.clock.now, self.busy_until.get(link, 0.0)) + delay
        if self.random.random() > OVERTAKING_SHARE:
            arrival = max(arrival, self.last_arrival.get(link, 0.0))
        self.last_arrival[link] = arrival
        return arrival

    def arrive(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message unless its link was blocked while it was in transit."""
        if (sender, receiver) not in self.blocked_links:
            self.deliver(sender, receiver, message)
