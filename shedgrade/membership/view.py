"""A partial view of the members, shuffled between neighbours. No I/O; the caller passes the time.

Shuffles as in Cyclon (Voulgaris, Gavidia, van Steen, 2005): once a period with the neighbour that was last
known to be alive the longest ago. A neighbour that doesn't answer is pinged through two others, then
suspected, and dropped unless it refutes; rumours about suspected, dropped and left nodes are sent with
shuffles (SWIM: Das, Gupta, Motivala, 2002).

Differences from Cyclon: while the view has room no entry is removed, so that each member of a small system
knows all others, and digests replace descriptors (those of unknown nodes are requested). Dropped nodes are
pinged for a while, so that the sides of a healed partition find each other.
"""

from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.fitting import fit_shuffle, split_updates
from shedgrade.membership.messages import (
    Ack,
    Descriptor,
    DescriptorRequest,
    IndirectAck,
    IndirectPing,
    MembershipUpdate,
    Message,
    Node,
    Ping,
    Rumour,
    ShuffleRequest,
    ShuffleResponse,
    decode,
    encode,
)
from shedgrade.membership.population import PopulationEstimator
from shedgrade.membership.table import DROPPED, LEFT, MAX_RUMOURS_SENT, Entry, Sample, Table, is_address
from shedgrade.peer_transport.address import parse_address

SHUFFLE_TIMEOUT_S = 0.4  # without an answer, the partner is pinged through others
INDIRECT_PING_TIMEOUT_S = 0.6
FAST_PERIOD_S = 0.4  # between shuffles while there are fewer than FEW_NEIGHBOURS
FEW_NEIGHBOURS = 3
FIRST_SHUFFLE_S = 0.2  # the first shuffle follows the start after a random delay up to this
REJOIN_PING_PERIODS = 2  # shuffle periods between two pings of a dropped node
# Shuffle periods; the longest interval between pings of contacts that no descriptor mentions.
MAX_CONTACT_PING_PERIODS = 25
CONTACT_SILENCE_S = 120.0  # without a descriptor of a contact; it may be in a separated part of the system
CONTACTS_PINGED = 3  # contacts pinged at once
INDIRECT_PING_HELPERS = 2  # members asked to ping a partner that doesn't answer
MAX_RELAYED_PINGS = 64


class SendDatagram(msgspec.Struct, frozen=True):
    """An instruction to the caller to send a datagram. `body`: at most MAX_MESSAGE_BYTES long."""

    address: str
    body: bytes


class PendingShuffle:
    """A shuffle that waits for its response.

    Attributes:
        name, address, incarnation: of the partner when the request was sent; a contact has the name "".
        sent_names: names of the entries that were sent; received entries may replace them.
        sent_at: when the request was sent.
        deadline: when it counts as unanswered; extended once, for the indirect pings.
        is_indirect: whether other members were asked to ping the partner.
    """

    __slots__ = ("name", "address", "incarnation", "sent_names", "sent_at", "deadline", "is_indirect")

    def __init__(self, name: str, address: str, incarnation: int, sent_names: list[str], now: float) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.sent_names = sent_names
        self.sent_at = now
        self.deadline = now + SHUFFLE_TIMEOUT_S
        self.is_indirect = False


class RelayedPing:
    """A ping sent on behalf of another member.

    Attributes:
        requester: UDP address of that member.
        number: of its IndirectPing.
        deadline: time after which the requester no longer waits for the answer.
    """

    __slots__ = ("requester", "number", "deadline")

    def __init__(self, requester: str, number: int, deadline: float) -> None:
        self.requester = requester
        self.number = number
        self.deadline = deadline


