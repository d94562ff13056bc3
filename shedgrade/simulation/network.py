"""Simulated links between machines: delay by region, loss, duplication, reordering, one-way and full cuts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from shedgrade.replication.messages import Chunk, Message, size
from shedgrade.simulation.clock import Scheduler

Link = tuple[str, str]  # (sender's address, receiver's address): one direction
Deliver = Callable[[str, str, Message], None]  # (sender, receiver, message)

OVERTAKES = 0.02  # share of messages that are sent over a new connection and may overtake others
HOST_DELAY_S = 0.0005  # of every message, in the hosts
RESEND_WITHIN_S = 0.3  # of the end of a cut: messages that it held arrive


def payload_bytes(message: Message) -> int:
    """Size of the bulk data in a message; 0 for messages that carry none."""
    if type(message) is Chunk:
        return len(message.body)
    changes = getattr(message, "changes", None)
    return size(changes) if changes else 0


class Network:
    """Carries messages between addresses; `deliver(sender, receiver, message)` is called for each arrival.

    A blocked link is silent: a message sent over it is lost, or held and delivered when the link is
    unblocked (an open connection that retransmits).

    Attributes:
        between_s, within_s: one-way delay between regions and within one, seconds.
        jitter: share of the delay that is added at random, at most.
        loss, duplication: probabilities, by message.
        held_share: probability that a blocked link holds a message, rather than loses it.
        bandwidth: bytes a second of each link; 0: unlimited.
        region: region by address.
        blocked_links: how many faults block a link now; a link is absent while none does.
        held_messages: messages by blocked link, to be delivered when it is unblocked.
        extra_delay_s: added to all links of an address.
        last_arrival: latest arrival scheduled on a link; later messages keep the order.
        busy_until: when a link has transmitted the bulk data that was sent over it.
        on_send: called with each message that is sent, before anything else; may kill its sender.
    """

    def __init__(
        self,
        clock: Scheduler,
        random: Random,
        deliver: Deliver,
        *,
        between_s: float,
        within_s: float = 0.001,
        loss: float = 0.0,
        duplication: float = 0.0,
        jitter: float = 0.1,
        held_share: float = 0.3,
        bandwidth: float = 0.0,
    ) -> None:
        self.clock = clock
        self.random = random
        self.deliver = deliver
        self.between_s = between_s
        self.within_s = within_s
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
        """Blocks one direction. Faults that block the same link add up."""
        self.blocked_links[sender, receiver] = self.blocked_links.get((sender, receiver), 0) + 1

    def unblock(self, sender: str, receiver: str) -> None:
        """Ends one block. After the last one the messages that were held arrive, in any order."""
        blocks = self.blocked_links.get((sender, receiver), 0) - 1
        if blocks > 0:
            self.blocked_links[sender, receiver] = blocks
            return
        self.blocked_links.pop((sender, receiver), None)
        for message in self.held_messages.pop((sender, receiver), ()):
            delay = self.random.random() * RESEND_WITHIN_S
            self.clock.after(delay, self.arrive, sender, receiver, message)

    def unblock_all(self, links: Iterable[Link]) -> None:
        """Ends one block of each of these links."""
        for link in links:
            self.unblock(*link)

    def drop_held_messages(self, sender: str) -> None:
        """A machine lost power: what its kernel held for blocked links is gone."""
        for link in [link for link in self.held_messages if link[0] == sender]:
            del self.held_messages[link]

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Sends a message, which arrives once, twice, or never."""
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
        """When a message that is sent now arrives. Bulk data occupies the link, and delays what follows."""
        link = sender, receiver
        same_region = self.region.get(sender) == self.region.get(receiver)
        delay = self.within_s if same_region else self.between_s
        delay *= 1 + self.jitter * self.random.random()
        delay += self.extra_delay_s.get(sender, 0.0) + self.extra_delay_s.get(receiver, 0.0) + HOST_DELAY_S
        payload = payload_bytes(message) if self.bandwidth else 0
        if payload:
            free_at = max(self.busy_until.get(link, 0.0), self.clock.now)
            self.busy_until[link] = free_at + payload / self.bandwidth
        arrival = max(self.clock.now, self.busy_until.get(link, 0.0)) + delay
        if self.random.random() > OVERTAKES:
            arrival = max(arrival, self.last_arrival.get(link, 0.0))
        self.last_arrival[link] = arrival
        return arrival

    def arrive(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message, unless its link was blocked while it was under way."""
        if (sender, receiver) not in self.blocked_links:
            self.deliver(sender, receiver, message)