class PartialView:
    """One member's view, a state machine: its inputs are calls and datagrams, its outputs are instructions.

    The caller takes the `instructions` after each call, and calls `tick` when `wake_at` is due. All times are
    seconds of the caller's monotonic clock. Raises ValueError if `own_node` is too long for a datagram.

    A neighbour is alive, suspected (`Entry.drop_at` is set), or departed (`Table.departed`). An unanswered
    shuffle leads to indirect pings, and then to suspicion. The member itself is active until `leave`, which
    sets `has_left` for good; afterwards nothing is due, and requests are answered by a rumour that it left.

    Attributes:
        shuffle_length: most entries in a shuffle; further entries of a received one are ignored.
        period_s: seconds between shuffles.
        table: the own node, and the state of the other members.
        estimator: estimates the number of members beyond the view from received descriptors.
        instructions: datagrams that the caller has not taken yet.
        contacts: addresses that were not learnt by gossip, each with the time at which a descriptor that
            contains it last arrived.
        pending_shuffles: by the number of the request; at most one for each partner with a name.
        relayed_pings: by the number of the own ping; at most MAX_RELAYED_PINGS.
        last_number: of the last request or ping; numbers only rise.
        has_left: whether `leave` was called; never unset.
        shuffle_at, rejoin_ping_at, contact_ping_at: when the next one is due.
        contact_ping_interval_s: seconds between pings of contacts, doubled up to MAX_CONTACT_PING_PERIODS
            periods.
    """

    def __init__(
        self,
        own_node: Node,
        random: Random,
        now: float,
        size: int = 16,
        shuffle_length: int = 8,
        period_s: float = 1.2,
    ) -> None:
        """`size`: most neighbours; `shuffle_length`: most entries in a shuffle; `period_s`: of shuffles."""
        self.random = random
        self.shuffle_length = shuffle_length
        self.period_s = period_s
        self.table = Table(own_node, random, now, size)
        self.estimator = PopulationEstimator()
        self.instructions: list[SendDatagram] = []
        self.contacts: dict[str, float] = {}
        self.pending_shuffles: dict[int, PendingShuffle] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self.last_number = 0
        self.has_left = False
        self.shuffle_at = now + random.uniform(0, FIRST_SHUFFLE_S)
        self.rejoin_ping_at = now + REJOIN_PING_PERIODS * period_s * random.uniform(0.5, 1)
        self.contact_ping_interval_s = period_s
        self.contact_ping_at = now + period_s * random.uniform(0.5, 1)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute breaks its description. For tests and the simulation."""
        self.table.check_invariants()
        assert len(self.relayed_pings) <= MAX_RELAYED_PINGS
        assert max((*self.pending_shuffles, *self.relayed_pings), default=0) <= self.last_number
        assert not self.pending_shuffles.keys() & self.relayed_pings.keys()
        partners = [pending.name for pending in self.pending_shuffles.values() if pending.name]
        assert len(partners) == len(set(partners))
        assert self.table.own_node.name not in partners
        assert self.table.own_node.address not in self.contacts
        assert self.period_s <= self.contact_ping_interval_s <= MAX_CONTACT_PING_PERIODS * self.period_s
        if self.has_left:
            assert self.table.own_node.state == "leaving"
            assert self.wake_at() == float("inf")

    # --- queries

    def nodes(self) -> tuple[Node, ...]:
        """Returns the nodes that are not departed, the own node first; suspected ones are included."""
        return self.table.own_node, *(entry.node for entry in self.table.entries.values())

    def count(self, kind: str) -> int:
        """Returns the number of nodes of a kind, the own node included: exact while the view has room, else
        an estimate."""
        others = sum(entry.node.kind == kind for entry in self.table.entries.values())
        if len(self.table.entries) >= self.table.size:
            others = max(others, self.estimator.count(kind))
        return others + (self.table.own_node.kind == kind)

    def wake_at(self) -> float:
        """Returns when `tick` is due next; infinity after `leave`."""
        if self.has_left:
            return float("inf")
        times = [self.shuffle_at, self.rejoin_ping_at, self.contact_ping_at]
        times += [pending.deadline for pending in self.pending_shuffles.values()]
        times += [entry.drop_at for entry in self.table.entries.values() if entry.drop_at is not None]
        return min(times)

    # --- calls by the program

    def add_contacts(self, nodes: Iterable[Node]) -> None:
        """Adds contacts, which were not learnt by gossip and are sent shuffles and pings. A contact whose
        name is known becomes a neighbour if the view has room. Raises ValueError if an address is invalid."""
        table = self.table
        for node in nodes:
            parse_address(node.address)
            if node.address == table.own_node.address or node.name == table.own_node.name:
                continue
            self.contacts.setdefault(node.address, float("-inf"))
            if node.name and node.name not in table.departed and len(table.entries) < table.size:
                heard_at = table.last_heard_at
                table.entries.setdefault(node.name, Entry(node, -1, heard_at - self.period_s, heard_at))

    def update(self, own_node: Node) -> None:
        """Changes the own node, except its name and address, and raises its incarnation. Raises ValueError if
        the node is too long for a datagram."""
        if own_node != self.table.own_node:
            self.table.set_own_node(own_node)
            self.table.incarnation += 1

    def leave(self, now: float) -> None:
        """Leaves: tells all neighbours, and starts no further shuffle."""
        if self.has_left:
            return
        self.update(msgspec.structs.replace(self.table.own_node, state="leaving"))
        self.has_left = True
        for entry in self.table.entries.values():
            self.send(entry.node.address, self.leave_update())

    # --- timers

    def tick(self, now: float) -> None:
        """Runs the time-outs, shuffles and pings that are due."""
        if self.has_left:
            return
        late_s = now - self.wake_at()
        if late_s > SHUFFLE_TIMEOUT_S:
            self.postpone_timeouts(late_s)
        for number, pending in tuple(self.pending_shuffles.items()):
            if now >= pending.deadline:
                self.on_shuffle_timeout(now, number, pending)
        self.table.drop_unrefuted(now)
        if now >= self.shuffle_at:
            self.send_shuffle(now)
        if now >= self.rejoin_ping_at:
            interval_s = REJOIN_PING_PERIODS * self.period_s * self.random.uniform(0.8, 1.2)
            self.rejoin_ping_at = now + interval_s
            self.ping_dropped(now)
        if now >= self.contact_ping_at:
            self.contact_ping_interval_s = min(
                2 * self.contact_ping_interval_s, MAX_CONTACT_PING_PERIODS * self.period_s
            )
            self.contact_ping_at = now + self.contact_ping_interval_s * self.random.uniform(0.8, 1.2)
            self.ping_contacts(now)

    def postpone_timeouts(self, late_s: float) -> None:
        """Extends all time-outs by `late_s`, in which this process was suspended and handled no answers."""
        for pending in self.pending_shuffles.values():
            pending.deadline += late_s
        for entry in self.table.entries.values():
            if entry.drop_at is not None:
                entry.drop_at += late_s

    def send_shuffle(self, now: float) -> None:
        """Shuffles with the neighbour with the oldest `last_alive_at`; with a contact if there is none."""
        has_few_neighbours = len(self.table.entries) < FEW_NEIGHBOURS
        interval_s = FAST_PERIOD_S if has_few_neighbours else self.period_s
        self.shuffle_at = now + interval_s * self.random.uniform(0.9, 1.1)
        self.ping_suspected()
        partners = self.shuffle_partners()
        if partners:
            partner = min(partners, key=lambda entry: (entry.last_alive_at, self.random.random()))
            name, address, incarnation = partner.node.name, partner.node.address, partner.incarnation
        elif self.contacts:
            name, address, incarnation = "", self.random.choice(sorted(self.contacts)), -1
        else:
            return
        self.last_number += 1
        sample = self.table.sample(now, self.shuffle_length - 1, name)
        sent_names = self.send_shuffle_message(address, ShuffleRequest, self.last_number, sample, [])
        pending = PendingShuffle(name, address, incarnation, sent_names, now)
        self.pending_shuffles[self.last_number] = pending

    def shuffle_partners(self) -> list[Entry]:
        """Returns the neighbours that are not suspected and have no pending shuffle."""
        pending_names = {pending.name for pending in self.pending_shuffles.values()}
        return [
            entry
            for name, entry in self.table.entries.items()
            if entry.drop_at is None and name not in pending_names
        ]

    def ping_suspected(self) -> None:
        """Pings suspected neighbours with the rumours about them, in case their refutations were lost."""
        for entry in self.table.entries.values():
            if entry.drop_at is not None:
                self.ping(entry.node.address, self.table.rumours_about(entry.node.name))

    def ping_dropped(self, now: float) -> None:
        """Pings one dropped node: after a partition heals, neither side has neighbours on the other."""
        dropped = self.table.dropped_nodes(now)
        if dropped:
            node = self.random.choice(dropped)
            self.ping(node.address, self.table.rumours_about(node.name))

    def ping_contacts(self, now: float) -> None:
        """Pings some contacts that no descriptor has mentioned for CONTACT_SILENCE_S. Without that, members
        that started apart or were partitioned could stay separate systems.
        """
        known = {entry.node.address for entry in self.table.entries.values()}
        unmentioned = [
            address
            for address, mentioned_at in self.contacts.items()
            if address not in known and mentioned_at < now - CONTACT_SILENCE_S
        ]
        for address in self.random.sample(unmentioned, min(CONTACTS_PINGED, len(unmentioned))):
            self.ping(address, [])

    def on_shuffle_timeout(self, now: float, number: int, pending: PendingShuffle) -> None:
        """Asks others to ping the partner; suspects it if they were asked before."""
        table = self.table
        entry = table.entries.get(pending.name)
        if entry is None or entry.last_alive_at >= pending.sent_at or entry.incarnation > pending.incarnation:
            del self.pending_shuffles[number]
        elif not pending.is_indirect:
            self.send_indirect_pings(number, pending, entry)
            pending.is_indirect = True
            pending.deadline = now + INDIRECT_PING_TIMEOUT_S
            self.shuffle_at = now  # otherwise each of many neighbours that died at once would take a period
        else:
            del self.pending_shuffles[number]
            if table.last_heard_at >= pending.sent_at:
                table.suspect(now, entry)
                self.send(pending.address, MembershipUpdate([], table.rumours_about(pending.name)))
            else:
                table.suspect_while_isolated(now, entry)

    def send_indirect_pings(self, number: int, pending: PendingShuffle, partner: Entry) -> None:
        """Asks some random neighbours to ping the partner (SWIM)."""
        helpers = [
            entry for entry in self.table.entries.values() if entry is not partner and entry.drop_at is None
        ]
        for helper in self.random.sample(helpers, min(INDIRECT_PING_HELPERS, len(helpers))):
            self.send(helper.node.address, IndirectPing(number, pending.address))

    # --- received datagrams

    def receive(self, now: float, sender: str, body: bytes) -> None:
        """Handles a datagram; ignores one that is not a message. `sender`: its source UDP address."""
        try:
            message = decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return
        if sender == self.table.own_node.address:
            return
        self.table.last_heard_at = now
        if self.has_left:
            if isinstance(message, ShuffleRequest | Ping):
                self.send(sender, self.leave_update())
            return
        match message:
            case ShuffleRequest():
                self.on_shuffle_request(now, sender, message)
            case ShuffleResponse():
                self.on_shuffle_response(now, sender, message)
            case Ping():
                self.on_ping(now, sender, message)
            case Ack():
                self.on_ack(now, message)
            case IndirectPing():
                self.on_indirect_ping(now, sender, message)
            case IndirectAck():
                self.on_indirect_ack(now, message)
            case MembershipUpdate():
                self.on_update(now, sender, message)
            case DescriptorRequest():
                wanted = message.name_hashes[: self.shuffle_length]
                for update in split_updates(self.table.descriptors_of(now, wanted)):
                    self.send(sender, update)

    def on_shuffle_request(self, now: float, sender: str, message: ShuffleRequest) -> None:
        """Answers with own entries, which received ones may replace."""
        name = message.sender.node.name
        self.apply_rumours(now, message.rumours)
        sample = self.table.sample(now, self.shuffle_length, name)
        rumours = self.table.rumours_about(name)
        sent_names = self.send_shuffle_message(sender, ShuffleResponse, message.number, sample, rumours)
        self.merge_shuffle(now, sender, message, sent_names)
        self.send_corrections(now, sender, message.sender)

    def on_shuffle_response(self, now: float, sender: str, message: ShuffleResponse) -> None:
        """Applies the received entries; they may replace the partner and the entries that were sent to it."""
        self.apply_rumours(now, message.rumours)
        pending = self.pending_shuffles.pop(message.number, None)
        if pending is None:  # late or unsolicited: its descriptors are used, but replace no entry
            self.merge_shuffle(now, sender, message, [])
            return
        entry = self.table.entries.get(pending.name)
        if entry is not None and message.sender.node.name != pending.name:
            self.table.drop(now, entry, DROPPED)  # another process has the partner's address now
        elif entry is not None:
            # In any incarnation: else it would keep the oldest `last_alive_at`, and be each next partner.
            entry.last_alive_at = now
        self.merge_shuffle(now, sender, message, [pending.name, *pending.sent_names])

    def merge_shuffle(
        self, now: float, sender: str, message: ShuffleRequest | ShuffleResponse, replaceable: list[str]
    ) -> None:
        """Applies the descriptors and digests of a shuffle; `replaceable` as in `Table.merge_descriptor`."""
        table = self.table
        descriptors = [message.sender, *message.entries[: self.shuffle_length]]
        self.merge_descriptors(now, descriptors, replaceable)
        for descriptor in descriptors:
            if descriptor.node.address in self.contacts:
                self.contacts[descriptor.node.address] = now
        self.estimator.add_samples(
            now,
            [
                (descriptor.node.name, descriptor.node.kind)
                for descriptor in descriptors
                if descriptor.node.name != table.own_node.name and descriptor.node.name not in table.departed
            ],
        )
        wanted = table.merge_digests(now, message.digests[: self.shuffle_length])
        if wanted:
            self.send(sender, DescriptorRequest(wanted))

    def on_ping(self, now: float, sender: str, message: Ping) -> None:
        """Answers a ping, and sends corrections if the sender's own descriptor differs from what is known."""
        self.apply_rumours(now, message.rumours)
        self.table.merge_descriptor(now, message.sender, [])
        self.send(sender, Ack(message.number, self.table.own_descriptor()))
        self.send_corrections(now, sender, message.sender)

    def on_ack(self, now: float, message: Ack) -> None:
        """Forwards the answer to the member that requested an indirect ping."""
        relayed = self.relayed_pings.pop(message.number, None)
        if relayed is None:  # a dropped node or a contact answered: it becomes a neighbour
            self.table.merge_descriptor(now, message.sender, None)
            return
        self.table.merge_descriptor(now, message.sender, [])
        if now < relayed.deadline:
            self.send(relayed.requester, IndirectAck(relayed.number, message.sender))

    def on_indirect_ping(self, now: float, sender: str, message: IndirectPing) -> None:
        """Pings `message.address` on behalf of the sender."""
        if not is_address(message.address):
            return
        for number, relayed in tuple(self.relayed_pings.items()):
            if now >= relayed.deadline or len(self.relayed_pings) >= MAX_RELAYED_PINGS:
                del self.relayed_pings[number]
        number = self.ping(message.address, [])
        self.relayed_pings[number] = RelayedPing(sender, message.number, now + INDIRECT_PING_TIMEOUT_S)

    def on_indirect_ack(self, now: float, message: IndirectAck) -> None:
        """Ends the pending shuffle: its partner is alive."""
        self.pending_shuffles.pop(message.number, None)
        self.table.merge_descriptor(now, message.descriptor, [])
        self.send_corrections(now, message.descriptor.node.address, message.descriptor)

    def on_update(self, now: float, sender: str, message: MembershipUpdate) -> None:
        """Applies an update; answers with the own descriptor if something in it had to be refuted."""
        incarnation_before = self.table.incarnation
        self.apply_rumours(now, message.rumours)
        self.merge_descriptors(now, message.entries[: self.shuffle_length], [])
        if self.table.incarnation != incarnation_before:
            self.send(sender, MembershipUpdate([self.table.own_descriptor()], []))

    def send_corrections(self, now: float, sender: str, received: Descriptor) -> None:
        """Sends a node what is known of it, if that differs from its own descriptor, so that it refutes."""
        corrections = self.table.corrections(now, received)
        if (corrections.descriptors or corrections.rumours) and is_address(sender):
            self.send(sender, MembershipUpdate(corrections.descriptors, corrections.rumours))

    def merge_descriptors(self, now: float, descriptors: list[Descriptor], replaceable: list[str]) -> None:
        """Applies descriptors; pings one of the departed nodes that may be back."""
        returned_nodes = [
            descriptor.node for descriptor in descriptors if self.table.may_have_returned(now, descriptor)
        ]
        for descriptor in descriptors:
            self.table.merge_descriptor(now, descriptor, replaceable)
        if returned_nodes:  # one at a time; it receives the rumours about it and refutes
            node = self.random.choice(returned_nodes)
            self.ping(node.address, self.table.rumours_about(node.name))

    def apply_rumours(self, now: float, rumours: list[Rumour]) -> None:
        """Applies rumours; pings nodes that they make suspected here, so that these refute."""
        for rumour in rumours[: 2 * MAX_RUMOURS_SENT]:
            entry = self.table.entries.get(rumour.name)
            was_alive = entry is not None and entry.drop_at is None
            self.table.apply_rumour(now, rumour)
            if was_alive and entry is not None and entry.drop_at is not None:
                # Lets the node refute to this member directly: gossip carries that no faster than the rumour.
                self.ping(entry.node.address, self.table.rumours_about(rumour.name))
            if rumour.name in self.table.departed:
                self.estimator.remove(rumour.name)

    # --- sent datagrams

    def leave_update(self) -> MembershipUpdate:
        """Returns the message that this member has left."""
        return MembershipUpdate([], [Rumour(self.table.own_node.name, self.table.incarnation, LEFT)])

    def ping(self, address: str, rumours: list[Rumour]) -> int:
        """Sends a ping and returns its number."""
        self.last_number += 1
        self.send(address, Ping(self.last_number, self.table.own_descriptor(), rumours))
        return self.last_number

    def send_shuffle_message(
        self,
        address: str,
        message_type: type[ShuffleRequest] | type[ShuffleResponse],
        number: int,
        sample: Sample,
        rumours: list[Rumour],
    ) -> list[str]:
        """Sends a shuffle with as much of the sample, `rumours` and the rumours that are being spread as fits
        a datagram. Returns the names of the descriptors in it."""
        rumours = rumours + self.table.next_rumours()
        fitted = fit_shuffle(message_type, number, self.table.own_descriptor(), sample, rumours)
        self.table.count_sends(fitted.rumours)
        self.instructions.append(SendDatagram(address, fitted.body))
        return [descriptor.node.name for descriptor in fitted.descriptors]

    def send(self, address: str, message: Message) -> None:
        """Adds the instruction to send a message."""
        self.instructions.append(SendDatagram(address, encode(message)))
